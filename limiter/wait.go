package limiter

import (
	"context"
	"time"

	"burdocklane/picker"
)

// waitForSlot queues the call until it gets a slot, its deadline passes or its
// context is cancelled.
func (p *Pool) waitForSlot(ctx context.Context, req Request, arrival time.Time, summary CandidateSummary) Admission {
	w := &waiter{req: req, arrival: arrival, ready: make(chan Granted, 1)}
	if reason, ok := p.enqueue(w); !ok {
		return Refused{reason: reason, summary: summary}
	}
	p.dispatch()
	p.signalDemand(w)
	timer := time.NewTimer(p.overflowDelay(req))
	defer timer.Stop()
	select {
	case granted := <-w.ready:
		return p.completeGrant(granted, arrival, summary)
	case <-ctx.Done():
		return p.abandon(w, ReasonCancelled, arrival, summary)
	case <-timer.C:
		if req.lending {
			return p.abandon(w, ReasonDeadline, arrival, summary)
		}
		w.mayOverflow.Store(true)
		p.dispatch()
	}
	timer.Reset(time.Until(req.deadline))
	select {
	case granted := <-w.ready:
		return p.completeGrant(granted, arrival, summary)
	case <-ctx.Done():
		return p.abandon(w, ReasonCancelled, arrival, summary)
	case <-timer.C:
		return p.abandon(w, ReasonDeadline, arrival, summary)
	}
}

// overflowDelay returns how long a call waits for one of the instance's own
// slots before it may overflow. A peer's request never overflows.
func (p *Pool) overflowDelay(req Request) time.Duration {
	left := time.Until(req.deadline)
	if req.lending {
		return left
	}
	return min(time.Duration(overflowWaitFactor*float64(p.meanLatency.Load())), left)
}

// queueServiceHalves is the assumed number of slots that serve the queue, in
// halves of the own slots: overflow and loans add to them.
const queueServiceHalves = 3

// enqueue adds the call to the queue, unless it cannot be served in time.
func (p *Pool) enqueue(w *waiter) (Reason, bool) {
	meanLatency := time.Duration(p.meanLatency.Load())
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if reason, ok := p.mayQueue(&w.req, meanLatency); !ok {
		return reason, false
	}
	p.queue.add(w, meanLatency/time.Duration(p.queueSlots()))
	p.waiting.Add(1)
	return "", true
}

// queueSlots is the assumed number of slots that serve the queue.
func (p *Pool) queueSlots() int { return max(p.Slots()*queueServiceHalves/2, 1) }

// mayQueue returns false and the reason if the call cannot be served in time from the queue.
// The caller holds the mutex.
func (p *Pool) mayQueue(req *Request, meanLatency time.Duration) (Reason, bool) {
	ahead := p.queue.ownCount()
	if ahead >= p.queueLimit {
		return ReasonQueueFull, false
	}
	expected := meanLatency * time.Duration(ahead+1) / time.Duration(p.queueSlots())
	if !req.lending && time.Until(req.deadline) < expected+meanLatency/2 {
		return ReasonDeadline, false
	}
	if !req.lending && expected > maxUsefulWait(req.target, meanLatency) {
		return ReasonOverload, false
	}
	return "", true
}

// maxUsefulWait returns the longest wait after which a call is still likely to
// meet its target. A longer queue would only make all calls late. One mean
// latency is always allowed, however short the target.
func maxUsefulWait(target, meanLatency time.Duration) time.Duration {
	const meansPerCall = 2 // A call rarely takes longer than twice the mean.
	return max(target-meansPerCall*meanLatency, meanLatency)
}

// abandon removes w from the queue and releases a slot that was granted in the
// meantime.
func (p *Pool) abandon(w *waiter, reason Reason, arrival time.Time, summary CandidateSummary) Admission {
	p.mutex.Lock()
	removed := p.queue.remove(w)
	p.mutex.Unlock()
	if removed {
		p.waiting.Add(-1)
	} else {
		granted := <-w.ready
		granted.Release()
	}
	return Refused{reason: reason, waited: time.Since(arrival), summary: summary}
}

// dispatch grants free slots to queued calls in order of urgency, and slots
// beyond the instance's own share to those that may overflow.
//
// No wakeup is lost between a release that sees no queued call and a call that
// sees no free slot: each side writes its own state before it reads the
// other's.
func (p *Pool) dispatch() {
	if p.waiting.Load() == 0 {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ranksCalls.Load() {
		p.dispatchByRank()
		return
	}
	var summary CandidateSummary
	for {
		head := p.queue.head()
		if head == nil {
			return
		}
		granted, decision := p.pickAndAcquire(p.policyFor(&head.req), &head.req, &summary)
		if _, ok := decision.(picker.Send); ok {
			p.deliver(head, granted)
			continue
		}
		if !head.mayOverflow.Load() {
			return
		}
		granted, ok := p.acquireOverflow(&head.req)
		if !ok {
			return
		}
		p.deliver(head, granted)
	}
}

// deliver passes a grant to a queued call. The caller holds the mutex.
func (p *Pool) deliver(w *waiter, g Granted) {
	p.queue.remove(w)
	p.waiting.Add(-1)
	w.ready <- g
}
