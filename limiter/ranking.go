package limiter

import (
	"math"
	"time"

	"burdocklane/picker"
	"burdocklane/ranker"
	"burdocklane/tracker"
)

const (
	// maxFailedGrants is how many queued calls may turn out to have no worker until the next
	// slot is free: they avoid the workers that are.
	maxFailedGrants = 3
	// workWeight is the weight of a new call in the moving average of the calls' work.
	workWeight = 0.05
)

// SetRanksCalls sets whether the queue is ordered by the rank of the calls, which depends
// on their priorities and work and on the shares of their tenants. Only a pool whose
// workers report their load ranks calls.
func (p *Pool) SetRanksCalls(ranks bool) { p.ranksCalls.Store(ranks && p.usesReportedLoad()) }

// RanksCalls reports whether the queue is ordered by the rank of the calls.
func (p *Pool) RanksCalls() bool { return p.ranksCalls.Load() }

// ActiveTenants returns the number of tenants whose share of the room is tracked.
func (p *Pool) ActiveTenants() int { return p.shares.Tenants() }

// rank gives the call its place in the queue and returns how long it may wait, or why it
// must not. The caller holds the mutex.
func (p *Pool) rank(w *waiter) (time.Duration, Reason) {
	call := p.rankable(&w.req)
	meanWork := p.meanWorkWith(call.Work())
	p.meanWork.Store(int64(meanWork))
	w.rank = call.RankAt(p.Now(), meanWork)
	room := p.room(p.queue.position(w), meanWork)
	verdict := ranker.Decide(call, room)
	w.ranking = rankingSummary{
		call: call, untilTarget: time.Until(w.req.targetDeadline),
		ahead: room.Ahead(), wait: room.Wait(), verdict: verdictText(verdict),
	}
	countVerdict(call.Priority(), w.ranking.verdict)
	switch verdict.(type) {
	case ranker.Wait, ranker.WaitBriefly:
		return call.MaxWait(w.req.target), ""
	case ranker.Refuse:
	}
	return 0, ReasonNoRoom
}

// MaxWait returns how long the call waits for capacity at most, or 0 if the pool does not
// rank calls.
func (p *Pool) MaxWait(req Request) time.Duration {
	if !p.ranksCalls.Load() {
		return 0
	}
	return p.rankable(&req).MaxWait(req.target)
}

// rankingElsewhere summarizes the ranking of a call that another instance refused, which
// expects to have room after the wait.
func (p *Pool) rankingElsewhere(req *Request, wait time.Duration) rankingSummary {
	if !p.ranksCalls.Load() {
		return rankingSummary{}
	}
	return rankingSummary{
		call: p.rankable(req), untilTarget: time.Until(req.targetDeadline),
		ahead: -1, wait: wait, verdict: verdictRefuse,
	}
}

// rankable returns what the rank of the call depends on.
func (p *Pool) rankable(req *Request) ranker.Call {
	call := ranker.NewCall(req.priority, time.Until(req.targetDeadline), time.Until(req.deadline), p.BaseLatency(req.target)).
		WithLead(p.shares.Lead(req.tenant, p.Now()))
	if p.kinds.IsStarved(req.kind()) {
		return call.AsStarved()
	}
	return call
}

// recordRequest records that a call asks for a slot. Those whose callers have come back
// count for their tenants only.
func (p *Pool) recordRequest(req *Request) {
	if !p.ranksCalls.Load() {
		return
	}
	now := p.Now()
	p.shares.Ask(req.tenant, now)
	if !req.noWait && !req.pastTarget() {
		p.kinds.Ask(req.kind(), now)
	}
}

// recordGrant records that a call gets a slot.
func (p *Pool) recordGrant(req *Request, chosen picker.Candidate, now time.Duration) {
	if !p.ranksCalls.Load() {
		return
	}
	if !req.noWait {
		p.kinds.Serve(req.kind())
	}
	p.shares.Charge(req.tenant, time.Duration(chosen.Latency()), p.workerSet.Load().localSlots, now)
}

// meanWorkWith returns the moving average of the calls' work after another call.
func (p *Pool) meanWorkWith(work time.Duration) time.Duration {
	old := p.meanWork.Load()
	if old == 0 {
		old = int64(work)
	}
	return time.Duration(old + int64(workWeight*float64(int64(work)-old)))
}

// room returns the room for a call that goes after others.
func (p *Pool) room(ahead int, meanWork time.Duration) ranker.Room {
	congested := time.Duration(float64(meanWork) * p.congestion())
	return ranker.NewRoom(ahead, time.Duration(float64(congested)/max(p.effectiveSlots(congested), 1)))
}

