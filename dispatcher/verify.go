package dispatcher

import (
	"time"

	"burdocklane/limiter"
	"burdocklane/recorder"
	"burdocklane/verifier"
)

// WithVerifier verifies each chosen worker right before a call is sent there, if the
// workers report their load. The default is to send at once.
func WithVerifier(v *verifier.Verifier) Option { return func(d *Dispatcher) { d.verifier = v } }

// isVerified reports whether the call may be sent to the granted worker. If not, the slot
// is released, and the call is admitted again for another worker.
func (c *activeCall) isVerified(granted limiter.Granted) bool {
	switch v := c.verdict(granted).(type) {
	case verifier.Rejected:
		c.rejections++
		c.rejectedWorkers = append(c.rejectedWorkers, granted.Worker().ID())
		c.passOver(granted, v.Reason())
		return false
	case verifier.Closed:
		c.closedWorkers = append(c.closedWorkers, granted.Worker().ID())
		c.passOver(granted, v.Reason())
		return false
	}
	return true
}

// verdict verifies the worker if that is due. What has become known of the worker since the
// slot was granted counts.
func (c *activeCall) verdict(granted limiter.Granted) verifier.Verdict {
	verdict := c.check(granted)
	if _, rejected := verdict.(verifier.Rejected); rejected {
		return verdict
	}
	if reason, closed := c.isClosed(granted); closed {
		return verifier.NewClosed(reason)
	}
	return verdict
}

// isClosed reports whether the granted worker must not get the call any more, and why. It is
// the last look before the call is sent.
func (c *activeCall) isClosed(granted limiter.Granted) (reason string, closed bool) {
	pool := c.serviceState.Pool()
	if e := pool.ExcludeGranted(granted, c.constraint); e != limiter.NotExcluded {
		return string(e), true
	}
	return "leaving", pool.IsClosed(granted.Worker())
}

// check runs the health check of the worker that is due, if any.
func (c *activeCall) check(granted limiter.Granted) verifier.Verdict {
	worker, path := granted.Worker(), c.call.Service().HealthPath()
	if c.dispatcher.verifier != nil && path != "" && c.serviceState.Pool().NeedsConfirmation(worker) {
		return c.dispatcher.verifier.Confirm(c.ctx, c.serviceState.Pool(), worker, path)
	}
	if _, reported := worker.Report(); c.dispatcher.verifier == nil || path == "" || !reported {
		return verifier.Confirmed{}
	}
	pool := c.serviceState.Pool()
	choice := verifier.NewChoice(worker.ReportAge(pool.Now()), worker.Distance(), c.rejections, time.Until(targetDeadline(c.call)))
	if c.call.Regions().IsRestricted() {
		choice = choice.Confined()
	}
	timeout, due := choice.Timeout()
	if !due {
		return verifier.Confirmed{}
	}
	return c.dispatcher.verifier.Verify(c.ctx, pool, worker, path, timeout)
}

// readmitRejected allows the rejected workers again, and reports whether there were any:
// health checks may lie, and a call that no other worker takes is sent to one of them.
func (c *activeCall) readmitRejected() bool {
	if len(c.rejectedWorkers) == 0 {
		return false
	}
	c.rejections = verifier.MaxRejections
	c.rejectedWorkers = nil
	return true
}

// passOver logs why the call is not sent to the granted worker, and releases the slot.
func (c *activeCall) passOver(granted limiter.Granted, reason string) {
	c.dispatcher.recorder.Record(recorder.NewDecision(c.call.ID(), time.Now(), "pass-over", reason,
		recorder.WithClass(c.call.Service().Name(), c.call.Class().Name()),
		recorder.WithAttempt(c.attemptsStarted+1, granted.Worker().ID()),
		recorder.WithCandidates(granted.CandidateSummary()),
		recorder.WithTarget(c.call.Class().Target().Latency()),
		recorder.WithTimes(granted.Waited(), time.Since(c.call.Arrival()))))
	granted.Release()
}
