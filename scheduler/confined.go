package scheduler

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"burdocklane/limiter"

	"github.com/VictoriaMetrics/metrics"
)

var (
	confinedElsewhere = metrics.NewCounter(`burdocklane_confined_requests_total{region="other"}`)
	confinedHere      = metrics.NewCounter(`burdocklane_confined_requests_total{region="own"}`)
)

// assignConfined returns the worker for a call that may be processed in some regions only.
// It asks the schedulers of these regions one after another, until one assigns a worker:
// a scheduler that assigns for another region's instance knows no other region to forward
// the call to. If all of them are silent, the pool decides.
func (s *Scheduler) assignConfined(ctx context.Context, p *limiter.Pool, request limiter.Request) limiter.Assignment {
	var result limiter.Assignment = limiter.Undecided{}
	for _, region := range s.allowedRegions(p, request) {
		assignment := s.assignIn(ctx, region, p, request.ConfinedTo(region))
		switch r := assignment.(type) {
		case limiter.Undecided:
			if r.IsCharged() {
				result, request = r, request.Uncharged()
			}
			continue
		case limiter.Rejected: // The scheduler gave the token back.
			result = r
		default:
			return assignment
		}
		if ctx.Err() != nil || time.Until(request.Deadline()) < remoteTimeout {
			return result
		}
	}
	return result
}

// assignIn requests an assignment from the scheduler of a region.
func (s *Scheduler) assignIn(ctx context.Context, region string, p *limiter.Pool, request limiter.Request) limiter.Assignment {
	if region == s.self.Locality().Region() {
		confinedHere.Inc()
		return s.assignInRegion(ctx, p, request)
	}
	scheduler, ok := s.deciderIn(region, p)
	if !ok {
		return limiter.Undecided{}
	}
	confinedElsewhere.Inc()
	return s.sendRequest(ctx, p, request, scheduler, remoteTimeouts)
}

// allowedRegions returns the regions with workers that may get the call, in the order in
// which to ask their schedulers: the instance's own region first, then the others in random
// order, weighted by the slots of their workers. All other regions are equally distant.
func (s *Scheduler) allowedRegions(p *limiter.Pool, request limiter.Request) []string {
	own := s.self.Locality().Region()
	var regions []string
	ranks := map[string]float64{} // The own region has none, and so is first.
	for _, region := range request.Regions().Names() {
		slots := p.RegionSlots(region, request.Constraint())
		if slots == 0 {
			continue
		}
		regions = append(regions, region)
		if region != own { // The smallest of exponential variables with these rates is the first.
			ranks[region] = rand.ExpFloat64() / float64(slots)
		}
	}
	slices.SortFunc(regions, func(a, b string) int { return cmp.Compare(ranks[a], ranks[b]) })
	return regions
}