// congestion returns how much slower congested workers are, as all are while calls wait.
func (p *Pool) congestion() float64 { return float64(p.congestionFactor.Load()) / perThousand }

// canServe reports whether the worker may get calls that are not confined to regions.
func (p *Pool) canServe(w *tracker.Worker, now time.Duration) bool {
	state := w.State(0, now)
	return (state == picker.Usable || state == picker.Suspect) && Constraint{}.permits(w)
}

// effectiveSlots returns the number of slots in the instance's region for calls that
// occupy one for so long. A slot of a worker that takes twice as long counts as half a slot,
// and a cold worker has no more slots than its allowance fills.
func (p *Pool) effectiveSlots(held time.Duration) float64 {
	now, set := p.Now(), p.workerSet.Load()
	slots := 0.0
	for _, w := range set.local {
		if p.canServe(w, now) {
			slots += min(float64(w.Member().Slots())/w.Load(now).Slowdown(), p.coldSlots(w, set.holding, held, now))
		}
	}
	return slots
}

// expectedWait returns when a refused call may be served, or 0 if the pool does not rank
// calls.
func (p *Pool) expectedWait() time.Duration {
	if !p.ranksCalls.Load() {
		return 0
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.queueWait()
}

// queueWait returns when the queued calls are expected to have been served. The caller
// holds the mutex.
func (p *Pool) queueWait() time.Duration {
	room := p.room(len(p.queue.waiters), time.Duration(p.meanWork.Load()))
	return max(room.Wait(), time.Millisecond)
}

// mayOvertake reports whether the call goes before all queued calls that a worker could
// take now.
func (p *Pool) mayOvertake(req *Request) bool {
	if !p.ranksCalls.Load() || req.hedge {
		return false
	}
	call := p.rankable(req)
	rank := call.RankAt(p.Now(), time.Duration(p.meanWork.Load()))
	p.mutex.Lock()
	defer p.mutex.Unlock()
	free := p.freeWorkers()
	for _, w := range p.queue.waiters {
		if rank.Before(w.rank) {
			return true
		}
		if p.mayAnswerOnTime(&w.req, free) {
			return false
		}
	}
	return true
}

// dispatchByRank grants slots to queued calls by rank. Calls that no worker would answer on
// time at the moment are passed over. The caller holds the mutex.
func (p *Pool) dispatchByRank() {
	free := p.freeWorkers()
	failures := 0
	for at := 0; at < len(p.queue.waiters) && failures < maxFailedGrants; {
		w := p.queue.waiters[at]
		switch {
		case !p.mayAnswerOnTime(&w.req, free):
			at++
		case p.grantTo(w):
			free = p.freeWorkers()
		default:
			at++
			failures++
		}
	}
}

// freeWorkers is the lowest slowdown to expect of a call at a worker that would not queue
// it, or infinity if there is none: in the instance's region and in any.
type freeWorkers struct{ local, any float64 }

func (p *Pool) freeWorkers() freeWorkers {
	now, set := p.Now(), p.workerSet.Load()
	free := freeWorkers{local: math.Inf(1), any: math.Inf(1)}
	for _, w := range set.workers {
		load := p.workerLoad(w, now)
		if load.Saturated() || !p.canServe(w, now) || !p.coldAccessTo(w, set.holding, now).hasCall() {
			continue
		}
		slowdown := load.ExpectedLatency(time.Second).Seconds()
		free.any = min(free.any, slowdown)
		if w.Distance() < picker.RemoteDistance {
			free.local = min(free.local, slowdown)
		}
	}
	return free
}

// mayAnswerOnTime reports whether the fastest free worker would answer the call on time, or
// before its deadline if it is late anyway.
func (p *Pool) mayAnswerOnTime(req *Request, free freeWorkers) bool {
	slowdown := free.any
	if req.localOnly {
		slowdown = free.local
	}
	left := time.Until(req.deadline)
	if !req.pastTarget() {
		left = min(left, time.Until(req.targetDeadline))
	}
	return slowdown*float64(p.BaseLatency(req.target)) <= float64(left)
}

// grantTo grants a slot to a queued call. It returns false if no worker can take it.
func (p *Pool) grantTo(w *waiter) bool {
	var summary CandidateSummary
	granted, decision := p.pickAndAcquire(p.policyFor(&w.req), &w.req, &summary)
	if _, ok := decision.(picker.Send); !ok {
		return false
	}
	p.deliver(w, granted)
	return true
}
