package limiter

import (
	"math"
	"time"

	"burdocklane/picker"
	"burdocklane/tracker"
)

// acquireLimit returns the number of calls that the worker may have including
// this one, or false if there is no limit. A decision by load reports is only
// valid for the number of calls in flight that it was based on: if another
// call was sent in the meantime, it is repeated.
func acquireLimit(policy picker.Policy, c picker.Candidate) (int32, bool) {
	switch policy.(type) {
	case picker.SharedSlots:
		return c.Limit(), true
	case picker.ReportedLoad:
		return c.InFlight() + 1, true
	}
	return 0, false
}

// buildCandidates appends a candidate for each worker. If more than the
// allowed share of the workers is ejected, ejected workers are used again.
func (p *Pool) buildCandidates(candidates []picker.Candidate, workers []*tracker.Worker, h holding, req *Request, now time.Duration, summary *CandidateSummary) []picker.Candidate {
	var means [distanceCount]int64
	for d := range means {
		means[d] = p.meanLatencyAt(d)
	}
	maxCalls := p.fairLimit()
	*summary = CandidateSummary{total: int32(len(workers)), queued: p.waiting.Load()}
	ejected, excluded := 0, 0
	for _, w := range workers {
		c := p.candidate(w, means[w.Distance()], now, req).Capped(maxCalls)
		access := p.coldAccessTo(w, h, now)
		switch {
		case !req.constraint.permits(w) || access == accessClosed:
			c = c.AsExcluded()
		case access == accessSpent:
			c = c.AsSpent()
		}
		if access == accessClosed || access == accessSpent {
			summary.cold++
		}
		candidates = append(candidates, c)
		summary.add(c)
		switch c.State() {
		case picker.Ejected:
			ejected++
		case picker.Excluded:
			excluded++
		}
	}
	if ejected > 0 {
		readmit(candidates, ejected, len(candidates)-excluded)
	}
	return candidates
}

// admitLastResort uses the workers that are about to stop and still serve: all workers of
// a service may leave at once, before the list has new ones.
func admitLastResort(candidates []picker.Candidate) {
	for i, c := range candidates {
		candidates[i] = c.AsLastResort()
	}
}

// readmit uses ejected workers again if they exceed the allowed share of the permitted
// workers, or of those in the local region.
func readmit(candidates []picker.Candidate, ejected, permitted int) {
	local, localEjected := 0, 0
	for _, c := range candidates {
		if c.Remote() || c.State() == picker.Excluded {
			continue
		}
		local++
		if c.State() == picker.Ejected {
			localEjected++
		}
	}
	all := ejected*maxEjectedDivisor > permitted
	for i, c := range candidates {
		if all || (!c.Remote() && localEjected*maxEjectedDivisor > local) {
			candidates[i] = c.Readmitted()
		}
	}
}

// fairLimit bounds the calls at one worker by its even share of the mean
// number of calls in flight, plus headroom.
func (p *Pool) fairLimit() int32 {
	workersWithShare := max(p.workerSet.Load().workersWithShare, 1)
	return max(int32(math.Ceil(headroom*float64(p.meanInFlight.Load())/1000/float64(workersWithShare))), 1)
}

// trackInFlight updates the number of calls in flight and its moving average.
func (p *Pool) trackInFlight(change int32) {
	inFlight := int64(p.inFlight.Add(change)) * 1000
	old := p.meanInFlight.Load()
	p.meanInFlight.CompareAndSwap(old, old+(inFlight-old)/inFlightSmoothing)
}

func (s *CandidateSummary) add(c picker.Candidate) {
	s.inFlight += c.InFlight()
	if c.State() == picker.Excluded {
		s.excluded++
	}
	if c.State() != picker.Usable && c.State() != picker.Suspect {
		return
	}
	s.usable++
	if c.InFlight() < c.Limit() {
		s.free++
	}
}

// meanLatencyAt returns the mean latency of workers at the distance, in
// nanoseconds. It is estimated from the service's mean until a call has been
// answered there.
func (p *Pool) meanLatencyAt(distance int) int64 {
	if meanLatency := p.latencyByDistance[distance].Load(); meanLatency > 0 {
		return meanLatency
	}
	meanLatency := p.meanLatency.Load()
	if meanLatency > 0 && distance > 0 {
		meanLatency += int64(distance) * int64(distanceLatencyPrior) / 2
	}
	return meanLatency
}
