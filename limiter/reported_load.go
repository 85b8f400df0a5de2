package limiter

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"burdocklane/picker"
	"burdocklane/tracker"
)

const (
	// baseLatencyGuess is the share of a class's target that is assumed as its
	// base latency until a call has been answered.
	baseLatencyGuess = 0.35
	// capacityWaitShare is the share of a class's target that a call waits for
	// capacity, up to maxCapacityWait: a caller that is refused after that
	// still has time to retry.
	capacityWaitShare = 0.125
	maxCapacityWait   = 50 * time.Millisecond
	// congestionWeight is the weight of a new answer in the moving average of
	// the congestion factor, by which congested workers are slower.
	// maxCongestionFactor bounds that factor.
	congestionWeight    = 0.02
	maxCongestionFactor = 3.0
	perThousand         = 1000
	// shedBackoff is how long a worker gets no calls after it declined one
	// without a Retry-After time.
	shedBackoff = 100 * time.Millisecond
	// unreachableBackoff is how long an unreachable worker gets no calls: the
	// time of a few health checks.
	unreachableBackoff = 300 * time.Millisecond
)

// usesReportedLoad reports whether the policy picks workers by their load
// reports.
func (p *Pool) usesReportedLoad() bool {
	_, ok := p.policy.(picker.ReportedLoad)
	return ok
}

// acquireByReportedLoad grants a slot at the worker with the lowest expected
// latency. If no worker has capacity, the call is queued for a short time and
// then refused.
func (p *Pool) acquireByReportedLoad(ctx context.Context, req Request, arrival time.Time) Admission {
	granted, decision := p.TryGrant(req)
	switch decision.(type) {
	case picker.Send:
		return granted
	case picker.Refuse:
		return Refused{reason: ReasonNoWorker, summary: granted.summary}
	case picker.Wait:
	}
	return p.queueForCapacity(ctx, req, arrival, granted.summary)
}

func (p *Pool) queueForCapacity(ctx context.Context, req Request, arrival time.Time, summary CandidateSummary) Admission {
	w := &waiter{req: req, arrival: arrival, ready: make(chan Granted, 1)}
	p.mutex.Lock()
	full := p.queue.ownCount() >= p.queueLimit
	if !full {
		p.queue.add(w, 0)
		p.waiting.Add(1)
	}
	p.mutex.Unlock()
	if full {
		return Refused{reason: ReasonQueueFull, summary: summary}
	}
	p.dispatch()
	timer := time.NewTimer(capacityWait(&req))
	defer timer.Stop()
	select {
	case granted := <-w.ready:
		return p.completeGrant(granted, arrival, summary)
	case <-ctx.Done():
		return p.abandon(w, ReasonCancelled, arrival, summary)
	case <-timer.C:
		return p.acquireUrgent(w, arrival, summary)
	}
}

// capacityWait returns how long a call waits for capacity.
func capacityWait(req *Request) time.Duration {
	return min(time.Duration(capacityWaitShare*float64(req.target)), maxCapacityWait)
}

// acquireUrgent sends a call that has waited for capacity to a congested or
// slow worker, or else to one that is about to stop and still serves, or refuses it.
func (p *Pool) acquireUrgent(w *waiter, arrival time.Time, summary CandidateSummary) Admission {
	p.mutex.Lock()
	removed := p.queue.remove(w)
	p.mutex.Unlock()
	if !removed {
		return p.completeGrant(<-w.ready, arrival, summary)
	}
	p.waiting.Add(-1)
	granted, decision := p.pickAndAcquire(p.reportedLoadPolicy(&w.req).Urgent(), &w.req, &summary)
	if _, ok := decision.(picker.Send); !ok {
		w.req.lastResort = true
		granted, decision = p.pickAndAcquire(p.reportedLoadPolicy(&w.req).Urgent(), &w.req, &summary)
	}
	if _, ok := decision.(picker.Send); !ok {
		return Refused{reason: ReasonOverload, waited: time.Since(arrival), summary: summary}
	}
	return p.completeGrant(granted, arrival, summary)
}

func (p *Pool) policyFor(req *Request) picker.Policy {
	if !p.usesReportedLoad() {
		return p.policy
	}
	return p.reportedLoadPolicy(req)
}

func (p *Pool) reportedLoadPolicy(req *Request) picker.ReportedLoad {
	policy := picker.NewReportedLoad(time.Until(req.targetDeadline), max(time.Until(req.deadline), 1))
	if req.hedge {
		policy = policy.AsHedge()
	}
	if req.hedge && req.pastTarget() {
		policy = policy.Urgent()
	}
	if req.localOnly {
		return policy.LocalOnly()
	}
	return policy
}

