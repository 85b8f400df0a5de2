package dispatcher

import (
	"time"

	"burdocklane/classifier"
	"burdocklane/recorder"
)

// reasonStopping is the reason for which a call is not run that comes late in a planned
// stop.
const reasonStopping = "instance-stops"

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

// limit returns the call with a deadline that is not after the end of the stop, and false
// if the call arrives too late to be run.
func (s *stopPlan) limit(call classifier.Call) (classifier.Call, bool) {
	if s == nil || !call.Deadline().After(s.end) {
		return call, true
	}
	return call.EndingBy(s.end), call.Arrival().Before(s.lateFrom)
}

// rejectLate ends a call that arrives too late in a planned stop.
func (d *Dispatcher) rejectLate(call *classifier.Call) Result {
	d.recorder.Record(recorder.NewDecision(call.ID(), time.Now(), "refuse", reasonStopping,
		recorder.WithClass(call.Service().Name(), call.Class().Name()),
		recorder.WithTarget(call.Class().Target().Latency())))
	d.metrics.countOutcome(call, "not-run")
	return NotRun{reason: reasonStopping}
}
