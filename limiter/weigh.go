package limiter

import (
	"math"
	"time"

	"burdocklane/picker"
	"burdocklane/tracker"
)

// limitOf returns how many calls the worker may have after this one, and false
// if there is no limit. What a decision by reports was made from must still hold:
// a call that was sent meanwhile makes it void.
func limitOf(policy picker.Policy, c picker.Candidate) (int32, bool) {
	switch policy.(type) {
	case picker.SharedSlots:
		return c.Limit(), true
	case picker.ReportedLoad:
		return c.InFlight() + 1, true
	}
	return 0, false
}

// weigh appends a candidate for each worker. When more than the allowed share
// of workers is ejected, they are all used again.
func (p *Pool) weigh(candidates []picker.Candidate, workers []*tracker.Worker, ask *Ask, now time.Duration, seen *Seen) []picker.Candidate {
	var means [distances]int64
	for d := range means {
		means[d] = p.meanAt(d)
	}
	most := p.fairLimit()
	*seen = Seen{total: int32(len(workers)), queued: p.waiting.Load()}
	ejected := 0
	for _, w := range workers {
		c := p.candidate(w, means[w.Distance()], now, ask).Capped(most)
		candidates = append(candidates, c)
		seen.count(c)
		if c.State() == picker.Ejected {
			ejected++
		}
	}
	if ejected > 0 {
		readmit(candidates, ejected)
	}
	return candidates
}

// readmit uses ejected workers again, if they are more than the allowed share of
// all, or of those within reach of the region.
func readmit(candidates []picker.Candidate, ejected int) {
	near, nearEjected := 0, 0
	for _, c := range candidates {
		if c.Far() {
			continue
		}
		near++
		if c.State() == picker.Ejected {
			nearEjected++
		}
	}
	all := ejected*ejectedMost > len(candidates)
	for i, c := range candidates {
		if all || (!c.Far() && nearEjected*ejectedMost > near) {
			candidates[i] = c.Readmitted()
		}
	}
}

// fairLimit bounds the calls at one worker by the even part of the usual load
// and some headroom.
func (p *Pool) fairLimit() int32 {
	holding := max(p.roster.Load().holding, 1)
	return max(int32(math.Ceil(headroom*float64(p.usual.Load())/1000/float64(holding))), 1)
}

// noteHeld adds the calls in flight to their moving average.
func (p *Pool) noteHeld(change int32) {
	held := int64(p.held.Add(change)) * 1000
	old := p.usual.Load()
	p.usual.CompareAndSwap(old, old+(held-old)/usualWeight)
}

func (s *Seen) count(c picker.Candidate) {
	s.inFlight += c.InFlight()
	if c.State() != picker.Usable && c.State() != picker.Suspect {
		return
	}
	s.usable++
	if c.InFlight() < c.Limit() {
		s.free++
	}
}

// meanAt returns the mean latency of workers at a distance, in nanoseconds.
func (p *Pool) meanAt(distance int) int64 {
	if mean := p.near[distance].Load(); mean > 0 {
		return mean
	}
	mean := p.mean.Load()
	if mean > 0 && distance > 0 {
		mean += int64(distance) * int64(farPrior) / 2
	}
	return mean
}
