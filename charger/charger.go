// Package charger charges calls to the tokens that a scheduler holds of each limited
// tenant. It never waits: a call finds a token or is refused.
package charger

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/granter"
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// shortRetryAfter is about when the owner's next reply is there, for a call that finds no
	// token although its tenant may be within its limit.
	shortRetryAfter = 200 * time.Millisecond
)

// Verdict says whether a call may pass: Charged, OverLimit or Short.
type Verdict interface{ verdict() }

// Charged is a call that has used a token, or needs none.
type Charged struct{ period *period }

// OverLimit refuses a call of a tenant that has used up its limit.
type OverLimit struct{ retryAfter time.Duration }

// Short refuses a call although its tenant may be within its limit: the tokens of this
// scheduler are used up, or no owner grants it any.
type Short struct {
	retryAfter time.Duration
	isPending  bool
}

func (Charged) verdict()   {}
func (OverLimit) verdict() {}
func (Short) verdict()     {}

// RetryAfter returns when a token may be there for the caller.
func (o OverLimit) RetryAfter() time.Duration { return o.retryAfter }

// RetryAfter returns when a token may be there for the caller.
func (s Short) RetryAfter() time.Duration { return s.retryAfter }

// IsPending reports whether the owner has been asked for more tokens, which may be here
// within one round trip.
func (s Short) IsPending() bool { return s.isPending }

// Charger holds the tokens of one scheduler. Charge, Refund and State are safe for
// concurrent use and don't lock; the other methods must be called by one goroutine at a
// time.
type Charger struct {
	accounts   atomic.Pointer[map[uint32]*account]
	validUntil atomic.Int64
	urgent     chan struct{}

	mutex       sync.Mutex // Guards the fields below.
	epoch       uint32     // Of the owner's process that knows the balances.
	collectedAt time.Duration
	repliedAt   time.Duration
	next        int // Where the search for due accounts goes on.
	order       []*account
}

// New returns a charger without tokens.
func New() *Charger {
	c := &Charger{urgent: make(chan struct{}, 1)}
	c.accounts.Store(&map[uint32]*account{})
	return c
}

// Urgent returns a channel that signals that a call took the last token of its tenant, or
// found none.
func (c *Charger) Urgent() <-chan struct{} { return c.urgent }

// Charge takes a token for a call of the tenant whose name has the hash.
func (c *Charger) Charge(now time.Duration, tenant uint32) Verdict {
	a := (*c.accounts.Load())[tenant]
	if a == nil {
		return c.short(false)
	}
	a.calls.Add(1)
	if int64(now) >= c.validUntil.Load() {
		return c.short(false)
	}
	current, left, ok := a.take()
	if ok {
		if left == 0 {
			c.signal()
		}
		return Charged{period: current}
	}
	if a.exhausted.Load() {
		retryAfter := a.retryAfter(rand.Float64())
		a.refused.Add(1)
		return OverLimit{retryAfter: retryAfter}
	}
	return c.short(true)
}

func (c *Charger) short(isPending bool) Short {
	c.signal()
	return Short{retryAfter: spread(shortRetryAfter), isPending: isPending}
}

// signal makes the next request urgent.
func (c *Charger) signal() {
	select {
	case c.urgent <- struct{}{}:
	default:
	}
}

// spread returns a random time around d, so that callers don't come back together.
func spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + rand.Float64()))
}

// Refund gives back the token of a call that did not run. It is void once the owner has
// been told that the token is used.
func (c *Charger) Refund(v Charged) {
	if v.period == nil {
		return
	}
	v.period.account.balance.giveBack(v.period.number)
}

// State is what a charger knows of a tenant.
type State struct {
	tokens    int64
	granted   time.Duration
	valid     bool
	exhausted bool
}

// Tokens returns the number of tokens.
func (s State) Tokens() int64 { return s.tokens }

// GrantedAt returns when the owner last granted tokens, or 0.
func (s State) GrantedAt() time.Duration { return s.granted }

