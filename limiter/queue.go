package limiter

import (
	"container/heap"
	"time"
)

// waiter is a call that waits for a slot.
type waiter struct {
	ask   Ask
	key   time.Time
	since time.Time
	ready chan Granted
	index int
}

// queue orders waiters by virtual deadline: arrival plus the class's target
// (earliest deadline first; Liu and Layland, 1973), pushed back by one mean
// service time for each call that the same caller already has waiting. Asks of
// peers stand behind all own calls.
type queue struct {
	waiters   []*waiter
	perCaller map[string]int
	peers     int
}

// peerPenalty puts a peer's ask behind every own call.
const peerPenalty = time.Hour

func newQueue() *queue { return &queue{perCaller: map[string]int{}} }

// Len implements heap.Interface.
func (q *queue) Len() int { return len(q.waiters) }

// Less implements heap.Interface.
func (q *queue) Less(i, j int) bool { return q.waiters[i].key.Before(q.waiters[j].key) }

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

func (q *queue) add(w *waiter, service time.Duration) {
	w.key = w.since.Add(w.ask.target)
	if w.ask.lending {
		w.key = w.key.Add(peerPenalty)
		q.peers++
	} else {
		w.key = w.key.Add(time.Duration(q.perCaller[w.ask.caller]) * service)
		q.perCaller[w.ask.caller]++
	}
	heap.Push(q, w)
}

// remove takes w out and returns false if it was no longer there.
func (q *queue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(q, w.index)
	if w.ask.lending {
		q.peers--
		return true
	}
	if q.perCaller[w.ask.caller]--; q.perCaller[w.ask.caller] <= 0 {
		delete(q.perCaller, w.ask.caller)
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
