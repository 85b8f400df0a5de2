package dispatcher

import (
	"time"

	"burdocklane/classifier"
	"burdocklane/recorder"
)

// ReasonStopping is the reason for which a call is not run that comes late in a planned
// stop.
const ReasonStopping = "instance-stops"

// stopPlan is the schedule of a planned stop. It is immutable.
type stopPlan struct {
	lateFrom time.Time
	end      time.Time
}

// Stop starts a planned stop, which aborts the calls that are in flight at end. From
// lateFrom on, callers should have turned to other instances: a call that arrives later
// is run only if its deadline is before end. An earlier one gets end as its deadline, so
// that its worker still answers it.
func (d *Dispatcher) Stop(lateFrom, end time.Time) {
	d.stop.Store(&stopPlan{lateFrom: lateFrom, end: end})
}

// admits reports whether a call that arrives during the stop is run, and moves its
// deadline before the end of the stop.
func (s *stopPlan) admits(call *classifier.Call) bool {
	if s == nil || !call.Deadline().After(s.end) {
		return true
	}
	if !call.Arrival().Before(s.lateFrom) {
		return false
	}
	*call = call.EndingBy(s.end)
	return true
}

// rejectLate ends a call that arrives too late in a planned stop.
func (d *Dispatcher) rejectLate(call *classifier.Call) Result {
	d.recorder.Record(recorder.NewDecision(call.ID(), time.Now(), "refuse", ReasonStopping,
		recorder.WithClass(call.Service().Name(), call.Class().Name()),
		recorder.WithTarget(call.Class().Target().Latency())))
	d.metrics.countOutcome(call, "not-run")
	return NotRun{reason: ReasonStopping}
}
