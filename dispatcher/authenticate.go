package dispatcher

import (
	"time"

	"burdocklane/authenticator"
	"burdocklane/classifier"
	"burdocklane/publisher"
	"burdocklane/recorder"
)

// authenticate returns the call of a request with its tenant, or false if the
// configuration requires an API key that the request doesn't present.
func (d *Dispatcher) authenticate(snapshot *publisher.Snapshot, request classifier.Request, call classifier.Call) (classifier.Call, bool) {
	switch result := snapshot.Authenticator().Authenticate(request.Credential(), call.Class().IsPublic()).(type) {
	case authenticator.Authenticated:
		d.metrics.tenants.countRequest(result.Tenant().Name())
		return call.ForTenant(result.Tenant()), true
	case authenticator.Anonymous:
		return call.ForTenant(nil), true
	case authenticator.Rejected:
		d.recordRejection(snapshot, &call, result.Reason())
		return call, false
	case authenticator.Open:
	}
	return call, true
}

// recordRejection logs and counts a request without an API key that is in force. Neither
// the key nor its digest is logged.
func (d *Dispatcher) recordRejection(snapshot *publisher.Snapshot, call *classifier.Call, reason authenticator.Reason) {
	now := time.Now()
	d.recorder.Record(recorder.NewDecision(call.ID(), now, "refuse", string(reason),
		recorder.WithClass(call.Service().Name(), call.Class().Name()),
		recorder.WithConfiguration(snapshot.Deployment().Revision(), now.Sub(snapshot.ActiveSince())),
		recorder.WithTimes(0, now.Sub(call.Arrival()))))
	d.metrics.countUnauthorized(reason)
}
