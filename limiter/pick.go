package limiter

import (
	"time"

	"burdocklane/picker"
	"burdocklane/tracker"
)

// pickAndAcquire picks a worker and acquires a slot there. The grant is only valid if the
// decision is Send.
func (p *Pool) pickAndAcquire(policy picker.Policy, req *Request, summary *CandidateSummary) (Granted, picker.Decision) {
	var buffer [stackBufferSize]picker.Candidate
	if _, ok := policy.(picker.RoundRobin); ok {
		policy = picker.NewRoundRobin(p.roundRobinCounter.Add(1))
	}
	set := p.workerSet.Load()
	workers := set.workers
	if req.localOnly {
		workers = set.local
	}
	for range maxAcquireAttempts {
		now := p.Now()
		candidates := p.gather(buffer[:0], workers, set, req, now, summary)
		decision := picker.Pick(policy, candidates, p.rng)
		send, ok := decision.(picker.Send)
		if _, refused := decision.(picker.Refuse); refused && len(workers) < len(set.workers) {
			workers = set.workers // A worker of another region may be usable.
			continue
		}
		if !ok {
			return Granted{}, decision
		}
		worker := workers[send.Index()]
		p.recordChosen(summary, worker, candidates[send.Index()], now)
		limit, bounded := acquireLimit(policy, candidates[send.Index()])
		if !bounded { // The picker itself bounds overflow.
			worker.Acquire(now)
		} else if !worker.TryAcquire(now, limit) {
			continue
		}
		cold, ok := p.takeColdCall(worker, set.holding, now)
		if !ok {
			worker.Release(now)
			continue
		}
		if req.onBehalfOfPeer {
			worker.AddLent(1)
		}
		p.trackInFlight(1)
		p.recordGrant(req, candidates[send.Index()], now)
		return Granted{pool: p, worker: worker, target: req.target, onBehalfOfPeer: req.onBehalfOfPeer, hasColdCall: cold}, decision
	}
	return Granted{}, picker.Wait{}
}

// gather appends a candidate for each of the workers, which are those of the set or a part
// of them.
func (p *Pool) gather(buffer []picker.Candidate, workers []*tracker.Worker, set *workerSet, req *Request, now time.Duration, summary *CandidateSummary) []picker.Candidate {
	candidates := p.buildCandidates(buffer, workers, set.holding, req, now, summary)
	isNoneUsable := summary.usable == 0 && len(workers) == len(set.workers)
	if req.lastResort || isNoneUsable && !req.hedge {
		admitLastResort(candidates)
	}
	return candidates
}
