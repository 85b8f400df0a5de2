package limiter

import (
	"burdocklane/picker"
	"burdocklane/tracker"
)

// takeOverflow picks the worker that is expected to answer first. It may be in
// another region while few calls have gone there.
func (p *Pool) takeOverflow(ask *Ask) (*tracker.Worker, bool) {
	var seen Seen
	worker, decision := p.try(picker.NewOverflow(true), ask, &seen)
	if _, ok := decision.(picker.Send); !ok {
		return nil, false
	}
	if worker.Distance() < distances-1 || p.far.Withdraw() {
		return worker, true
	}
	p.giveBack(worker)
	worker, decision = p.try(picker.NewOverflow(false), ask, &seen)
	_, ok := decision.(picker.Send)
	return worker, ok
}

func (p *Pool) giveBack(worker *tracker.Worker) {
	worker.Release(p.Now())
	p.noteHeld(-1)
}
