package picker

import (
	"math/rand/v2"
)

// Policy selects how a worker is picked: Random, RoundRobin, LeastInFlight,
// TwoChoices, ProbePool, SharedSlots, Overflow or ReportedLoad.
type Policy interface{ policy() }

// Random sends to a random usable worker.
type Random struct{}

// RoundRobin sends to the usable workers in rotation.
type RoundRobin struct{ position uint64 }

// LeastInFlight sends to the worker with the fewest own calls in flight.
type LeastInFlight struct{}

// TwoChoices draws two random workers and sends to the one with fewer own
// calls in flight (Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing", 2001).
type TwoChoices struct{}

// ProbePool sends to the worker with the best recent probe result (Wydrowski
// et al., "Load is not what you should balance: Introducing Prequal", 2024):
// the lowest latency among those that are not hot, nearest zone first.
type ProbePool struct{}

// SharedSlots sends only to workers where the instance has a free slot, and
// otherwise lets the call wait for one. Free slots are ordered by expected
// latency.
type SharedSlots struct{}

// Overflow sends beyond the instance's own slots, up to a limit, to the worker
// with the lowest expected latency. It serves calls that have waited too long
// for one of the instance's own slots, and hedged requests.
type Overflow struct{ allowRemote bool }

// NewOverflow returns the policy. allowRemote allows workers of other regions.
func NewOverflow(allowRemote bool) Overflow { return Overflow{allowRemote: allowRemote} }

func (ReportedLoad) policy()  {}
func (Random) policy()        {}
func (RoundRobin) policy()    {}
func (LeastInFlight) policy() {}
func (TwoChoices) policy()    {}
func (ProbePool) policy()     {}
func (SharedSlots) policy()   {}
func (Overflow) policy()      {}

// NewRoundRobin returns the policy at the given position of the rotation.
func NewRoundRobin(position uint64) RoundRobin { return RoundRobin{position: position} }

// Bounded reports whether p keeps the calls at each worker within its limit.
func Bounded(p Policy) bool {
	_, ok := p.(SharedSlots)
	return ok
}

// Pick picks one of the candidates.
func Pick(p Policy, candidates []Candidate, rng *rand.Rand) Decision {
	switch p := p.(type) {
	case Random:
		return pickRandom(candidates, rng.IntN(max(len(candidates), 1)))
	case RoundRobin:
		return pickRandom(candidates, int(p.position%uint64(max(len(candidates), 1))))
	case LeastInFlight:
		return pickLowestScore(candidates, rng, scoreByInFlight)
	case TwoChoices:
		return pickTwo(candidates, rng)
	case ProbePool:
		return pickLowestScore(candidates, rng, scoreByProbe)
	case SharedSlots:
		return pickFreeSlot(candidates, rng)
	case Overflow:
		return pickOverflow(candidates, p.allowRemote, rng)
	case ReportedLoad:
		return pickReported(candidates, p, rng)
	}
	return Refuse{}
}

// pickRandom picks the first usable candidate from start on, preferring those
// that need not be avoided.
func pickRandom(candidates []Candidate, start int) Decision {
	fallback := -1
	for i := range candidates {
		at := (start + i) % len(candidates)
		c := &candidates[at]
		if !routable(c.state) {
			continue
		}
		if !c.avoid {
			return Send{index: int32(at)}
		}
		fallback = at
	}
	if fallback >= 0 {
		return Send{index: int32(fallback)}
	}
	return Refuse{}
}

func pickTwo(candidates []Candidate, rng *rand.Rand) Decision {
	if len(candidates) == 0 {
		return Refuse{}
	}
	first, ok := pickRandom(candidates, rng.IntN(len(candidates))).(Send)
	if !ok {
		return Refuse{}
	}
	second, _ := pickRandom(candidates, rng.IntN(len(candidates))).(Send)
	a, b := &candidates[first.index], &candidates[second.index]
	if b.inFlight < a.inFlight && !b.avoid {
		return second
	}
	return first
}

// lowestScore tracks the candidate with the lowest score. Ties are broken at
// random with equal probability.
type lowestScore struct {
	index int
	score int64
	ties  int
}

