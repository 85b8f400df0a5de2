package charger

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Local admits the few calls that an instance may admit of each tenant without a token: all
// instances together stay inside the tolerance. It is safe for concurrent use.
type Local struct {
	window time.Duration
	mutex  sync.Mutex // Serializes changes of the map.
	rings  atomic.Pointer[map[uint32]*ring]
}

// ring holds the times of the last admitted calls of a tenant.
type ring struct {
	times []atomic.Int64
	next  atomic.Uint64
}

// never is the time of a call that was not made.
const never = -1 << 62

// NewLocal returns a Local for the window of the tolerance.
func NewLocal(window time.Duration) *Local {
	l := &Local{window: window}
	l.rings.Store(&map[uint32]*ring{})
	return l
}

// Admit reports whether a call of the tenant may pass. calls is how many of them the
// instance may admit in a window.
func (l *Local) Admit(now time.Duration, tenant uint32, calls int) bool {
	if calls <= 0 {
		return false
	}
	return l.ringOf(tenant, calls).admit(now, l.window)
}

// ringOf returns the tenant's ring. One of another size takes over the latest calls of the
// former one.
func (l *Local) ringOf(tenant uint32, calls int) *ring {
	if r := (*l.rings.Load())[tenant]; r != nil && len(r.times) == calls {
		return r
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	old := *l.rings.Load()
	if r := old[tenant]; r != nil && len(r.times) == calls {
		return r
	}
	r := newRing(calls, old[tenant])
	rings := maps.Clone(old)
	rings[tenant] = r
	l.rings.Store(&rings)
	return r
}

// newRing returns a ring of the size with the latest times of the former one, if there is
// one. The oldest time comes first.
func newRing(calls int, former *ring) *ring {
	times := make([]int64, calls)
	for n := range times {
		times[n] = never
	}
	if former != nil {
		for n := range former.times {
			times = append(times, former.times[n].Load())
		}
	}
	slices.Sort(times)
	r := &ring{times: make([]atomic.Int64, calls)}
	for n, at := range times[len(times)-calls:] {
		r.times[n].Store(at)
	}
	return r
}

// admit records a call in place of the oldest one. It returns false if that one is still in
// the window, or if another call has just taken its place.
func (r *ring) admit(now, window time.Duration) bool {
	at := &r.times[r.next.Load()%uint64(len(r.times))]
	oldest := at.Load()
	if oldest != never && int64(now)-oldest < int64(window) {
		return false
	}
	if !at.CompareAndSwap(oldest, int64(now)) {
		return false
	}
	r.next.Add(1)
	return true
}
