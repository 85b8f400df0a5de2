package dispatcher

import (
	"time"

	"burdocklane/limiter"
	"burdocklane/recorder"
	"burdocklane/retrier"

	"github.com/go-faster/errors"
)

// record writes a decision about an attempt.
func (r *run) record(choice, reason string, a *attempt, waited, took time.Duration, seen limiter.Seen) {
	status := 0
	if answered, ok := a.result.(retrier.Answered); ok {
		status = answered.Status()
	}
	r.d.recorder.Record(recorder.NewDecision(r.call.ID(), time.Now(), choice, reason,
		recorder.WithClass(r.call.Service().Name(), r.call.Class().Name()),
		recorder.WithAttempt(a.number+1, a.worker.ID()),
		recorder.WithSeen(seen),
		recorder.WithStatus(status),
		recorder.WithTarget(r.call.Class().Target().Latency()),
		recorder.WithError(r.failure(a)),
		recorder.WithTimes(waited, took)))
}

// failure returns how the attempt broke, or nil. What ended by the deadline broke
// by that, whatever the connection then told.
func (r *run) failure(a *attempt) error {
	switch result := a.result.(type) {
	case retrier.Lost:
		if r.ctx.Err() != nil {
			return errCallerLeft
		}
		if !time.Now().Before(r.call.Deadline()) {
			return errDeadline
		}
		return result.Err()
	case retrier.Unsent:
		return result.Err()
	}
	return nil
}

var (
	errCallerLeft = errors.New("caller has left")
	errDeadline   = errors.New("deadline of the call")
)
