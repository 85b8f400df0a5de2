package limiter

import (
	"context"
	"time"

	"burdocklane/picker"
)

// wait puts the call into the queue until a slot, its deadline or its end.
func (p *Pool) wait(ctx context.Context, ask Ask, since time.Time, seen Seen) Admission {
	w := &waiter{ask: ask, since: since, ready: make(chan Granted, 1)}
	if reason, ok := p.enqueue(w); !ok {
		return Refused{reason: reason, seen: seen}
	}
	p.dispatch()
	p.want(w)
	patience := time.NewTimer(p.patience(ask))
	defer patience.Stop()
	select {
	case granted := <-w.ready:
		return p.granted(granted, since, seen)
	case <-ctx.Done():
		return p.leave(w, ReasonCancelled, since, seen)
	case <-patience.C:
		if ask.lending {
			return p.leave(w, ReasonDeadline, since, seen)
		}
		w.impatient.Store(true)
		p.dispatch()
	}
	patience.Reset(time.Until(ask.deadline))
	select {
	case granted := <-w.ready:
		return p.granted(granted, since, seen)
	case <-ctx.Done():
		return p.leave(w, ReasonCancelled, since, seen)
	case <-patience.C:
		return p.leave(w, ReasonDeadline, since, seen)
	}
}

// patience is how long a call waits for a slot of the instance's own. A peer's
// ask never overflows.
func (p *Pool) patience(ask Ask) time.Duration {
	left := time.Until(ask.deadline)
	if ask.lending {
		return left
	}
	return min(time.Duration(spillFactor*float64(p.mean.Load())), left)
}

// overflowServes halves of the own slots serve the queue: overflow and loans
// add to them.
const overflowServes = 3

// enqueue refuses a call that cannot be served in time.
func (p *Pool) enqueue(w *waiter) (Reason, bool) {
	mean := time.Duration(p.mean.Load())
	p.mutex.Lock()
	defer p.mutex.Unlock()
	ahead := p.queue.own()
	if ahead >= p.queueLimit {
		return ReasonQueueFull, false
	}
	slots := max(p.Slots()*overflowServes/2, 1)
	expected := mean * time.Duration(ahead+1) / time.Duration(slots)
	if !w.ask.lending && time.Until(w.ask.deadline) < expected+mean/2 {
		return ReasonDeadline, false
	}
	if !w.ask.lending && expected > worthWaiting(w.ask.target, mean) {
		return ReasonOverload, false
	}
	p.queue.add(w, mean/time.Duration(slots))
	p.waiting.Add(1)
	return "", true
}

// worthWaiting returns the longest wait after which a call still has a good
// chance to meet its target. A longer queue is of no use: it would make all
// calls late. One mean latency is always worth waiting, however tight the
// target.
func worthWaiting(target, mean time.Duration) time.Duration {
	const chances = 2 // A call rarely takes longer than twice the mean.
	return max(target-chances*mean, mean)
}

// leave takes w out of the queue, and gives back a slot that came meanwhile.
func (p *Pool) leave(w *waiter, reason Reason, since time.Time, seen Seen) Admission {
	p.mutex.Lock()
	removed := p.queue.remove(w)
	p.mutex.Unlock()
	if removed {
		p.waiting.Add(-1)
	} else {
		granted := <-w.ready
		granted.Release()
	}
	return Refused{reason: reason, waited: time.Since(since), seen: seen}
}

// dispatch hands free slots to the calls that wait, the most urgent first, and
// slots beyond the instance's own to those that have run out of patience. The
// slot of a release that sees no waiter, and the waiter that sees no slot,
// cannot miss each other: each writes its own side before it reads the other's.
func (p *Pool) dispatch() {
	if p.waiting.Load() == 0 {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var seen Seen
	for {
		head := p.queue.head()
		if head == nil {
			return
		}
		worker, decision := p.try(p.policyFor(&head.ask), &head.ask, &seen)
		if _, ok := decision.(picker.Send); ok {
			p.hand(head, Granted{pool: p, worker: worker, target: head.ask.target, onBehalf: head.ask.onBehalf})
			continue
		}
		if !head.impatient.Load() {
			return
		}
		worker, ok := p.takeOverflow(&head.ask)
		if !ok {
			return
		}
		p.hand(head, Granted{pool: p, worker: worker, overflow: true})
	}
}

// hand gives a grant to a waiter; the caller holds the mutex.
func (p *Pool) hand(w *waiter, g Granted) {
	p.queue.remove(w)
	p.waiting.Add(-1)
	w.ready <- g
}