func newLowestScore() lowestScore { return lowestScore{index: -1} }

func (l *lowestScore) offer(index int, score int64, rng *rand.Rand) {
	switch {
	case l.index < 0 || score < l.score:
		l.index, l.score, l.ties = index, score, 1
	case score == l.score:
		l.ties++
		if rng.IntN(l.ties) == 0 {
			l.index = index
		}
	}
}

// orElse returns the decision for the candidate, or none if there is no
// candidate.
func (l *lowestScore) orElse(none Decision) Decision {
	if l.index < 0 {
		return none
	}
	return Send{index: int32(l.index)}
}

// pickLowestScore picks the usable candidate with the lowest score.
func pickLowestScore(candidates []Candidate, rng *rand.Rand, score func(*Candidate) int64) Decision {
	best := newLowestScore()
	for i := range candidates {
		if c := &candidates[i]; routable(c.state) {
			best.offer(i, score(c), rng)
		}
	}
	return best.orElse(Refuse{})
}

const (
	avoidPenalty   = int64(1) << 50
	suspectPenalty = int64(1) << 48
	tierPenalty    = int64(1) << 40
)

func scoreByInFlight(c *Candidate) int64 {
	score := int64(c.inFlight)
	if c.avoid {
		score += avoidPenalty
	}
	return score
}

// scoreByProbe scores a worker as hot if its calls reach its limit. The cold
// worker with the lowest latency is picked, or else the hot one with the
// fewest calls.
func scoreByProbe(c *Candidate) int64 {
	score := c.latency + int64(c.distance)*tierPenalty
	if load := c.reportedCalls + c.inFlight; load >= c.limit {
		score = suspectPenalty + int64(load)*tierPenalty
	}
	if c.avoid {
		score += avoidPenalty
	}
	return score
}

func scoreByExpectedLatency(c *Candidate) int64 {
	score := c.latency
	if c.state == Suspect {
		score += suspectPenalty
	}
	if c.avoid {
		score += avoidPenalty
	}
	return score
}

// pickFreeSlot never lets a call wait while a slot is free: suspect and slow
// workers are only ordered after the others.
func pickFreeSlot(candidates []Candidate, rng *rand.Rand) Decision {
	best, usable := newLowestScore(), false
	for i := range candidates {
		c := &candidates[i]
		if !routable(c.state) {
			continue
		}
		usable = true
		if c.hasFreeSlot() {
			best.offer(i, scoreByExpectedLatency(c), rng)
		}
	}
	if usable {
		return best.orElse(Wait{})
	}
	return Refuse{}
}

func (c *Candidate) hasFreeSlot() bool { return c.inFlight < c.limit }

// RemoteDistance is the distance between localities of different regions.
const RemoteDistance = 2

// overflowLimit returns how many calls an instance may have at a worker when
// it exceeds its own slots: the worker's queue absorbs them. Workers of other
// regions take no more than the limit, but at least one call.
func (c *Candidate) overflowLimit() int32 {
	if c.distance >= RemoteDistance {
		return max(c.limit, 1)
	}
	return 2*c.limit + 1
}

func pickOverflow(candidates []Candidate, allowRemote bool, rng *rand.Rand) Decision {
	best := newLowestScore()
	for i := range candidates {
		c := &candidates[i]
		if c.takesOverflow(allowRemote) {
			best.offer(i, scoreByQueueingLatency(c), rng)
		}
	}
	return best.orElse(Wait{})
}

func (c *Candidate) takesOverflow(allowRemote bool) bool {
	return c.state == Usable && !c.avoid && c.inFlight < c.overflowLimit() && (allowRemote || c.distance < RemoteDistance)
}

// scoreByQueueingLatency scores a worker by its expected latency including the
// time in its queue if the slots are taken.
func scoreByQueueingLatency(c *Candidate) int64 {
	excess := max(c.inFlight+1-max(c.limit, 1), 0)
	return c.latency + c.latency*int64(excess)/int64(max(c.limit, 1))
}

func routable(s State) bool { return s == Usable || s == Suspect }
