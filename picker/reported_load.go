package picker

import (
	"math/rand/v2"
	"time"
)

const (
	// latencyJitter is the share by which expected latencies are randomly
	// varied, so that instances with the same information do not all choose
	// the same worker.
	latencyJitter = 0.1
	// zonePenalty and regionPenalty are how much faster a worker in another
	// zone or region must be to be worth the additional network latency and
	// traffic.
	zonePenalty   = 15 * time.Millisecond
	regionPenalty = 120 * time.Millisecond
	// zonePenaltyShare of the time until the target is used as the zone
	// penalty if that is more than zonePenalty: an answer on time is worth no
	// more for being earlier.
	zonePenaltyShare = 0.08
	// maxQueueingShare is the maximum share of the time until the target that
	// a call may be expected to take at a worker where it has to queue.
	maxQueueingShare = 0.8
	// hedgeReserve is the share of the workers that hedges leave with capacity
	// for first attempts.
	hedgeReserve = 0.2
	// suspectLatencyPenalty is how much faster a suspect worker, or one that
	// declines all calls, must be to be chosen.
	suspectLatencyPenalty = 100 * time.Millisecond
)

// ReportedLoad sends to the worker with the lowest expected latency according
// to the workers' load reports, plus a penalty for distance. The latency of
// each candidate must be that expectation. If no worker has capacity and is
// expected to answer on time, the call waits until it is urgent.
type ReportedLoad struct {
	untilTarget   time.Duration
	untilDeadline time.Duration
	urgent        bool
	localOnly     bool
	hedge         bool
	unqueued      bool
	uncongested   bool
}

// NewReportedLoad returns the policy for a call, given the time until its
// answer misses the target and the time until its deadline.
func NewReportedLoad(untilTarget, untilDeadline time.Duration) ReportedLoad {
	return ReportedLoad{untilTarget: untilTarget, untilDeadline: untilDeadline}
}

// distancePenalty returns how much faster a worker at the distance must be to
// be chosen, in nanoseconds.
func (p ReportedLoad) distancePenalty(distance uint8) int64 {
	switch distance {
	case 0:
		return 0
	case RemoteDistance:
		return int64(regionPenalty)
	}
	return int64(max(zonePenalty, time.Duration(zonePenaltyShare*float64(p.untilTarget))))
}

// Urgent returns p for a call that has waited for capacity long enough.
func (p ReportedLoad) Urgent() ReportedLoad {
	p.urgent = true
	return p
}

// LocalOnly returns p restricted to workers of the local region.
func (p ReportedLoad) LocalOnly() ReportedLoad {
	p.localOnly = true
	return p
}

// AsHedge returns p for a hedge, which leaves some capacity to first attempts.
func (p ReportedLoad) AsHedge() ReportedLoad {
	p.hedge = true
	return p
}

// Unqueued returns p for a call that must not queue at a worker, since calls queue before
// they are assigned.
func (p ReportedLoad) Unqueued() ReportedLoad {
	p.unqueued = true
	return p
}

// Uncongested returns p for a call that must not be sent to a congested worker, since other
// calls wait for it.
func (p ReportedLoad) Uncongested() ReportedLoad {
	p.uncongested = true
	return p
}

// mayCongest reports whether the call may be sent to the worker although it is congested.
func (p ReportedLoad) mayCongest(c *Candidate) bool {
	switch {
	case p.uncongested:
		return false
	case c.saturated:
		return !p.unqueued && float64(c.latency) <= maxQueueingShare*float64(p.untilTarget)
	}
	return true
}

// pickReported picks the best worker that is not congested and expected to
// answer on time, or else a congested one that still answers on time. An
// urgent call may also use a worker that is not congested but late: such a
// worker is slow for other reasons, and the call takes no slot that another
// call waits for. Workers that an earlier attempt was sent to are excluded.
func pickReported(candidates []Candidate, p ReportedLoad, rng *rand.Rand) Decision {
	uncongested, congested, late := newLowestScore(), newLowestScore(), newLowestScore()
	usable, considered, withCapacity := false, 0, 0
	for i := range candidates {
		c := &candidates[i]
		standing := p.standing(c)
		if standing <= Elsewhere {
			usable = true
		}
		if standing >= Elsewhere || c.state == Spent {
			continue
		}
		considered++
		if !c.congested && c.latency <= int64(p.untilDeadline) {
			withCapacity++
		}
		score := c.reportedScore(rng.Float64()) + p.distancePenalty(c.distance)
		switch standing {
		case Free:
			uncongested.offer(i, score, rng)
		case Congested:
			congested.offer(i, score, rng)
		case Late:
			late.offer(i, score, rng)
		case NoCapacity, Elsewhere, Tried, Unusable:
		}
	}
	if !usable {
		return Refuse{}
	}
	if p.hedge {
		return p.keepReserve(uncongested.orElse(late.orElse(Wait{})), withCapacity, considered)
	}
	return uncongested.orElse(congested.orElse(late.orElse(Wait{})))
}

// keepReserve returns the decision for a hedge, or Wait if it would use
// capacity that is reserved for first attempts.
func (p ReportedLoad) keepReserve(d Decision, withCapacity, considered int) Decision {
	if float64(withCapacity) <= hedgeReserve*float64(considered) {
		return Wait{}
	}
	return d
}

// reportedScore returns the expected latency with a share of the jitter, from 0 to 1, plus
// penalties for suspect workers and for those that decline calls.
func (c *Candidate) reportedScore(jitter float64) int64 {
	varied := float64(c.latency) * (1 + latencyJitter*jitter)
	if c.state == Suspect {
		varied += float64(suspectLatencyPenalty)
	}
	varied += float64(c.declineShare) * float64(suspectLatencyPenalty)
	return int64(varied)
}
