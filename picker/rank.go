package picker

import (
	"cmp"
	"slices"
)

// Standing is how a policy regards a candidate for a call; the lower, the better.
type Standing uint8

const (
	// Free candidates have capacity for the call and are expected to answer on time.
	Free Standing = iota
	// Congested candidates are on time, but slower with one more call.
	Congested
	// Late candidates have capacity and miss the target; only an urgent call uses them.
	Late
	// NoCapacity is the standing of usable candidates that cannot take the call now.
	NoCapacity
	// Elsewhere is the standing of usable candidates of other regions for a call that
	// stays in this one.
	Elsewhere
	// Tried candidates have had an earlier attempt of the call.
	Tried
	// Unusable candidates get no calls, or not this one.
	Unusable
)

// String returns the name of s in explanations.
func (s Standing) String() string {
	return [...]string{"free", "congested", "late", "no-capacity", "elsewhere", "tried", "unusable"}[s]
}

// Ranked is the place of a candidate in the order of a policy. Its score lies between two
// bounds, between which Pick draws at random; the lowest score of a standing is picked.
type Ranked struct {
	index     int
	standing  Standing
	low, high int64
}

// Index returns the index of the candidate.
func (r Ranked) Index() int { return r.index }

// Standing returns how the policy regards the candidate.
func (r Ranked) Standing() Standing { return r.standing }

// Bounds returns the lowest and the highest score that the candidate may get.
func (r Ranked) Bounds() (low, high int64) { return r.low, r.high }

// Rank orders the candidates as Pick prefers them, without a random draw. Equal ones keep
// their order.
func Rank(p Policy, candidates []Candidate) []Ranked {
	ranked := make([]Ranked, len(candidates))
	for i := range candidates {
		ranked[i] = rank(p, candidates, i)
	}
	slices.SortStableFunc(ranked, func(a, b Ranked) int {
		return cmp.Or(cmp.Compare(a.standing, b.standing), cmp.Compare(a.low, b.low))
	})
	return ranked
}

// Decide returns the decision of Pick for ranked candidates. Where Pick draws among several,
// it is the first.
func Decide(ranked []Ranked) Decision {
	if len(ranked) == 0 {
		return Refuse{}
	}
	switch first := ranked[0]; first.standing {
	case Free, Congested, Late:
		return Send{index: int32(first.index)}
	case NoCapacity, Elsewhere:
		return Wait{}
	case Tried, Unusable:
	}
	return Refuse{}
}

func rank(p Policy, candidates []Candidate, i int) Ranked {
	c := &candidates[i]
	score, standing := int64(0), Unusable
	if routable(c.state) {
		standing = Free
	}
	switch p := p.(type) {
	case ReportedLoad:
		penalty := p.distancePenalty(c.distance)
		return Ranked{index: i, standing: p.standing(c), low: c.reportedScore(0) + penalty, high: c.reportedScore(1) + penalty}
	case Random, TwoChoices:
		if c.avoid {
			score = avoidPenalty
		}
	case RoundRobin:
		n := uint64(len(candidates))
		score = int64((uint64(i) + n - p.position%n) % n)
		if c.avoid { // The last in the rotation is the fallback.
			score = avoidPenalty - score
		}
	case LeastInFlight:
		score = scoreByInFlight(c)
	case ProbePool:
		score = scoreByProbe(c)
	case SharedSlots:
		score, standing = scoreByExpectedLatency(c), c.slotStanding()
	case Overflow:
		score, standing = scoreByQueueingLatency(c), NoCapacity
		if c.takesOverflow(p.allowRemote) {
			standing = Free
		}
	}
	return Ranked{index: i, standing: standing, low: score, high: score}
}

// slotStanding returns the standing of c if it takes no more calls than its limit.
func (c *Candidate) slotStanding() Standing {
	switch {
	case !routable(c.state):
		return Unusable
	case !c.hasFreeSlot():
		return NoCapacity
	}
	return Free
}

// standing returns how p regards c.
func (p ReportedLoad) standing(c *Candidate) Standing {
	onTime := c.latency <= int64(p.untilTarget)
	switch {
	case !routable(c.state) && c.state != Spent:
		return Unusable
	case c.avoid:
		return Tried
	case c.state == Spent:
		return NoCapacity
	case p.localOnly && c.distance >= RemoteDistance:
		return Elsewhere
	case c.latency > int64(p.untilDeadline):
		return NoCapacity
	case onTime && !c.congested:
		return Free
	case onTime && p.mayCongest(c):
		return Congested
	case !onTime && !c.congested && p.urgent:
		return Late
	}
	return NoCapacity
}