// RecordReport applies a worker's load report and dispatches queued calls, for
// which the worker may now have capacity. It returns false if the report was
// outdated.
func (p *Pool) RecordReport(w *tracker.Worker, r tracker.Report) bool {
	taken := w.UpdateReport(r)
	if taken {
		p.dispatch()
	}
	return taken
}

// BaseLatency returns the latency of a call at a worker that is neither slow
// nor congested: the observed mean, or a guess from the class's target.
func (p *Pool) BaseLatency(target time.Duration) time.Duration {
	if baseLatency, ok := p.baseLatency.Load(target); ok {
		return time.Duration(baseLatency.(*atomic.Int64).Load())
	}
	return time.Duration(baseLatencyGuess * float64(target))
}

func (p *Pool) candidate(w *tracker.Worker, mean int64, now time.Duration, req *Request) picker.Candidate {
	c := w.Candidate(mean, now, req.avoids(w.ID()))
	if !p.usesReportedLoad() {
		return c
	}
	if req.origin.set {
		c = c.AtDistance(req.origin.value.Distance(w.Member().Locality()))
	}
	return c.WithLoad(p.workerLoad(w, now), p.BaseLatency(req.target)).WithDeclineShare(w.DeclineRate())
}

// workerLoad returns the known load of a worker.
func (p *Pool) workerLoad(w *tracker.Worker, now time.Duration) picker.Load {
	return w.Load(now).WithCongestionFactor(float64(p.congestionFactor.Load()) / perThousand)
}

// observeLoad updates two estimates from an answer of a worker at normal
// speed: the base latency of the class if the worker was not congested, or
// else the congestion factor.
func (p *Pool) observeLoad(g Granted, latency time.Duration) {
	if !p.usesReportedLoad() || !g.summary.chosen.AtNormalSpeed() || !g.worker.Load(p.Now()).AtNormalSpeed() {
		return
	}
	switch {
	case g.summary.chosen.AtBaseLatency():
		baseLatency, ok := p.baseLatency.Load(g.target)
		if !ok {
			baseLatency, _ = p.baseLatency.LoadOrStore(g.target, &atomic.Int64{})
		}
		updateMean(baseLatency.(*atomic.Int64), latency)
	case g.summary.chosen.Congested() && !g.summary.chosen.Saturated():
		p.observeCongestion(float64(latency) / float64(p.BaseLatency(g.target)))
	}
}

// observeCongestion updates the moving average of the congestion factor.
// Factors below 1 count as 1, since congestion does not make a worker faster.
func (p *Pool) observeCongestion(factor float64) {
	factor = min(max(factor, 1), maxCongestionFactor)
	old := p.congestionFactor.Load()
	next := (1-congestionWeight)*float64(old) + congestionWeight*factor*perThousand
	p.congestionFactor.CompareAndSwap(old, int64(next))
}

// HasUsableLocalWorker reports whether a worker of the instance's region may get calls.
func (p *Pool) HasUsableLocalWorker() bool {
	now := p.Now()
	return slices.ContainsFunc(p.workerSet.Load().local, func(w *tracker.Worker) bool {
		state := w.State(p.meanLatencyAt(w.Distance()), now)
		if !(Constraint{}).permits(w) || p.IsColdLimited(w) {
			return false
		}
		return state == picker.Usable || state == picker.Suspect
	})
}

// LatencyEstimate returns the base latency of a call and the expected slowdown of the
// worker. known is false if the pool does not use load reports.
func (p *Pool) LatencyEstimate(w *tracker.Worker, target time.Duration) (base time.Duration, slowdown float64, known bool) {
	if !p.usesReportedLoad() {
		return p.MeanLatency(), 1, false
	}
	return p.BaseLatency(target), w.Load(p.Now()).Slowdown(), true
}

// BackOff records that the worker did not answer a health check or accept a
// connection. It gets no calls for a while.
func (p *Pool) BackOff(w *tracker.Worker) { w.Pause(unreachableBackoff, p.Now()) }

// recordChosen keeps the known load and expected latency of the chosen worker
// for the decision log.
func (p *Pool) recordChosen(summary *CandidateSummary, w *tracker.Worker, c picker.Candidate, now time.Duration) {
	if p.usesReportedLoad() {
		summary.chosen, summary.expectedLatency = p.workerLoad(w, now), time.Duration(c.Latency())
	}
}
