package dispatcher

import (
	"time"

	"burdocklane/limiter"
	"burdocklane/recorder"
	"burdocklane/retrier"

	"github.com/go-faster/errors"
)

// recordDecision writes a decision about an attempt to the decision log.
func (c *activeCall) recordDecision(choice, reason string, a *attempt, waited, took time.Duration, candidates limiter.CandidateSummary) {
	status := 0
	if answered, ok := a.result.(retrier.Answered); ok {
		status = answered.Status()
	}
	c.dispatcher.recorder.Record(recorder.NewDecision(c.call.ID(), time.Now(), choice, reason,
		recorder.WithClass(c.call.Service().Name(), c.call.Class().Name()),
		recorder.WithAttempt(a.number+1, a.worker.ID()),
		recorder.WithCandidates(candidates),
		recorder.WithStatus(status),
		recorder.WithTarget(c.call.Class().Target().Latency()),
		recorder.WithError(c.attemptError(a)),
		recorder.WithTimes(waited, took)))
}

// attemptError returns why the attempt failed, or nil. If the caller disconnected
// or the deadline has passed, that is the cause: the connection error is then only
// a consequence.
func (c *activeCall) attemptError(a *attempt) error {
	switch result := a.result.(type) {
	case retrier.Lost:
		if c.ctx.Err() != nil {
			return errCallerDisconnected
		}
		if !time.Now().Before(c.call.Deadline()) {
			return errDeadlineExceeded
		}
		return result.Err()
	case retrier.Unsent:
		return result.Err()
	}
	return nil
}

var (
	errCallerDisconnected = errors.New("caller disconnected")
	errDeadlineExceeded   = errors.New("call deadline exceeded")
)
