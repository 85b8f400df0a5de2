package dispatcher

import (
	"time"

	"burdocklane/authenticator"
	"burdocklane/classifier"
	"burdocklane/recorder"
)

// Check returns the result for a request that cannot be dispatched whatever its body, or
// nil. It lets a front end refuse such a request before it reads the body.
func (d *Dispatcher) Check(request classifier.Request) Result {
	snapshot := d.publisher.Current()
	if !snapshot.Ready() {
		return NotReady{}
	}
	call, ok := snapshot.Index().Match(request, time.Now())
	if !ok {
		return Unmatched{}
	}
	if r, ok := snapshot.Authenticator().Authenticate(request.Credential(), call.Class().IsPublic()).(authenticator.Rejected); ok {
		d.recordRejection(snapshot, &call, r.Reason())
		return Unauthorized{}
	}
	return nil
}

// ReasonNoRoom is the reason for refusing a request while callers hold too much of the
// instance.
const ReasonNoRoom = "callers-hold-too-much"

// RecordNoRoom logs that the front end refuses a request with [ReasonNoRoom]. It has not
// been dispatched.
func (d *Dispatcher) RecordNoRoom(request classifier.Request) {
	d.recorder.Record(recorder.NewDecision(request.ID(), time.Now(), "refuse", ReasonNoRoom))
}
