package limiter

import (
	"context"
	"sync/atomic"
	"time"

	"burdocklane/picker"
	"burdocklane/tracker"
)

// Decider asks the instance that decides for a service in the region which
// worker is to take a call.
type Decider func(ctx context.Context, p *Pool, ask Ask) Ruling

// Ruling is the answer of a Decider: Assigned, Taken, Denied or Undecided.
type Ruling interface{ ruling() }

// Assigned names the worker. What became of the call is to be told once.
type Assigned struct {
	worker *tracker.Worker
	done   func(Finding)
}

// Taken carries a slot that this instance already holds.
type Taken struct{ granted Granted }

// Denied says that no worker has room.
type Denied struct{}

// Undecided leaves the decision to this instance.
type Undecided struct{}

func (Assigned) ruling()  {}
func (Taken) ruling()     {}
func (Denied) ruling()    {}
func (Undecided) ruling() {}

// NewAssigned returns the ruling for a worker; done is told what the call showed
// of it.
func NewAssigned(worker *tracker.Worker, done func(Finding)) Assigned {
	return Assigned{worker: worker, done: done}
}

// NewTaken returns the ruling for a slot of the pool itself.
func NewTaken(granted Granted) Taken { return Taken{granted: granted} }

// Granted returns the slot.
func (t Taken) Granted() Granted { return t.granted }

// Worker returns the worker that is to take the call.
func (a Assigned) Worker() *tracker.Worker { return a.worker }

// Done tells who decided what the call showed of the worker.
func (a Assigned) Done(f Finding) { a.done(f) }

// Finding is what a call showed of its worker.
type Finding int32

// Findings of a call.
const (
	FoundNothing Finding = iota
	FoundGood
	FoundFailing
	FoundFull
	FoundAway
)

// assignment is a grant by another instance's ruling.
type assignment struct {
	finding atomic.Int32
	done    func(Finding)
}

// found notes what a call showed, for whom it was granted by.
func (g Granted) found(f Finding) {
	if g.assigned != nil {
		g.assigned.finding.Store(int32(f))
	}
}

// WithDecider sets who decides for the region. The default is the pool itself.
func WithDecider(d Decider) Option { return func(p *Pool) { p.decider = d } }

// acquireRuled follows the region's decision, and decides itself if there is
// none.
func (p *Pool) acquireRuled(ctx context.Context, ask Ask, since time.Time) Admission {
	if p.decider == nil {
		return p.acquireReported(ctx, ask, since)
	}
	switch r := p.decider(ctx, p, ask).(type) {
	case Assigned:
		return p.assigned(r, ask, since)
	case Taken:
		r.granted.waited = time.Since(since)
		return r.granted
	case Denied:
		return Refused{reason: ReasonOverload, waited: time.Since(since)}
	case Undecided:
	}
	return p.acquireReported(ctx, ask, since)
}

func (p *Pool) assigned(r Assigned, ask Ask, since time.Time) Granted {
	now := p.Now()
	seen := Seen{chosen: p.load(r.worker, now)}
	seen.expected = seen.chosen.Estimate(p.Calm(ask.target))
	r.worker.Acquire(now)
	p.noteHeld(1)
	return Granted{
		pool: p, worker: r.worker, target: ask.target, waited: time.Since(since), seen: seen,
		assigned: &assignment{done: r.done},
	}
}

// Decide grants a slot at once. The decision Wait tells that the call may wait
// for room. Without a slot, what is granted only tells what was seen.
func (p *Pool) Decide(ask Ask) (Granted, picker.Decision) {
	var seen Seen
	if p.waiting.Load() > 0 && (!ask.spare || (ask.second && ask.late())) {
		return Granted{}, picker.Wait{}
	}
	worker, decision := p.try(p.policyFor(&ask), &ask, &seen)
	if _, ok := decision.(picker.Send); !ok {
		return Granted{seen: seen}, decision
	}
	return Granted{pool: p, worker: worker, target: ask.target, seen: seen, onBehalf: ask.onBehalf}, decision
}

// AwaitRoom waits a little for room.
func (p *Pool) AwaitRoom(ctx context.Context, ask Ask) Admission {
	return p.waitForRoom(ctx, ask, time.Now(), Seen{})
}

// Found takes over what another instance's call showed of its worker, and how
// long it held the slot.
func (p *Pool) Found(g Granted, f Finding, held time.Duration) {
	switch f {
	case FoundGood:
		g.worker.Fine()
		p.observeLoad(g, held)
	case FoundFailing:
		p.Failed(g)
	case FoundFull:
		p.Shed(g, 0)
	case FoundAway:
		p.Away(g.worker)
	case FoundNothing:
	}
}
