// Package sharer tracks how much of the room of a service each tenant has been given
// lately, compared with its share. It has no clock: times are passed to it.
//
// Each tenant has a virtual clock, which advances by the room that the tenant is given, as
// measured by its share (Zhang, "Virtual Clock", 1990). The lead of that clock over the
// real time is what the tenant has been given beyond its share. Room that no other tenant
// asks for is not held back.
package sharer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/descriptor"
)

const (
	// maxLead bounds the lead of a tenant, so that a burst no longer counts against it after
	// this time. A tenant without calls for so long is not active.
	maxLead = time.Second
	// maxTenants bounds the tenants with a clock of their own. Any others share one.
	maxTenants = 1024
	// sumInterval is how often the weights of the active tenants are summed up.
	sumInterval = 100 * time.Millisecond
)

// Shares holds the virtual clocks of the tenants of a service. It is safe for concurrent
// use. The zero value is ready to use.
type Shares struct {
	clocks   sync.Map // Maps a descriptor.TenantName to a *clock.
	count    atomic.Int32
	overflow clock
	sum      atomic.Pointer[weightSum]
	summedAt atomic.Int64
}

// clock is the virtual clock of a tenant.
type clock struct {
	at       atomic.Int64
	lastCall atomic.Int64
	weight   atomic.Uint64 // Bits of a float64; 0 if the tenant has no rate limit.
}

// weightSum is the weights of the active tenants. It is immutable.
type weightSum struct {
	total     float64
	unlimited float64 // Weight of a tenant without a rate limit.
}

// Tenants returns the number of tenants that have a clock of their own.
func (s *Shares) Tenants() int { return int(s.count.Load()) }

// Lead returns by how much the tenant has been given more than its share, up to a second.
// It changes nothing.
func (s *Shares) Lead(t *descriptor.Tenant, now time.Duration) time.Duration {
	if t == nil {
		return 0
	}
	c := &s.overflow
	if found, ok := s.clocks.Load(t.Name()); ok {
		c = found.(*clock)
	} else if s.count.Load() < maxTenants {
		return 0
	}
	return max(time.Duration(c.at.Load())-now, 0)
}

// Ask records that a call of the tenant asks for a slot: the tenant is active.
func (s *Shares) Ask(t *descriptor.Tenant, now time.Duration) {
	if t != nil {
		s.clockOf(t).lastCall.Store(int64(now))
	}
}

// Charge records that a call of the tenant is given one of the slots of the service for the
// duration.
func (s *Shares) Charge(t *descriptor.Tenant, held time.Duration, slots int, now time.Duration) {
	if t == nil || slots <= 0 {
		return
	}
	c := s.clockOf(t)
	c.lastCall.Store(int64(now))
	sum := s.activeWeights(now)
	share := min(sum.weightOf(c)/max(sum.total, sum.weightOf(c)), 1)
	advance := time.Duration(float64(held) / (share * float64(slots)))
	for {
		old := c.at.Load()
		next := min(max(time.Duration(old), now)+advance, now+maxLead)
		if c.at.CompareAndSwap(old, int64(next)) {
			return
		}
	}
}

// clockOf returns the clock of the tenant. Its weight is the tenant's rate limit.
func (s *Shares) clockOf(t *descriptor.Tenant) *clock {
	found, ok := s.clocks.Load(t.Name())
	if !ok {
		if s.count.Load() >= maxTenants {
			return &s.overflow
		}
		var loaded bool
		if found, loaded = s.clocks.LoadOrStore(t.Name(), &clock{}); !loaded {
			s.count.Add(1)
		}
	}
	c := found.(*clock)
	c.weight.Store(math.Float64bits(t.RateLimit().PerSecond()))
	return c
}

// activeWeights returns the weights of the tenants that have sent calls lately.
func (s *Shares) activeWeights(now time.Duration) *weightSum {
	last := s.summedAt.Load()
	current := s.sum.Load()
	if current != nil && now-time.Duration(last) < sumInterval {
		return current
	}
	if s.summedAt.CompareAndSwap(last, int64(now)) {
		next := s.addUp(now)
		s.sum.Store(next)
		return next
	}
	if current == nil { // Another call is adding up the first sum.
		return &weightSum{unlimited: 1}
	}
	return current
}

// addUp sums up the weights of the active tenants and forgets the others.
func (s *Shares) addUp(now time.Duration) *weightSum {
	limited, unlimited, total := 0, 0, 0.0
	s.clocks.Range(func(name, found any) bool {
		c := found.(*clock)
		if now-time.Duration(c.lastCall.Load()) > maxLead && time.Duration(c.at.Load()) <= now {
			if s.clocks.CompareAndDelete(name, found) {
				s.count.Add(-1)
			}
			return true
		}
		if weight := math.Float64frombits(c.weight.Load()); weight > 0 {
			limited++
			total += weight
		} else {
			unlimited++
		}
		return true
	})
	sum := &weightSum{total: total, unlimited: 1}
	if limited > 0 {
		sum.unlimited = total / float64(limited)
	}
	sum.total += float64(unlimited) * sum.unlimited
	return sum
}

// weightOf returns the weight of a tenant: its rate limit, or the mean limit of the others
// if it has none.
func (w *weightSum) weightOf(c *clock) float64 {
	if weight := math.Float64frombits(c.weight.Load()); weight > 0 {
		return weight
	}
	return w.unlimited
}
