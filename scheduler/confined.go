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
// Ranked calls may wait for long: before one does in the first region, all are asked for a
// worker that is free.
func (s *Scheduler) assignConfined(ctx context.Context, p *limiter.Pool, request limiter.Request) limiter.Assignment {
	regions := s.allowedRegions(p, request)
	if p.RanksCalls() && len(regions) > 1 && !request.NoWait() {
		assignment, next := s.askRegions(ctx, p, regions, request, limiter.Request.WithoutWaiting)
		if isDecided(assignment) || ctx.Err() != nil {
			return assignment
		}
		request = next
	}
	assignment, _ := s.askRegions(ctx, p, regions, request, func(r limiter.Request) limiter.Request { return r })
	return assignment
}

// askRegions asks the schedulers of the regions one after another, until one assigns a
// worker: a scheduler that assigns for another region's instance knows no other region to
// forward the call to. If all of them are silent, the pool decides. It also returns the
// request for asking again.
func (s *Scheduler) askRegions(ctx context.Context, p *limiter.Pool, regions []string, request limiter.Request, prepare func(limiter.Request) limiter.Request) (limiter.Assignment, limiter.Request) {
	var result limiter.Assignment = limiter.Undecided{}
	for _, region := range regions {
		assignment := s.assignIn(ctx, region, p, prepare(request.ConfinedTo(region)))
		switch r := assignment.(type) {
		case limiter.Undecided:
			if r.IsCharged() {
				result, request = r, request.Uncharged()
			}
			continue
		case limiter.Rejected: // The scheduler gave the token back.
			result = r
		default:
			return assignment, request
		}
		if ctx.Err() != nil || time.Until(request.Deadline()) < remoteTimeout {
			break
		}
	}
	return result, request
}

// isDecided reports whether a scheduler assigned a worker, or refused the call for another
// reason than its lack of room.
func isDecided(a limiter.Assignment) bool {
	switch a.(type) {
	case limiter.Undecided, limiter.Rejected:
		return false
	}
	return true
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
