package dispatcher

import (
	"context"
	"sync"
	"time"

	"burdocklane/limiter"
	"burdocklane/recoverer"
	"burdocklane/retrier"
	"burdocklane/sleeper"
)

// hedge is a second attempt that runs concurrently with a slow first one.
type hedge struct {
	mutex    sync.Mutex // Guards closed, won and attempt.
	closed   bool       // No hedged attempt may start or win any more.
	won      bool       // The hedged attempt was answered first and the first one was cancelled.
	attempt  *attempt
	ctx      context.Context // Cancelled when the first attempt ends.
	cancel   context.CancelFunc
	finished chan struct{}
}

// attemptWithHedge makes an attempt, and a hedged attempt concurrently if the first
// one is slow. It returns the attempt whose result counts, with its slot held. The
// other one is cancelled and its slot is released when it ends. The first attempt
// runs on the call's own goroutine because most calls are never hedged.
func (c *activeCall) attemptWithHedge(granted limiter.Granted) *attempt {
	first := c.startAttempt(granted, c.sendReason(granted))
	delay, ok := c.hedgeDelay(first)
	if !ok {
		c.sendAttempt(first)
		c.observeResult(first)
		return first
	}
	h := &hedge{finished: make(chan struct{})}
	h.ctx, h.cancel = context.WithCancel(c.ctx)
	c.dispatcher.activeHedges.Add(1)
	timer := time.AfterFunc(delay, func() { c.runHedge(h, first) })
	c.sendAttempt(first)
	if timer.Stop() {
		c.dispatcher.activeHedges.Done()
		h.cancel()
		c.observeResult(first)
		return first
	}
	return c.chooseAttempt(h, first)
}

// hedgeDelay returns the delay until the first check whether a hedged attempt is
// due, and false if the call must not be hedged.
func (c *activeCall) hedgeDelay(first *attempt) (time.Duration, bool) {
	if !c.dispatcher.hedging || !retrier.MayHedge(c.call, c.replayable, c.attemptsStarted) {
		return 0, false
	}
	switch s := c.decideHedge(first).(type) {
	case retrier.CheckLater:
		return s.Delay(), true
	case retrier.HedgeNow:
		return 0, c.serviceState.Pool().MeanLatency() > 0
	}
	return 0, false
}

// decideHedge asks the retrier whether a hedged attempt is due now, based on the
// pool's current estimate for the first attempt's worker.
func (c *activeCall) decideHedge(first *attempt) retrier.HedgeDecision {
	usualLatency, slowdown, reported := c.serviceState.Pool().LatencyEstimate(first.granted.Worker(), c.call.Class().Target().Latency())
	estimate := retrier.NewEstimate(usualLatency, slowdown, reported, time.Until(targetDeadline(c.call)))
	return retrier.DecideHedge(estimate, time.Since(first.startedAt))
}

// awaitHedge waits until a hedged attempt is due and has been granted a slot. It
// returns false if the first attempt ends before that, or if no slot or budget is
// available and the workers report no load, in which case it does not try again.
func (c *activeCall) awaitHedge(h *hedge, first *attempt) bool {
	decision := c.decideHedge(first)
	for {
		switch s := decision.(type) {
		case retrier.HedgeNow:
			if c.startHedge(h) {
				return true
			}
			if _, _, reported := c.serviceState.Pool().LatencyEstimate(first.granted.Worker(), 0); !reported {
				return false
			}
			decision = retrier.Recheck()
		case retrier.CheckLater:
			if !sleeper.Sleep(h.ctx, s.Delay()) {
				return false
			}
			decision = c.decideHedge(first)
		}
	}
}

// runHedge makes the hedged attempt. If it is answered first, the first attempt is
// cancelled.
func (c *activeCall) runHedge(h *hedge, first *attempt) {
	defer c.dispatcher.activeHedges.Done()
	defer close(h.finished)
	recoverer.Do(*c.dispatcher.asserter.Log(), "hedged attempt", func() { c.sendHedge(h, first) }) //nolint:errcheck // Logged.
}

// sendHedge makes the hedged attempt once it is due.
func (c *activeCall) sendHedge(h *hedge, first *attempt) {
	if !c.awaitHedge(h, first) {
		return
	}
	c.sendAttempt(h.attempt)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if isAnswered(h.attempt) && !h.closed {
		h.won = true
		first.cancel()
	}
}

// startHedge acquires a slot at another worker and starts the hedged attempt. It
// returns false if the first attempt has ended, no slot is free or the retry budget
// is exhausted. It does not wait for a slot.
func (c *activeCall) startHedge(h *hedge) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed {
		return false
	}
	granted, ok := c.serviceState.Pool().TryHedge(h.ctx, c.admissionRequest().AsHedge())
	if !ok {
		return false
	}
	_, closed := c.isClosed(granted)
	if closed || c.serviceState.Pool().NeedsConfirmation(granted.Worker()) || !c.serviceState.Budget().Withdraw() {
		granted.Release()
		return false
	}
	c.dispatcher.metrics.hedges.Inc()
	h.attempt = c.startAttempt(granted, "hedge")
	return true
}

// chooseAttempt decides which attempt's result counts, after the first one ended:
// the hedged attempt if it was answered first; otherwise the first attempt if it was
// answered or was the only one; otherwise, once the hedged attempt has ended, that
// one if it was answered and the first one if not.
func (c *activeCall) chooseAttempt(h *hedge, first *attempt) *attempt {
	h.mutex.Lock()
	h.closed = true
	h.cancel()
	second, won := h.attempt, h.won
	h.mutex.Unlock()
	switch {
	case second == nil:
		c.observeResult(first)
		return first
	case won: // The first was cancelled by the hedge, so its result is not reported to the pool.
		c.history = c.history.With(first.result).With(second.result)
		c.reportToPool(second)
		c.discard(first)
		return second
	case isAnswered(first):
		c.observeResult(first)
		c.discardHedge(h, second)
		return first
	}
	<-h.finished
	c.observeResult(first)
	c.observeResult(second)
	if isAnswered(second) {
		c.discard(first)
		return second
	}
	c.discard(second)
	return first
}

// discardHedge cancels the hedged attempt, counts it as one that may have run and
// releases its slot when it ends.
func (c *activeCall) discardHedge(h *hedge, a *attempt) {
	a.cancel()
	c.history = c.history.With(retrier.NewLost(nil))
	c.dispatcher.activeHedges.Go(func() {
		<-h.finished
		a.granted.Release()
	})
}

// isAnswered reports whether the worker answered the attempt.
func isAnswered(a *attempt) bool {
	_, ok := a.result.(retrier.Answered)
	return ok
}

// sendReason returns the reason that the decision log gives for an attempt's slot.
func (c *activeCall) sendReason(granted limiter.Granted) string {
	switch {
	case c.attemptsStarted > 0:
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
