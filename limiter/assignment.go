package limiter

import (
	"context"
	"sync/atomic"
	"time"

	"burdocklane/picker"
	"burdocklane/tracker"
)

// Decider requests an assignment from the scheduler of the pool's service,
// which chooses the worker for a call.
type Decider func(ctx context.Context, p *Pool, req Ask) Ruling

// Ruling is the result of a request for an assignment: a worker, a slot that
// this instance already holds, a rejection, or no decision.
type Ruling interface{ assignment() }

// Assigned names the worker. The outcome of the call must be reported exactly
// once.
type Assigned struct {
	worker *tracker.Worker
	report func(Finding)
}

// Taken carries a slot that this instance has already acquired.
type Taken struct{ granted Granted }

// Denied says that no worker has capacity.
type Denied struct{}

// Undecided leaves the decision to this instance.
type Undecided struct{}

func (Assigned) assignment()  {}
func (Taken) assignment()     {}
func (Denied) assignment()    {}
func (Undecided) assignment() {}

// NewAssigned returns the assignment of a worker. The outcome of the call is
// passed to report.
func NewAssigned(worker *tracker.Worker, report func(Finding)) Assigned {
	return Assigned{worker: worker, report: report}
}

// NewTaken returns the assignment of a slot that the pool itself granted.
func NewTaken(granted Granted) Taken { return Taken{granted: granted} }

// Granted returns the acquired slot.
func (h Taken) Granted() Granted { return h.granted }

// Worker returns the assigned worker.
func (a Assigned) Worker() *tracker.Worker { return a.worker }

// Done reports the outcome of the call to the scheduler that made the
// assignment.
func (a Assigned) Done(outcome Finding) { a.report(outcome) }

// Finding is the outcome of a call as far as it concerns its worker. The
// values are sent between instances.
type Finding int32

// Outcomes of a call.
const (
	FoundNothing Finding = iota
	FoundGood
	OutcomeFailure
	OutcomeShed
	OutcomeUnreachable
)

// peerAssignment is the state of a grant that another instance assigned.
type peerAssignment struct {
	outcome atomic.Int32
	report  func(Finding)
}

// setOutcome stores the outcome of the call, which Release reports to the
// assigning instance.
func (g Granted) setOutcome(o Finding) {
	if g.assigned != nil {
		g.assigned.outcome.Store(int32(o))
	}
}

// WithDecider sets the function that requests assignments. By default the pool
// decides itself.
func WithDecider(assign Decider) Option { return func(p *Pool) { p.assigner = assign } }

// acquireAssigned follows the scheduler's assignment. Without one, the pool
// decides itself.
func (p *Pool) acquireAssigned(ctx context.Context, req Ask, arrival time.Time) Admission {
	if p.assigner == nil {
		return p.acquireByReportedLoad(ctx, req, arrival)
	}
	switch r := p.assigner(ctx, p, req).(type) {
	case Assigned:
		return p.grantAssigned(r, req, arrival)
	case Taken:
		r.granted.waited = time.Since(arrival)
		return r.granted
	case Denied:
		return Refused{reason: ReasonOverload, waited: time.Since(arrival)}
	case Undecided:
	}
	return p.acquireByReportedLoad(ctx, req, arrival)
}

func (p *Pool) grantAssigned(r Assigned, req Ask, arrival time.Time) Granted {
	now := p.Now()
	summary := Seen{chosen: p.workerLoad(r.worker, now)}
	summary.expectedLatency = summary.chosen.ExpectedLatency(p.BaseLatency(req.target))
	r.worker.Acquire(now)
	p.trackInFlight(1)
	return Granted{
		pool: p, worker: r.worker, target: req.target, waited: time.Since(arrival), summary: summary,
		assigned: &peerAssignment{report: r.report},
	}
}

// Decide grants a slot without queueing. The decision Wait means that the call
// may wait for capacity. Unless the decision is Send, the result holds no slot
// and only carries the candidate summary.
func (p *Pool) Decide(req Ask) (Granted, picker.Decision) {
	var summary Seen
	if p.waiting.Load() > 0 && (!req.noWait || (req.hedge && req.pastTarget())) {
		return Granted{}, picker.Wait{}
	}
	worker, decision := p.pickAndAcquire(p.policyFor(&req), &req, &summary)
	if _, ok := decision.(picker.Send); !ok {
		return Granted{summary: summary}, decision
	}
	return Granted{pool: p, worker: worker, target: req.target, summary: summary, onBehalfOfPeer: req.onBehalfOfPeer}, decision
}

// AwaitRoom queues the call for a short time until a worker has capacity.
func (p *Pool) AwaitRoom(ctx context.Context, req Ask) Admission {
	return p.queueForCapacity(ctx, req, time.Now(), Seen{})
}

// Found records the outcome of another instance's call at the worker, and how
// long the call held the slot.
func (p *Pool) Found(g Granted, outcome Finding, held time.Duration) {
	switch outcome {
	case FoundGood:
		g.worker.RecordPeerSuccess()
		p.observeLoad(g, held)
	case OutcomeFailure:
		p.Failed(g)
	case OutcomeShed:
		p.Shed(g, 0)
	case OutcomeUnreachable:
		p.Away(g.worker)
	case FoundNothing:
	}
}
