package limiter

import (
	"time"

	"burdocklane/picker"
	"burdocklane/tracker"
)

// TryAcquire takes a free slot at a worker that the ask does not avoid, or
// returns false; it never waits.
func (p *Pool) TryAcquire(ask Ask) (Granted, bool) {
	if p.waiting.Load() > 0 {
		return Granted{}, false
	}
	var seen Seen
	worker, decision := p.try(&ask, &seen)
	if _, ok := decision.(picker.Send); !ok {
		return Granted{}, false
	}
	granted := Granted{pool: p, worker: worker, seen: seen}
	if ask.avoids(worker.ID()) {
		granted.Release()
		return Granted{}, false
	}
	return granted, true
}

// Answered notes an answer and its latency. An answer that is an error counts
// as a failure of the worker.
func (p *Pool) Answered(g Granted, latency time.Duration, failed bool) {
	if failed {
		p.Failed(g)
		return
	}
	g.worker.Succeeded(latency, p.Now())
	p.Observe(latency)
}

// Failed notes that the worker failed a call.
func (p *Pool) Failed(g Granted) { p.dispatchAfter(g.worker.Failed(p.Now())) }

// Unreachable notes that no connection to the worker could be made. Nothing is
// sent there for a while.
func (p *Pool) Unreachable(g Granted) { p.dispatchAfter(g.worker.Unreachable(p.Now())) }

// Shed notes that the worker declined a call for overload.
func (p *Pool) Shed(g Granted, retryAfter time.Duration) {
	p.dispatchAfter(g.worker.Shed(retryAfter, p.Now()))
}

// Draining notes that the worker said that it is leaving.
func (p *Pool) Draining(worker *tracker.Worker) { worker.Drain(p.Now()) }

// dispatchAfter looks for waiting calls again once a worker is back.
func (p *Pool) dispatchAfter(rest time.Duration) {
	if rest > 0 {
		time.AfterFunc(rest, p.dispatch)
	}
}
