package dispatcher

import (
	"context"
	"sync"
	"time"

	"burdocklane/limiter"
	"burdocklane/retrier"
	"burdocklane/sleeper"
)

// hedge is a second attempt that starts beside a late first one.
type hedge struct {
	mutex    sync.Mutex // Guards closed, won and attempt.
	closed   bool
	won      bool // The first attempt was cancelled for the hedged one's sake.
	attempt  *attempt
	over     context.Context // Ends when the first attempt has.
	end      context.CancelFunc
	finished chan struct{}
}

// race makes an attempt, and a hedged one beside it when the first is late.
// It returns the attempt to decide on, with its slot held; the loser is
// cancelled and gives its slot back when it ends. The first attempt runs on the
// call's own goroutine: most calls are never hedged.
func (r *run) race(granted limiter.Granted) *attempt {
	first := r.start(granted, r.reason(granted))
	delay, ok := r.hedgeDelay(first)
	if !ok {
		r.send(first)
		r.learn(first)
		return first
	}
	h := &hedge{finished: make(chan struct{})}
	h.over, h.end = context.WithCancel(r.ctx)
	r.d.running.Add(1)
	timer := time.AfterFunc(delay, func() { r.runHedge(h, first) })
	r.send(first)
	if timer.Stop() {
		r.d.running.Done()
		h.end()
		r.learn(first)
		return first
	}
	return r.choose(h, first)
}

// hedgeDelay returns when to look whether a second attempt is due, and false if
// there must not be any.
func (r *run) hedgeDelay(first *attempt) (time.Duration, bool) {
	if !r.d.hedging || !retrier.MayHedge(r.call, r.replayable, r.numbered) {
		return 0, false
	}
	switch s := r.hedgeStep(first).(type) {
	case retrier.Later:
		return s.Delay(), true
	case retrier.Hedge:
		return 0, r.lane.Pool().Mean() > 0
	}
	return 0, false
}

func (r *run) hedgeStep(first *attempt) retrier.HedgeStep {
	usual, pace, known := r.lane.Pool().Outlook(first.granted.Worker(), r.call.Class().Target().Latency())
	outlook := retrier.NewOutlook(usual, pace, known, time.Until(r.onTime()))
	return retrier.HedgeAfter(outlook, time.Since(first.start))
}

// awaitHedge waits until a second attempt is due and has been granted a slot.
// It returns false if the first has ended before.
func (r *run) awaitHedge(h *hedge, first *attempt) bool {
	step := r.hedgeStep(first)
	for {
		switch s := step.(type) {
		case retrier.Hedge:
			if r.beginHedge(h) {
				return true
			}
			if _, _, known := r.lane.Pool().Outlook(first.granted.Worker(), 0); !known {
				return false
			}
			step = retrier.LookAgain()
		case retrier.Later:
			if !sleeper.Sleep(h.over, s.Delay()) {
				return false
			}
			step = r.hedgeStep(first)
		}
	}
}

// runHedge makes the second attempt. If it is answered, the first is cancelled.
func (r *run) runHedge(h *hedge, first *attempt) {
	defer r.d.running.Done()
	defer close(h.finished)
	if !r.awaitHedge(h, first) {
		return
	}
	r.send(h.attempt)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if answered(h.attempt) && !h.closed {
		h.won = true
		first.cancel()
	}
}

// beginHedge takes a slot at another worker, if there is one and the budget
// allows it, unless the first attempt has ended meanwhile. It never waits.
func (r *run) beginHedge(h *hedge) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed {
		return false
	}
	granted, ok := r.lane.Pool().TryHedge(h.over, r.ask().Second())
	if !ok {
		return false
	}
	if !r.lane.Budget().Withdraw() {
		granted.Release()
		return false
	}
	r.d.meter.hedges.Inc()
	h.attempt = r.start(granted, "hedge")
	return true
}

// choose returns the first attempt if it was answered or was the only one, and
// else the hedged one if that was.
func (r *run) choose(h *hedge, first *attempt) *attempt {
	h.mutex.Lock()
	h.closed = true
	h.end()
	second, won := h.attempt, h.won
	h.mutex.Unlock()
	switch {
	case second == nil:
		r.learn(first)
		return first
	case won: // That the first was cancelled is no fault of its worker.
		r.history = r.history.After(first.result).After(second.result)
		r.teach(second)
		r.abandon(first)
		return second
	case answered(first):
		r.learn(first)
		r.dropLater(h, second)
		return first
	}
	<-h.finished
	r.learn(first)
	r.learn(second)
	if answered(second) {
		r.abandon(first)
		return second
	}
	r.abandon(second)
	return first
}

// dropLater cancels an attempt in flight and gives its slot back when it ends.
func (r *run) dropLater(h *hedge, a *attempt) {
	a.cancel()
	r.history = r.history.After(retrier.NewLost(nil))
	r.d.running.Go(func() {
		<-h.finished
		a.granted.Release()
	})
}

func answered(a *attempt) bool {
	_, ok := a.result.(retrier.Answered)
	return ok
}

func (r *run) reason(granted limiter.Granted) string {
	switch {
	case r.numbered > 0:
		return "retry"
	case granted.Borrowed():
		return "borrowed-slot"
	case granted.Overflowed():
		return "overflow"
	case granted.Assigned():
		return "assigned"
	case granted.Waited() > 0:
		return "waited-for-slot"
	}
	return "free-slot"
}
