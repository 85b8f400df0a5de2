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
	rejected, ok := c.verdict(granted).(verifier.Rejected)
	if !ok && c.serviceState.Pool().IsClosed(granted.Worker()) { // That was learnt after the slot was granted.
		rejected, ok = verifier.NewRejected("leaving"), true
	}
	if !ok {
		return true
	}
	c.rejections++
	c.rejectedWorkers = append(c.rejectedWorkers, granted.Worker().ID())
	c.recordRejection(granted, rejected)
	granted.Release()
	return false
}

// verdict verifies the worker if that is due.
func (c *activeCall) verdict(granted limiter.Granted) verifier.Verdict {
	worker, path := granted.Worker(), c.call.Service().HealthPath()
	if _, reported := worker.Report(); c.dispatcher.verifier == nil || path == "" || !reported {
		return verifier.Confirmed{}
	}
	pool := c.serviceState.Pool()
	choice := verifier.NewChoice(worker.ReportAge(pool.Now()), worker.Distance(), c.rejections, time.Until(c.targetDeadline()))
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

func (c *activeCall) recordRejection(granted limiter.Granted, rejected verifier.Rejected) {
	c.dispatcher.recorder.Record(recorder.NewDecision(c.call.ID(), time.Now(), "pass-over", rejected.Reason(),
		recorder.WithClass(c.call.Service().Name(), c.call.Class().Name()),
		recorder.WithAttempt(c.attemptsStarted+1, granted.Worker().ID()),
		recorder.WithCandidates(granted.CandidateSummary()),
		recorder.WithTarget(c.call.Class().Target().Latency()),
		recorder.WithTimes(granted.Waited(), time.Since(c.call.Arrival()))))
}
