package picker

import (
	"math/rand/v2"
)

// Policy is a way to choose a worker: one of Random, RoundRobin,
// LeastInFlight, TwoChoices, ProbePool, SharedSlots, Overflow or ReportedLoad.
type Policy interface{ policy() }

// Random sends to any usable worker.
type Random struct{}

// RoundRobin sends to the usable workers in turn.
type RoundRobin struct{ turn uint64 }

// LeastInFlight sends to the worker with the fewest own calls in flight.
type LeastInFlight struct{}

// TwoChoices draws two workers and sends to the one with fewer own calls in
// flight (Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing", 2001).
type TwoChoices struct{}

// ProbePool sends to the worker with the best recently probed state
// (Wydrowski et al., "Load is not what you should balance: Introducing
// Prequal", 2024): lowest latency among those not hot, nearest zone first.
type ProbePool struct{}

// SharedSlots sends only where the instance holds a free slot, and else lets
// the call wait for one. Observed speed orders the free slots.
type SharedSlots struct{}

// Overflow sends beyond the instance's own slots, up to a bound, to the worker
// that is expected to answer first. It serves calls that have waited too long
// for a slot of their own, and hedged requests.
type Overflow struct{ far bool }

// NewOverflow returns the policy; far allows workers of other regions.
func NewOverflow(far bool) Overflow { return Overflow{far: far} }

func (ReportedLoad) policy()  {}
func (Random) policy()        {}
func (RoundRobin) policy()    {}
func (LeastInFlight) policy() {}
func (TwoChoices) policy()    {}
func (ProbePool) policy()     {}
func (SharedSlots) policy()   {}
func (Overflow) policy()      {}

// NewRoundRobin returns the policy at the given turn.
func NewRoundRobin(turn uint64) RoundRobin { return RoundRobin{turn: turn} }

// Bounded tells whether p keeps each worker at or under its limit.
func Bounded(p Policy) bool {
	_, ok := p.(SharedSlots)
	return ok
}

// Pick chooses among the candidates.
func Pick(p Policy, candidates []Candidate, rng *rand.Rand) Decision {
	switch p := p.(type) {
	case Random:
		return pickRandom(candidates, rng.IntN(max(len(candidates), 1)))
	case RoundRobin:
		return pickRandom(candidates, int(p.turn%uint64(max(len(candidates), 1))))
	case LeastInFlight:
		return pickLeast(candidates, rng, byInFlight)
	case TwoChoices:
		return pickTwo(candidates, rng)
	case ProbePool:
		return pickLeast(candidates, rng, byProbe)
	case SharedSlots:
		return pickFree(candidates, rng)
	case Overflow:
		return pickOverflow(candidates, p.far, rng)
	case ReportedLoad:
		return pickReported(candidates, p, rng)
	}
	return Refuse{}
}

// pickRandom takes the first usable candidate at or after the start.
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

// least is the candidate with the least score so far. Ties are broken at
// random, each with the same chance.
type least struct {
	index int
	score int64
	ties  int
}

func newLeast() least { return least{index: -1} }

func (l *least) offer(index int, score int64, rng *rand.Rand) {
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

// or returns the candidate, or the other decision if there was none.
func (l *least) or(none Decision) Decision {
	if l.index < 0 {
		return none
	}
	return Send{index: int32(l.index)}
}

// pickLeast takes the usable candidate with the least score.
func pickLeast(candidates []Candidate, rng *rand.Rand, score func(*Candidate) int64) Decision {
	best := newLeast()
	for i := range candidates {
		if c := &candidates[i]; routable(c.state) {
			best.offer(i, score(c), rng)
		}
	}
	return best.or(Refuse{})
}

const (
	avoidPenalty   = int64(1) << 50
	suspectPenalty = int64(1) << 48
	tierPenalty    = int64(1) << 40
)

func byInFlight(c *Candidate) int64 {
	score := int64(c.inFlight)
	if c.avoid {
		score += avoidPenalty
	}
	return score
}

// byProbe treats a worker as hot when it has more calls than slots; the cold
// one with the least latency wins, then the hot one with the fewest calls.
func byProbe(c *Candidate) int64 {
	score := c.latency + int64(c.distance)*tierPenalty
	if load := c.remote + c.inFlight; load >= c.limit {
		score = suspectPenalty + int64(load)*tierPenalty
	}
	if c.avoid {
		score += avoidPenalty
	}
	return score
}

func byExpectedLatency(c *Candidate) int64 {
	score := c.latency
	if c.state == Suspect {
		score += suspectPenalty
	}
	if c.avoid {
		score += avoidPenalty
	}
	return score
}

// pickFree never leaves a free slot idle while a call waits: suspicion and
// slowness only order the free slots.
func pickFree(candidates []Candidate, rng *rand.Rand) Decision {
	best, usable := newLeast(), false
	for i := range candidates {
		c := &candidates[i]
		if !routable(c.state) {
			continue
		}
		usable = true
		if c.inFlight < c.limit {
			best.offer(i, byExpectedLatency(c), rng)
		}
	}
	if usable {
		return best.or(Wait{})
	}
	return Refuse{}
}

// farDistance is the distance between regions, as registrar.Place counts it.
const farDistance = 2

// overflowLimit is how many calls an instance may have at a worker beyond its
// own slots: the worker's queue absorbs them. Far workers take one.
func (c *Candidate) overflowLimit() int32 {
	if c.distance >= farDistance {
		return max(c.limit, 1)
	}
	return 2*c.limit + 1
}

func pickOverflow(candidates []Candidate, far bool, rng *rand.Rand) Decision {
	best := newLeast()
	for i := range candidates {
		c := &candidates[i]
		if c.state != Usable || c.avoid || c.inFlight >= c.overflowLimit() || (!far && c.distance >= farDistance) {
			continue
		}
		best.offer(i, byQueue(c), rng)
	}
	return best.or(Wait{})
}

// byQueue expects a call to wait for its turn when the slots are taken.
func byQueue(c *Candidate) int64 {
	excess := max(c.inFlight+1-max(c.limit, 1), 0)
	return c.latency + c.latency*int64(excess)/int64(max(c.limit, 1))
}

func routable(s State) bool { return s == Usable || s == Suspect }
