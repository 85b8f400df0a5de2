package limiter

import (
	"container/heap"
	"sync/atomic"
	"time"
)

// waiter is a call that waits for a slot.
type waiter struct {
	ask   Ask
	key   time.Time
	since time.Time
	ready chan Granted
	// impatient is set when the call has waited long enough to overflow.
	impatient atomic.Bool
	index     int
	number    uint64
}

// queue orders waiters by virtual deadline: the class's target (earliest
// deadline first; Liu and Layland, 1973) after the virtual arrival. That is the
// arrival itself, unless the caller sends more than the slots can serve: its
// calls then count as if they had come at the slots' rate (Zhang, "Virtual
// Clock", 1990), so that they do not overtake other callers' by their number.
// Asks of peers stand behind all own calls.
type queue struct {
	waiters []*waiter
	clocks  map[string]time.Time
	peers   int
	next    uint64
}

const (
	// peerPenalty puts a peer's ask behind every own call.
	peerPenalty = time.Hour
	// clockLead bounds how far a caller's clock runs ahead: a burst is
	// forgotten after this time.
	clockLead = time.Second
	// clocksKept is the number of callers at which old clocks are dropped.
	clocksKept = 1024
)

func newQueue() *queue { return &queue{clocks: map[string]time.Time{}} }

// Len implements heap.Interface.
func (q *queue) Len() int { return len(q.waiters) }

// Less implements heap.Interface.
func (q *queue) Less(i, j int) bool {
	a, b := q.waiters[i], q.waiters[j]
	if a.key.Equal(b.key) {
		return a.number < b.number
	}
	return a.key.Before(b.key)
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

// add puts w into the queue; perCall is the time in which the slots serve one
// call on average.
func (q *queue) add(w *waiter, perCall time.Duration) {
	q.next++
	w.number = q.next
	if w.ask.lending {
		w.key = w.since.Add(peerPenalty)
		q.peers++
	} else {
		w.key = q.arrival(w, perCall).Add(w.ask.target)
	}
	heap.Push(q, w)
}

// arrival returns the virtual arrival of a call and advances its caller's
// clock.
func (q *queue) arrival(w *waiter, perCall time.Duration) time.Time {
	if len(q.clocks) >= clocksKept {
		q.forget(w.since)
	}
	at := w.since
	if clock := q.clocks[w.ask.caller]; clock.After(at) {
		at = clock
	}
	if limit := w.since.Add(clockLead); at.After(limit) {
		at = limit
	}
	q.clocks[w.ask.caller] = at.Add(perCall)
	return at
}

func (q *queue) forget(now time.Time) {
	for caller, clock := range q.clocks {
		if clock.Before(now) {
			delete(q.clocks, caller)
		}
	}
}

// remove takes w out and returns false if it was no longer there.
func (q *queue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(q, w.index)
	if w.ask.lending {
		q.peers--
	}
	return true
}

func (q *queue) head() *waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	return q.waiters[0]
}

// own returns how many of the instance's own calls wait.
func (q *queue) own() int { return len(q.waiters) - q.peers }
