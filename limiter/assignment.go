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
	worker      *tracker.Worker
	report      func(CallOutcome)
	hasColdCall bool
}

// HeldSlot carries a slot that this instance has already acquired.
type HeldSlot struct{ granted Granted }

// Rejected says that no worker has capacity.
type Rejected struct{ retryAfter time.Duration }

// OverLimit says that the call is beyond the rate limit of its tenant.
type OverLimit struct{ retryAfter time.Duration }

// LimitUnknown says that it is not known whether the call is within the rate limit of its
// tenant. It must not run.
type LimitUnknown struct {
	retryAfter time.Duration
	isPending  bool
}

// Undecided leaves the decision to this instance.
type Undecided struct{ charged bool }

func (Assigned) assignment()     {}
func (HeldSlot) assignment()     {}
func (Rejected) assignment()     {}
func (OverLimit) assignment()    {}
func (LimitUnknown) assignment() {}
func (Undecided) assignment()    {}

// NewAssigned returns the assignment of a worker. The outcome of the call is
// passed to report.
func NewAssigned(worker *tracker.Worker, report func(CallOutcome)) Assigned {
	return Assigned{worker: worker, report: report}
}

// WithColdCall returns a as an assignment for which a call of the worker's allowance has been
// taken, as the worker is cold.
func (a Assigned) WithColdCall() Assigned {
	a.hasColdCall = true
	return a
}

// HasColdCall reports whether a call of the allowance of a cold worker has been taken.
func (a Assigned) HasColdCall() bool { return a.hasColdCall }

// NewRejected returns a rejection. After retryAfter, if it is known, the call may be
// served.
func NewRejected(retryAfter time.Duration) Rejected { return Rejected{retryAfter: retryAfter} }

// RetryAfter returns when the call may be served, or 0 if that is unknown.
func (r Rejected) RetryAfter() time.Duration { return r.retryAfter }

// NewOverLimit returns a rejection of a call beyond the rate limit of its tenant, which
// admits calls again after retryAfter.
func NewOverLimit(retryAfter time.Duration) OverLimit { return OverLimit{retryAfter: retryAfter} }

// NewLimitUnknown returns a rejection of a call whose tenant's rate limit is not known to
// admit it. After retryAfter it may be known; if it is pending, within some milliseconds.
func NewLimitUnknown(retryAfter time.Duration, isPending bool) LimitUnknown {
	return LimitUnknown{retryAfter: retryAfter, isPending: isPending}
}

// IsPending reports whether the limit may be known within some milliseconds.
func (l LimitUnknown) IsPending() bool { return l.isPending }

// NewChargedUndecided returns Undecided for a call that is charged to its tenant's rate
// limit already.
func NewChargedUndecided() Undecided { return Undecided{charged: true} }

// IsCharged reports whether the call is charged to its tenant's rate limit already.
func (u Undecided) IsCharged() bool { return u.charged }

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
		if granted, ok := p.grantAssigned(r, req, arrival); ok {
			return granted
		}
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
	case LimitUnknown:
		return Refused{reason: ReasonLimitUnknown, waited: time.Since(arrival), retryAfter: r.retryAfter}
	case Undecided:
	}
	return p.acquireByReportedLoad(ctx, req, arrival)
}

// grantAssigned grants the slot that a scheduler has assigned. It withdraws the assignment
// and returns false if the worker must not get the call: the scheduler may have an older
// list.
func (p *Pool) grantAssigned(r Assigned, req Request, arrival time.Time) (Granted, bool) {
	if !req.constraint.permits(r.worker) || p.IsColdLimited(r.worker) && !r.hasColdCall {
		r.report(OutcomeNone)
		return Granted{}, false
	}
	now := p.Now()
	summary := CandidateSummary{chosen: p.workerLoad(r.worker, now)}
	summary.expectedLatency = summary.chosen.ExpectedLatency(p.BaseLatency(req.target))
	r.worker.Acquire(now)
	p.trackInFlight(1)
	return Granted{
		pool: p, worker: r.worker, target: req.target, waited: time.Since(arrival), summary: summary,
		assigned: &peerAssignment{report: r.report}, hasColdCall: r.hasColdCall,
	}, true
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
	granted, decision := p.pickAndAcquire(p.policyFor(&req), &req, &summary)
	granted.summary = summary
	return granted, decision
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
