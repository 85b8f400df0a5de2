package limiter

import (
	"context"
	"sync/atomic"
	"time"

	"burdocklane/picker"
	"burdocklane/tracker"
)

// Assigner requests an assignment from the scheduler of the pool's service,
// which chooses the worker for a call.
type Assigner func(ctx context.Context, p *Pool, req Request) Assignment

// Assignment is the result of a request for an assignment: a worker, a slot that
// this instance already holds, a rejection, or no decision.
type Assignment interface{ assignment() }

// Assigned names the worker. The outcome of the call must be reported exactly
// once.
type Assigned struct {
	worker *tracker.Worker
	report func(CallOutcome)
}

// HeldSlot carries a slot that this instance has already acquired.
type HeldSlot struct{ granted Granted }

// Rejected says that no worker has capacity.
type Rejected struct{ retryAfter time.Duration }

// OverLimit says that the call is beyond the rate limit of its tenant.
type OverLimit struct{ retryAfter time.Duration }

// Undecided leaves the decision to this instance.
type Undecided struct{}

func (Assigned) assignment()  {}
func (HeldSlot) assignment()  {}
func (Rejected) assignment()  {}
func (OverLimit) assignment() {}
func (Undecided) assignment() {}

// NewAssigned returns the assignment of a worker. The outcome of the call is
// passed to report.
func NewAssigned(worker *tracker.Worker, report func(CallOutcome)) Assigned {
	return Assigned{worker: worker, report: report}
}

// NewRejected returns a rejection. After retryAfter, if it is known, the call may be
// served.
func NewRejected(retryAfter time.Duration) Rejected { return Rejected{retryAfter: retryAfter} }

// RetryAfter returns when the call may be served, or 0 if that is unknown.
func (r Rejected) RetryAfter() time.Duration { return r.retryAfter }

// NewOverLimit returns a rejection of a call beyond the rate limit of its tenant, which
// admits calls again after retryAfter.
func NewOverLimit(retryAfter time.Duration) OverLimit { return OverLimit{retryAfter: retryAfter} }

// NewHeldSlot returns the assignment of a slot that the pool itself granted.
func NewHeldSlot(granted Granted) HeldSlot { return HeldSlot{granted: granted} }

// Granted returns the acquired slot.
func (h HeldSlot) Granted() Granted { return h.granted }

// Worker returns the assigned worker.
func (a Assigned) Worker() *tracker.Worker { return a.worker }

// ReportOutcome reports the outcome of the call to the scheduler that made the
// assignment.
func (a Assigned) ReportOutcome(outcome CallOutcome) { a.report(outcome) }

// CallOutcome is the outcome of a call as far as it concerns its worker. The
// values are sent between instances.
type CallOutcome int32

// Outcomes of a call.
const (
	OutcomeNone CallOutcome = iota
	OutcomeSuccess
	OutcomeFailure
	OutcomeShed
	OutcomeUnreachable
)

// peerAssignment is the state of a grant that another instance assigned.
type peerAssignment struct {
	outcome atomic.Int32
	report  func(CallOutcome)
}

// setOutcome stores the outcome of the call, which Release reports to the
// assigning instance.
func (g Granted) setOutcome(o CallOutcome) {
	if g.assigned != nil {
		g.assigned.outcome.Store(int32(o))
	}
}

// WithAssigner sets the function that requests assignments. By default the pool
// decides itself.
func WithAssigner(assign Assigner) Option { return func(p *Pool) { p.assigner = assign } }

// acquireAssigned follows the scheduler's assignment. Without one, the pool
// decides itself.
func (p *Pool) acquireAssigned(ctx context.Context, req Request, arrival time.Time) Admission {
	if p.assigner == nil {
		return p.acquireByReportedLoad(ctx, req, arrival)
	}
	switch r := p.assigner(ctx, p, req).(type) {
	case Assigned:
		return p.grantAssigned(r, req, arrival)
	case HeldSlot:
		r.granted.waited = time.Since(arrival)
		return r.granted
	case Rejected:
		return Refused{
			reason: ReasonOverload, waited: time.Since(arrival), retryAfter: r.retryAfter,
			summary: CandidateSummary{ranking: p.rankingElsewhere(&req, r.retryAfter)},
		}
	case OverLimit:
		return Refused{reason: ReasonOverLimit, waited: time.Since(arrival), retryAfter: r.retryAfter}
	case Undecided:
	}
	return p.acquireByReportedLoad(ctx, req, arrival)
}

func (p *Pool) grantAssigned(r Assigned, req Request, arrival time.Time) Granted {
	now := p.Now()
	summary := CandidateSummary{chosen: p.workerLoad(r.worker, now)}
	summary.expectedLatency = summary.chosen.ExpectedLatency(p.BaseLatency(req.target))
	r.worker.Acquire(now)
	p.trackInFlight(1)
	return Granted{
		pool: p, worker: r.worker, target: req.target, waited: time.Since(arrival), summary: summary,
		assigned: &peerAssignment{report: r.report},
	}
}

// TryGrant grants a slot without queueing. The decision Wait means that the call
// may wait for capacity. Unless the decision is Send, the result holds no slot
// and only carries the candidate summary.
func (p *Pool) TryGrant(req Request) (Granted, picker.Decision) {
	var summary CandidateSummary
	p.recordRequest(&req)
	if p.waiting.Load() > 0 && (!req.noWait || (req.hedge && req.pastTarget())) && !p.mayOvertake(&req) {
		return Granted{}, picker.Wait{}
	}
	worker, decision := p.pickAndAcquire(p.policyFor(&req), &req, &summary)
	if _, ok := decision.(picker.Send); !ok {
		return Granted{summary: summary}, decision
	}
	return Granted{pool: p, worker: worker, target: req.target, summary: summary, onBehalfOfPeer: req.onBehalfOfPeer}, decision
}

// WaitForCapacity queues the call for a short time until a worker has capacity.
func (p *Pool) WaitForCapacity(ctx context.Context, req Request) Admission {
	return p.queueForCapacity(ctx, req, time.Now(), CandidateSummary{})
}

// RecordOutcome records the outcome of another instance's call at the worker, and how
// long the call held the slot.
func (p *Pool) RecordOutcome(g Granted, outcome CallOutcome, held time.Duration) {
	switch outcome {
	case OutcomeSuccess:
		g.worker.RecordPeerSuccess()
		p.observeLoad(g, held)
	case OutcomeFailure:
		p.RecordFailure(g)
	case OutcomeShed:
		p.RecordShed(g, 0)
	case OutcomeUnreachable:
		p.BackOff(g.worker)
	case OutcomeNone:
	}
}
