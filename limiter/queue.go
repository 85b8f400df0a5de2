package limiter

import (
	"container/heap"
	"sync/atomic"
	"time"
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
	index       int
	sequence    uint64
}

// queue orders queued calls by virtual deadline: the virtual arrival time plus
// the class's target (earliest deadline first; Liu and Layland, 1973). The
// virtual arrival is the actual arrival, unless the caller sends more than the
// slots can serve. The calls of such a caller count as if they had arrived at
// the rate of the slots (Zhang, "Virtual Clock", 1990), so that they do not
// get ahead of other callers' calls. Requests of peers are ordered behind all
// own calls.
type queue struct {
	waiters       []*waiter
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

// Len implements heap.Interface.
func (q *queue) Len() int { return len(q.waiters) }

// Less implements heap.Interface.
func (q *queue) Less(i, j int) bool {
	a, b := q.waiters[i], q.waiters[j]
	if a.virtualDeadline.Equal(b.virtualDeadline) {
		return a.sequence < b.sequence
	}
	return a.virtualDeadline.Before(b.virtualDeadline)
}

// Swap implements heap.Interface.
func (q *queue) Swap(i, j int) {
	q.waiters[i], q.waiters[j] = q.waiters[j], q.waiters[i]
	q.waiters[i].index, q.waiters[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w, _ := x.(*waiter)
	w.index = len(q.waiters)
	q.waiters = append(q.waiters, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(q.waiters) - 1
	w := q.waiters[last]
	q.waiters[last] = nil
	q.waiters = q.waiters[:last]
	w.index = -1
	return w
}

// add inserts w into the queue. perCall is the mean interval at which the
// slots serve calls.
func (q *queue) add(w *waiter, perCall time.Duration) {
	q.lastSequence++
	w.sequence = q.lastSequence
	if w.req.lending {
		w.virtualDeadline = w.arrival.Add(peerPenalty)
		q.peerCount++
	} else {
		w.virtualDeadline = q.virtualArrival(w, perCall).Add(w.req.target)
	}
	heap.Push(q, w)
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
	if w.index < 0 {
		return false
	}
	heap.Remove(q, w.index)
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
