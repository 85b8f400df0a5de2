package limiter

import (
	"context"
	"time"

	"burdocklane/drainer"
	"burdocklane/picker"
	"burdocklane/registrar"
	"burdocklane/tracker"
)

// TryHedge acquires a slot for a hedged request at a worker that the request
// does not avoid. It never queues for capacity.
func (p *Pool) TryHedge(ctx context.Context, req Request) (Granted, bool) {
	if !p.usesReportedLoad() || p.assigner == nil {
		return p.TryAcquire(req)
	}
	switch r := p.assigner(ctx, p, req).(type) {
	case Assigned:
		if granted, ok := p.grantAssigned(r, req, time.Now()); ok {
			return granted, true
		}
	case HeldSlot:
		return r.granted, true
	case Rejected, OverLimit:
		return Granted{}, false
	case Undecided:
	}
	return p.TryAcquire(req)
}

// TryAcquire acquires a slot at a worker that the request does not avoid, if
// necessary beyond the instance's own share. It returns false if there is
// none, and never queues. It serves hedged requests, which are refused while
// more calls are queued than the instance has slots.
func (p *Pool) TryAcquire(req Request) (Granted, bool) {
	if int(p.waiting.Load()) > p.Slots() {
		return Granted{}, false
	}
	var summary CandidateSummary
	granted, decision := p.pickAndAcquire(p.policyFor(&req), &req, &summary)
	granted.summary = summary
	if _, ok := decision.(picker.Send); ok && !req.avoids(granted.worker.ID()) {
		return granted, true
	} else if ok {
		p.releaseSlot(granted.worker)
	}
	if p.usesReportedLoad() {
		return Granted{}, false
	}
	granted, ok := p.acquireOverflow(&req)
	granted.summary = summary
	return granted, ok
}

// RecordAnswer records an answer and its latency. An error answer counts as a
// failure of the worker.
func (p *Pool) RecordAnswer(g Granted, latency time.Duration, failed bool) {
	if failed {
		p.RecordFailure(g)
		return
	}
	g.setOutcome(OutcomeSuccess)
	g.worker.RecordSuccess(latency, p.Now())
	p.observeLatency(latency, g.worker.Distance())
	p.observeLoad(g, latency)
}

// RecordFailure records that a call failed at the worker.
func (p *Pool) RecordFailure(g Granted) {
	g.setOutcome(OutcomeFailure)
	p.dispatchAfter(g.worker.RecordFailure(p.Now()))
}

// RecordUnreachable records that no connection to the worker could be established.
// The worker gets no calls for a while.
func (p *Pool) RecordUnreachable(g Granted) {
	g.setOutcome(OutcomeUnreachable)
	if p.usesReportedLoad() {
		p.BackOff(g.worker)
		return
	}
	p.dispatchAfter(g.worker.RecordUnreachable(p.Now()))
}

// RecordShed records that the worker declined a call because of overload. A worker
// that nevertheless reports free capacity keeps getting calls, because the
// other workers may decline just as often.
func (p *Pool) RecordShed(g Granted, retryAfter time.Duration) {
	g.setOutcome(OutcomeShed)
	if p.usesReportedLoad() && retryAfter <= 0 {
		g.worker.RecordDecline()
		if !g.worker.Load(p.Now()).Saturated() {
			return
		}
		retryAfter = shedBackoff
	}
	p.dispatchAfter(g.worker.RecordOverload(retryAfter, p.Now()))
}

// HasRoom reports whether the worker has a free slot by its own reports.
func (p *Pool) HasRoom(w *tracker.Worker) bool {
	return p.usesReportedLoad() && !w.Load(p.Now()).Saturated()
}

// MarkLeaving records that the worker seems to have left: another one answers at its
// address.
func (p *Pool) MarkLeaving(worker *tracker.Worker) { worker.MarkLeaving(p.Now()) }

// RecordAnnouncement records that a start of a worker has announced that it is about to
// stop. The list may have dropped the worker meanwhile, and may list it again.
func (p *Pool) RecordAnnouncement(member registrar.Worker, signal drainer.Signal) {
	w := p.Find(member.ID())
	isListed := w != nil && w.Member().SameIncarnation(member)
	if isListed && w.LeavesForGood() {
		return
	}
	p.ledger.Observe(drainer.NewAnnounced(member, signal), time.Now())
	if isListed {
		w.Announce(p.Now(), p.leavingGrace)
	}
}

// RecordCheck records what a health check says of the worker's stop: that it has announced
// it, or that it serves.
func (p *Pool) RecordCheck(worker *tracker.Worker, healthy, leaving bool) {
	switch {
	case leaving:
		p.RecordAnnouncement(worker.Member(), drainer.SignalHealthCheck)
	case healthy:
		p.confirm(worker)
	}
}

// confirm ends the need of a worker that is listed again for a confirmation.
func (p *Pool) confirm(worker *tracker.Worker) {
	if p.NeedsConfirmation(worker) {
		p.ledger.Observe(drainer.NewConfirmed(worker.Member()), time.Now())
		worker.SetUnconfirmedUntil(0)
	}
}

// NeedsConfirmation reports whether the worker is listed again and gets no calls before it
// has answered a health check.
func (p *Pool) NeedsConfirmation(worker *tracker.Worker) bool { return worker.IsUnconfirmed(p.Now()) }

// IsClosed reports whether the worker is about to stop and gets no calls any more.
func (p *Pool) IsClosed(worker *tracker.Worker) bool {
	return worker.State(0, p.Now()) == picker.Leaving
}

// dispatchAfter dispatches queued calls again once the worker is usable.
func (p *Pool) dispatchAfter(delay time.Duration) {
	if delay > 0 {
		time.AfterFunc(delay, p.dispatch)
	}
}
