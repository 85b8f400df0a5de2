package limiter

import (
	"burdocklane/picker"
	"burdocklane/tracker"
)

// acquireOverflow acquires a slot beyond the instance's own share at the
// worker with the lowest expected latency. That may be a worker of another
// region, as long as the budget for remote calls allows it.
func (p *Pool) acquireOverflow(req *Request) (*tracker.Worker, bool) {
	var summary CandidateSummary
	worker, decision := p.pickAndAcquire(picker.NewOverflow(true), req, &summary)
	if _, ok := decision.(picker.Send); !ok {
		return nil, false
	}
	if worker.Distance() < distanceCount-1 || p.remoteBudget.Withdraw() {
		return worker, true
	}
	p.releaseSlot(worker)
	worker, decision = p.pickAndAcquire(picker.NewOverflow(false), req, &summary)
	_, ok := decision.(picker.Send)
	return worker, ok
}

func (p *Pool) releaseSlot(worker *tracker.Worker) {
	worker.Release(p.Now())
	p.trackInFlight(-1)
}
