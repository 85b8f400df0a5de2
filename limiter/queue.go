package limiter

import (
	"slices"
	"sync/atomic"
	"time"

	"burdocklane/ranker"
)

// waiter is a queued call.
type waiter struct {
	req             Request
	virtualDeadline time.Time
	arrival         time.Time
	ready           chan Granted
	// mayOverflow is set once the call has waited long enough to use a slot
	// beyond the instance's own share.
	mayOverflow atomic.Bool
	queued      bool
	sequence    uint64
	rank        ranker.Rank // In a pool that ranks calls.
	ranking     rankingSummary
}

// queue orders queued calls by virtual deadline: the virtual arrival time plus
// the class's target (earliest deadline first; Liu and Layland, 1973). The
// virtual arrival is the actual arrival, unless the caller sends more than the
// slots can serve. The calls of such a caller count as if they had arrived at
// the rate of the slots (Zhang, "Virtual Clock", 1990), so that they do not
// get ahead of other callers' calls. Requests of peers are ordered behind all
// own calls. A pool that ranks calls orders them by rank instead.
type queue struct {
	waiters       []*waiter // In order.
	virtualClocks map[string]time.Time
	peerCount     int
	lastSequence  uint64
}

const (
	// peerPenalty is added to the virtual deadline of a peer's request, which
	// orders it behind all own calls.
	peerPenalty = time.Hour
	// maxClockLead bounds how far a caller's virtual clock can run ahead of
	// real time, so that a burst no longer counts against the caller after
	// this time.
	maxClockLead = time.Second
	// maxClocks is the number of callers from which on virtual clocks in the
	// past are dropped.
	maxClocks = 1024
)

func newQueue() *queue { return &queue{virtualClocks: map[string]time.Time{}} }

// before reports whether w is ordered before other.
func (w *waiter) before(other *waiter) bool {
	if w.rank != other.rank {
		return w.rank.Before(other.rank)
	}
	if w.virtualDeadline.Equal(other.virtualDeadline) {
		return w.sequence < other.sequence
	}
	return w.virtualDeadline.Before(other.virtualDeadline)
}

// position returns the number of waiters that are ordered before w.
func (q *queue) position(w *waiter) int {
	at, _ := slices.BinarySearchFunc(q.waiters, w, func(queued, w *waiter) int {
		if queued.before(w) {
			return -1
		}
		return 1
	})
	return at
}

// add inserts w into the queue. perCall is the mean interval at which the
// slots serve calls.
func (q *queue) add(w *waiter, perCall time.Duration) {
	if w.req.lending {
		w.virtualDeadline = w.arrival.Add(peerPenalty)
		q.peerCount++
	} else {
		w.virtualDeadline = q.virtualArrival(w, perCall).Add(w.req.target)
	}
	q.insert(w)
}

func (q *queue) insert(w *waiter) {
	q.lastSequence++
	w.sequence, w.queued = q.lastSequence, true
	q.waiters = slices.Insert(q.waiters, q.position(w), w)
}

// virtualArrival returns the virtual arrival of a call and advances its
// caller's virtual clock.
func (q *queue) virtualArrival(w *waiter, perCall time.Duration) time.Time {
	if len(q.virtualClocks) >= maxClocks {
		q.dropPastClocks(w.arrival)
	}
	at := w.arrival
	if clock := q.virtualClocks[w.req.caller]; clock.After(at) {
		at = clock
	}
	if limit := w.arrival.Add(maxClockLead); at.After(limit) {
		at = limit
	}
	q.virtualClocks[w.req.caller] = at.Add(perCall)
	return at
}

func (q *queue) dropPastClocks(now time.Time) {
	for caller, clock := range q.virtualClocks {
		if clock.Before(now) {
			delete(q.virtualClocks, caller)
		}
	}
}

// remove deletes w from the queue. It returns false if w was no longer queued.
func (q *queue) remove(w *waiter) bool {
	if !w.queued {
		return false
	}
	at := q.position(w)
	q.waiters = slices.Delete(q.waiters, at, at+1)
	w.queued = false
	if w.req.lending {
		q.peerCount--
	}
	return true
}

func (q *queue) head() *waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	return q.waiters[0]
}

// ownCount returns the number of the instance's own queued calls.
func (q *queue) ownCount() int { return len(q.waiters) - q.peerCount }
