package limiter

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"burdocklane/picker"
	"burdocklane/ranker"
	"burdocklane/tracker"
)

const (
	// baseLatencyGuess is the share of a class's target that is assumed as its
	// base latency until a call has been answered.
	baseLatencyGuess = 0.35
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
	limit, reason := p.enqueueForCapacity(w)
	switch reason {
	case "": // The call waits.
	case ReasonNoRoom:
		return p.acquireUrgent(w, p.reportedLoadPolicy(&req).Uncongested(), ReasonNoRoom, arrival, summary)
	default:
		return Refused{reason: reason, summary: summary}
	}
	p.dispatch()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case granted := <-w.ready:
		return p.completeGrant(granted, arrival, summary)
	case <-ctx.Done():
		return p.abandon(w, ReasonCancelled, arrival, summary)
	case <-timer.C:
		if !p.leaveQueue(w) {
			return p.completeGrant(<-w.ready, arrival, summary)
		}
		return p.acquireUrgent(w, p.reportedLoadPolicy(&w.req), ReasonOverload, arrival, summary)
	}
}

// enqueueForCapacity adds the call to the queue and returns how long it may wait, or why
// it must not.
func (p *Pool) enqueueForCapacity(w *waiter) (time.Duration, Reason) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.queue.ownCount() >= p.queueLimit {
		return 0, ReasonQueueFull
	}
	limit := ranker.LateWait(w.req.target)
	if p.ranksCalls.Load() {
		var reason Reason
		if limit, reason = p.rank(w); reason != "" {
			return 0, reason
		}
	}
	p.queue.add(w, 0)
	p.waiting.Add(1)
	return limit, ""
}

// leaveQueue removes w from the queue. It returns false if a slot has been granted in the
// meantime.
func (p *Pool) leaveQueue(w *waiter) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	removed := p.queue.remove(w)
	if removed {
		p.waiting.Add(-1)
	}
	return removed
}

// acquireUrgent sends a call that must not wait for capacity any longer to a congested or
// slow worker, or else to one that is about to stop and still serves, or refuses it for the
// reason.
func (p *Pool) acquireUrgent(w *waiter, policy picker.ReportedLoad, reason Reason, arrival time.Time, summary CandidateSummary) Admission {
	granted, decision := p.pickAndAcquire(policy.Urgent(), &w.req, &summary)
	if _, ok := decision.(picker.Send); !ok {
		w.req.lastResort = true
		granted, decision = p.pickAndAcquire(policy.Urgent(), &w.req, &summary)
	}
	if _, ok := decision.(picker.Send); !ok {
		summary.ranking = w.ranking
		return Refused{reason: reason, waited: time.Since(arrival), retryAfter: p.expectedWait(), summary: summary}
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
	if req.pastTarget() && (req.hedge || p.ranksCalls.Load()) {
		policy = policy.Urgent()
	}
	if p.ranksCalls.Load() {
		policy = policy.Unqueued()
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
// nor congested: the observed mean, or a guess from the class's target. It is at most the
// target: by a longer one, as after a pause of this process, calls would be refused as too
// late for any worker, and no answer would correct it.
func (p *Pool) BaseLatency(target time.Duration) time.Duration {
	if baseLatency, ok := p.baseLatency.Load(target); ok {
		return min(time.Duration(baseLatency.(*atomic.Int64).Load()), target)
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