// IsValid reports whether the tokens may be used: the owner answered lately.
func (s State) IsValid() bool { return s.valid }

// IsExhausted reports whether the tenant had used up its limit when the owner last answered.
func (s State) IsExhausted() bool { return s.exhausted }

// State returns the state of the tenant's account.
func (c *Charger) State(now time.Duration, tenant uint32) State {
	a := (*c.accounts.Load())[tenant]
	if a == nil {
		return State{}
	}
	return State{
		tokens: a.balance.tokens(), granted: time.Duration(a.granted.Load()),
		valid: int64(now) < c.validUntil.Load(), exhausted: a.exhausted.Load(),
	}
}

// SetTenants sets the capacities of the limited tenants. Where one becomes smaller, the
// tokens that were granted under the larger one are void.
func (c *Charger) SetTenants(capacities map[uint32]float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	old := *c.accounts.Load()
	accounts := make(map[uint32]*account, len(capacities))
	c.order, c.next = c.order[:0], 0
	for place, tenant := range slices.Sorted(maps.Keys(capacities)) {
		a, capacity := old[tenant], capacities[tenant]
		if a == nil {
			a = newAccount(tenant)
		}
		if capacity < a.capacity {
			a.void()
		}
		a.capacity, a.place = capacity, place
		accounts[tenant] = a
		c.order = append(c.order, a)
	}
	c.accounts.Store(&accounts)
}

// Collect returns the demands for the next request, at most limit. epoch is that of the
// owner's process, which knows nothing of the balances if it is a new one. A scheduler keeps
// a reserve of every tenant.
func (c *Charger) Collect(now time.Duration, epoch uint32, limit int, isScheduler bool) []granter.Demand {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	isNewOwner := c.expire(now) || epoch != c.epoch
	c.epoch = epoch
	elapsed := now - c.collectedAt
	c.collectedAt = now
	var forCalls, forReserve []*account
	for n := range c.order {
		a := c.order[(c.next+n)%len(c.order)]
		calls := a.observe(elapsed, isScheduler)
		a.giveBack()
		if isNewOwner {
			a.known, a.requests = unknown, 0
		}
		switch d := a.due(now, calls); {
		case d == dueForCalls:
			forCalls = append(forCalls, a)
		case d == dueForReserve || isNewOwner && a.wanted > 0:
			forReserve = append(forReserve, a)
		case isNewOwner:
			a.void()
		}
	}
	return c.demand(now, append(forCalls, forReserve...), limit, isNewOwner)
}

// demand returns the demands of the first accounts, at most limit; the next request begins
// with the others. A new owner would not know of their tokens.
func (c *Charger) demand(now time.Duration, accounts []*account, limit int, isNewOwner bool) []granter.Demand {
	included := accounts[:min(limit, len(accounts))]
	demands := make([]granter.Demand, 0, len(included))
	for _, a := range included {
		demands = append(demands, a.demand(now))
	}
	if len(included) < len(accounts) {
		c.next = accounts[len(included)].place
	}
	if isNewOwner {
		for _, a := range accounts[len(included):] {
			a.void()
		}
	}
	return demands
}

// expire drops the tokens if the owner has not answered for too long: it has forgotten them
// as well.
func (c *Charger) expire(now time.Duration) bool {
	if int64(now) < c.validUntil.Load() {
		return false
	}
	for _, a := range c.order {
		a.void()
		a.known = unknown
	}
	return true
}

// Apply adds the tokens that the owner granted for the last request, which was sent at
// sentAt.
func (c *Charger) Apply(now, sentAt time.Duration, r granter.Reply) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	accounts := *c.accounts.Load()
	elapsed := now - c.repliedAt
	c.repliedAt = now
	c.validUntil.Store(int64(sentAt + granter.TokenLife))
	for _, g := range r.Grants() {
		if a := accounts[g.Tenant()]; a != nil {
			a.apply(now, elapsed, g)
		}
	}
}
