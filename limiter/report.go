package limiter

import (
	"context"
	"time"

	"burdocklane/picker"
	"burdocklane/tracker"
)

// TryHedge takes a slot at a worker that the ask does not avoid, for a hedged
// request. It never waits for room.
func (p *Pool) TryHedge(ctx context.Context, ask Ask) (Granted, bool) {
	if !p.reported() || p.decider == nil {
		return p.TryAcquire(ask)
	}
	switch r := p.decider(ctx, p, ask).(type) {
	case Assigned:
		return p.assigned(r, ask, time.Now()), true
	case Taken:
		return r.granted, true
	case Denied:
		return Granted{}, false
	case Undecided:
	}
	return p.TryAcquire(ask)
}

// TryAcquire takes a slot at a worker that the ask does not avoid, beyond the
// instance's own slots if it must, or returns false; it never waits. It is for
// hedged requests, which are refused while more calls wait than slots are held.
func (p *Pool) TryAcquire(ask Ask) (Granted, bool) {
	if int(p.waiting.Load()) > p.Slots() {
		return Granted{}, false
	}
	var seen Seen
	worker, decision := p.try(p.policyFor(&ask), &ask, &seen)
	if _, ok := decision.(picker.Send); ok && !ask.avoids(worker.ID()) {
		return Granted{pool: p, worker: worker, target: ask.target, seen: seen}, true
	} else if ok {
		p.giveBack(worker)
	}
	if p.reported() {
		return Granted{}, false
	}
	worker, ok := p.takeOverflow(&ask)
	return Granted{pool: p, worker: worker, overflow: true, seen: seen}, ok
}

// Answered notes an answer and its latency. An answer that is an error counts
// as a failure of the worker.
func (p *Pool) Answered(g Granted, latency time.Duration, failed bool) {
	if failed {
		p.Failed(g)
		return
	}
	g.found(FoundGood)
	g.worker.Succeeded(latency, p.Now())
	p.observe(latency, g.worker.Distance())
	p.observeLoad(g, latency)
}

// Failed notes that the worker failed a call.
func (p *Pool) Failed(g Granted) {
	g.found(FoundFailing)
	p.dispatchAfter(g.worker.Failed(p.Now()))
}

// Unreachable notes that no connection to the worker could be made. Nothing is
// sent there for a while.
func (p *Pool) Unreachable(g Granted) {
	g.found(FoundAway)
	if p.reported() {
		p.Away(g.worker)
		return
	}
	p.dispatchAfter(g.worker.Unreachable(p.Now()))
}

// Shed notes that the worker declined a call for overload. One that reports room
// all the same is not left alone: others may decline as often.
func (p *Pool) Shed(g Granted, retryAfter time.Duration) {
	g.found(FoundFull)
	if p.reported() && retryAfter <= 0 {
		g.worker.Declined()
		if !g.worker.Load(p.Now()).Full() {
			return
		}
		retryAfter = shedPause
	}
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
