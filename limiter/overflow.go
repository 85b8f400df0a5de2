package limiter

import (
	"burdocklane/picker"
	"burdocklane/tracker"
)

// acquireOverflow acquires a slot beyond the instance's own share at the
// worker with the lowest expected latency. That may be a worker of another
// region, as long as the budget for remote calls allows it.
func (p *Pool) acquireOverflow(req *Request) (Granted, bool) {
	var summary CandidateSummary
	granted, decision := p.pickAndAcquire(picker.NewOverflow(true), req, &summary)
	if _, ok := decision.(picker.Send); !ok {
		return Granted{}, false
	}
	granted.overflow = true
	if granted.worker.Distance() < distanceCount-1 || p.remoteBudget.Withdraw() {
		return granted, true
	}
	p.releaseSlot(granted.worker)
	granted, decision = p.pickAndAcquire(picker.NewOverflow(false), req, &summary)
	granted.overflow = true
	_, ok := decision.(picker.Send)
	return granted, ok
}

func (p *Pool) releaseSlot(worker *tracker.Worker) {
	worker.Release(p.Now())
	p.trackInFlight(-1)
}
