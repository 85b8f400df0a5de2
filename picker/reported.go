package picker

import (
	"math/rand/v2"
	"time"
)

const (
	// spread is the share by which expectations are varied, so that instances
	// that know the same do not all choose the same worker.
	spread = 0.1
	// zoneToll and regionToll are the time that a worker in another zone or
	// region has to save to be worth the way there and the traffic.
	zoneToll   = 15 * time.Millisecond
	regionToll = 120 * time.Millisecond
	// zoneShare of the time until an answer is late is the toll of another zone
	// where that is more: an answer on time is worth no more for being earlier.
	zoneShare = 0.08
	// queueShare is the part of the time left that a call may be expected to take
	// where it has to wait for its turn.
	queueShare = 0.8
	// reserve is the share of the workers that a second attempt leaves with room
	// for first ones.
	reserve = 0.2
	// suspectToll is the time that a suspect worker has to save.
	suspectToll = 100 * time.Millisecond
)

// ReportedLoad sends to the worker that is expected to answer first by what the
// workers report of their load, with a toll for those farther away. Candidates
// come with that expectation as their latency. A call that finds no worker with
// room that answers on time waits, until it is urgent.
type ReportedLoad struct {
	onTime time.Duration
	most   time.Duration
	urgent bool
	near   bool
	second bool
}

// NewReportedLoad returns the policy for a call that is on time within onTime
// and of no use after most.
func NewReportedLoad(onTime, most time.Duration) ReportedLoad {
	return ReportedLoad{onTime: onTime, most: most}
}

// toll is the worth, as time, of the traffic to a place at the distance.
func (p ReportedLoad) toll(distance uint8) int64 {
	switch distance {
	case 0:
		return 0
	case farDistance:
		return int64(regionToll)
	}
	return int64(max(zoneToll, time.Duration(zoneShare*float64(p.onTime))))
}

// Urgent returns p for a call that has waited for room long enough.
func (p ReportedLoad) Urgent() ReportedLoad {
	p.urgent = true
	return p
}

// Near returns p without workers of other regions.
func (p ReportedLoad) Near() ReportedLoad {
	p.near = true
	return p
}

// Second returns p for a second attempt beside a first one, which is worth less
// than the room that others may need soon.
func (p ReportedLoad) Second() ReportedLoad {
	p.second = true
	return p
}

// pickReported takes the best worker with room that answers on time, or else one
// that is crowded and still on time. An urgent call also takes one that has room
// and is late: that is slow for reasons of its own, and the call takes nobody's
// turn. Workers that an earlier attempt was sent to are left out.
func pickReported(candidates []Candidate, p ReportedLoad, rng *rand.Rand) Decision {
	roomy, crowded, late := newLeast(), newLeast(), newLeast()
	usable, weighed, withRoom := false, 0, 0
	for i := range candidates {
		c := &candidates[i]
		if !routable(c.state) || c.avoid {
			continue
		}
		usable = true
		if p.near && c.distance >= farDistance {
			continue
		}
		weighed++
		if !c.crowded && c.latency <= int64(p.most) {
			withRoom++
		}
		score := c.reportedScore(rng) + p.toll(c.distance)
		switch onTime := c.latency <= int64(p.onTime); {
		case c.latency > int64(p.most):
		case onTime && !c.crowded:
			roomy.offer(i, score, rng)
		case onTime && (!c.full || float64(c.latency) <= queueShare*float64(p.onTime)):
			crowded.offer(i, score, rng)
		case !c.crowded && p.urgent:
			late.offer(i, score, rng)
		}
	}
	if !usable {
		return Refuse{}
	}
	if p.second {
		return p.leaving(roomy.or(late.or(Wait{})), withRoom, weighed)
	}
	return roomy.or(crowded.or(late.or(Wait{})))
}

// leaving returns the decision for a second attempt, unless it would take room
// from the reserve of first ones.
func (p ReportedLoad) leaving(d Decision, withRoom, weighed int) Decision {
	if float64(withRoom) <= reserve*float64(weighed) {
		return Wait{}
	}
	return d
}

// reportedScore is the expected latency, varied, with a toll for what speaks
// against the worker.
func (c *Candidate) reportedScore(rng *rand.Rand) int64 {
	varied := float64(c.latency) * (1 + spread*rng.Float64())
	if c.state == Suspect {
		varied += float64(suspectToll)
	}
	varied += float64(c.declines) * float64(suspectToll)
	return int64(varied)
}
