package limiter

import (
	"slices"
	"time"

	"burdocklane/picker"
	"burdocklane/ranker"
	"burdocklane/tracker"
)

// Outlook is what a pool would decide for a request now: WouldSend, WouldWait or Refused.
type Outlook interface{ outlook() }

// WouldSend names the worker that the request would get. Where the policy draws at random
// among workers that are about equal, it is the best one without the draw.
type WouldSend struct{ worker *tracker.Worker }

// WouldWait says that the request would be queued.
type WouldWait struct {
	ahead int
	upTo  time.Duration
}

func (WouldSend) outlook() {}
func (WouldWait) outlook() {}
func (Refused) outlook()   {}

// Worker returns the worker.
func (o WouldSend) Worker() *tracker.Worker { return o.worker }

// Ahead returns the number of queued calls that would be served before it.
func (o WouldWait) Ahead() int { return o.ahead }

// UpTo returns how long the request would wait at most.
func (o WouldWait) UpTo() time.Duration { return o.upTo }

// Preview is what a pool would decide for a request now, and by which candidates.
type Preview struct {
	outlook    Outlook
	candidates []PreviewedCandidate
}

// Outlook returns the decision.
func (p Preview) Outlook() Outlook { return p.outlook }

// Candidates returns all workers, in the order in which the picker prefers them.
func (p Preview) Candidates() []PreviewedCandidate { return p.candidates }

// PreviewedCandidate is a worker with the inputs of the decision.
type PreviewedCandidate struct {
	worker    *tracker.Worker
	candidate picker.Candidate
	exclusion Exclusion
	load      picker.Load
	ranked    picker.Ranked
}

// Worker returns the worker.
func (c PreviewedCandidate) Worker() *tracker.Worker { return c.worker }

// Candidate returns what the picker knows of the worker.
func (c PreviewedCandidate) Candidate() picker.Candidate { return c.candidate }

// Exclusion returns why the worker must not get the call, or NotExcluded.
func (c PreviewedCandidate) Exclusion() Exclusion { return c.exclusion }

// Load returns the known load of the worker.
func (c PreviewedCandidate) Load() picker.Load { return c.load }

// Ranked returns the worker's place in the order.
func (c PreviewedCandidate) Ranked() picker.Ranked { return c.ranked }

// Preview returns what the pool itself would decide for the request now. It acquires, counts
// and queues nothing.
func (p *Pool) Preview(req Request) Preview {
	req = p.aged(req)
	set := p.workerSet.Load()
	policy := p.policyFor(&req)
	if _, ok := policy.(picker.RoundRobin); ok {
		policy = picker.NewRoundRobin(p.roundRobinCounter.Load() + 1)
	}
	considered, candidates := p.consider(policy, &req, set)
	outlook := p.outlook(&req, considered)
	if refused, ok := outlook.(Refused); ok && refused.reason == ReasonNoRoom {
		if urgent, ok := p.previewUrgent(req, set); ok {
			return urgent
		}
	}
	return Preview{outlook: outlook, candidates: candidates}
}

// previewUrgent returns the preview of a call that must not wait for capacity, and false if
// no worker would get it.
func (p *Pool) previewUrgent(req Request, set *workerSet) (Preview, bool) {
	policy := p.reportedLoadPolicy(&req).Uncongested().Urgent()
	for _, lastResort := range []bool{false, true} {
		req.lastResort = lastResort
		considered, candidates := p.consider(policy, &req, set)
		if _, ok := decide(considered).(picker.Send); ok {
			return Preview{outlook: WouldSend{worker: considered[0].worker}, candidates: candidates}, true
		}
	}
	return Preview{}, false
}

// consider returns the workers between which the call is decided, and all workers, in the
// order of the policy.
func (p *Pool) consider(policy picker.Policy, req *Request, set *workerSet) (considered, all []PreviewedCandidate) {
	all = p.rankWorkers(policy, req, set, set.workers)
	if !req.localOnly {
		return all, all
	}
	considered = p.rankWorkers(policy, req, set, set.local)
	if _, refused := decide(considered).(picker.Refuse); refused {
		return all, all
	}
	others := slices.DeleteFunc(all, func(c PreviewedCandidate) bool { return c.worker.Distance() < picker.RemoteDistance })
	return considered, slices.Concat(considered, others)
}

func (p *Pool) outlook(req *Request, ranked []PreviewedCandidate) Outlook {
	if reason, ok := p.hasNoWorkerLeft(req); ok {
		return Refused{reason: reason}
	}
	isReported := p.usesReportedLoad()
	ahead := int(p.waiting.Load())
	if ahead > 0 && (isReported || picker.Bounded(p.policy)) && !p.mayOvertake(req) {
		return p.outlookOfQueue(req, ahead)
	}
	switch decide(ranked).(type) {
	case picker.Send:
		return WouldSend{worker: ranked[0].worker}
	case picker.Refuse:
		return Refused{reason: ReasonNoWorker}
	case picker.Wait:
	}
	return p.outlookOfQueue(req, ahead)
}

// outlookOfQueue returns whether the request would be queued, and for how long.
func (p *Pool) outlookOfQueue(req *Request, ahead int) Outlook {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.usesReportedLoad() {
		if p.queue.ownCount() >= p.queueLimit {
			return Refused{reason: ReasonQueueFull}
		}
		if p.ranksCalls.Load() {
			return p.outlookByRank(req)
		}
		return WouldWait{ahead: ahead, upTo: ranker.LateWait(req.target)}
	}
	if reason, ok := p.mayQueue(req, time.Duration(p.meanLatency.Load())); !ok {
		return Refused{reason: reason}
	}
	return WouldWait{ahead: ahead, upTo: time.Until(req.deadline)}
}

// outlookByRank returns whether the request would be queued by its rank. The caller holds
// the mutex.
func (p *Pool) outlookByRank(req *Request) Outlook {
	call := p.rankable(req)
	meanWork := p.meanWorkWith(call.Work())
	w := &waiter{req: *req, rank: call.RankAt(p.Now(), meanWork)}
	room := p.room(p.queue.position(w), meanWork)
	if _, refused := ranker.Decide(call, room).(ranker.Refuse); refused {
		return Refused{reason: ReasonNoRoom, retryAfter: p.queueWait()}
	}
	return WouldWait{ahead: room.Ahead(), upTo: call.MaxWait(req.target)}
}

func (p *Pool) rankWorkers(policy picker.Policy, req *Request, set *workerSet, workers []*tracker.Worker) []PreviewedCandidate {
	var summary CandidateSummary
	now := p.Now()
	candidates := p.gather(nil, workers, set, req, now, &summary)
	previewed := make([]PreviewedCandidate, 0, len(candidates))
	for _, ranked := range picker.Rank(policy, candidates) {
		w, c := workers[ranked.Index()], candidates[ranked.Index()]
		exclusion := req.constraint.exclude(w)
		if exclusion == NotExcluded && c.State() == picker.Excluded {
			exclusion = ExcludedAsCold
		}
		previewed = append(previewed, PreviewedCandidate{worker: w, candidate: c, exclusion: exclusion, load: p.workerLoad(w, now), ranked: ranked})
	}
	return previewed
}

func decide(candidates []PreviewedCandidate) picker.Decision {
	ranked := make([]picker.Ranked, len(candidates))
	for i, c := range candidates {
		ranked[i] = c.ranked
	}
	return picker.Decide(ranked)
}
