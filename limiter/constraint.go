package limiter

import (
	"burdocklane/descriptor"
	"burdocklane/tracker"
)

// Constraint limits the workers that may get a call, whichever way it takes to them. The
// zero value excludes only the workers of evacuated availability zones.
type Constraint struct{ regions descriptor.Regions }

// NewConstraint returns the constraint of a call that may be processed in the regions.
func NewConstraint(regions descriptor.Regions) Constraint { return Constraint{regions: regions} }

// Exclusion is the reason why a worker must not get a call, in logs.
type Exclusion string

// Reasons of exclusion.
const (
	NotExcluded Exclusion = ""
	// ExcludedByRegion excludes a worker of a region in which the call may not be processed.
	ExcludedByRegion Exclusion = "region"
	// ExcludedByEvacuation excludes a worker of an availability zone that the operator has
	// evacuated.
	ExcludedByEvacuation Exclusion = "evacuated"
	// ExcludedAsCold excludes a cold worker for which no call of its allowance was taken.
	ExcludedAsCold Exclusion = "cold"
)

// exclude returns why the worker must not get the call, or NotExcluded. It is the only
// place that decides that: all ways to a worker ask it.
func (c Constraint) exclude(w *tracker.Worker) Exclusion {
	switch {
	case !c.regions.Allows(w.Locality().Region()):
		return ExcludedByRegion
	case w.IsEvacuated():
		return ExcludedByEvacuation
	}
	return NotExcluded
}

// permits reports whether the worker may get the call.
func (c Constraint) permits(w *tracker.Worker) bool { return c.exclude(w) == NotExcluded }

// Exclude returns why the worker must not get the call now, or NotExcluded. It tells what
// has become known since the worker was chosen.
func (p *Pool) Exclude(worker *tracker.Worker, c Constraint) Exclusion { return c.exclude(worker) }

// ExcludeGranted returns why the call must not be sent to the granted worker, or NotExcluded.
func (p *Pool) ExcludeGranted(g Granted, c Constraint) Exclusion {
	if e := c.exclude(g.worker); e != NotExcluded {
		return e
	}
	if !g.hasColdCall && p.IsColdLimited(g.worker) {
		coldPassOversTotal.Inc()
		return ExcludedAsCold
	}
	return NotExcluded
}

// hasNoWorkerLeft returns the reason to refuse a call at once that no worker may get, and
// false if there is one.
func (p *Pool) hasNoWorkerLeft(req *Request) (Reason, bool) {
	set := p.workerSet.Load()
	switch {
	case req.constraint.regions.IsEmpty():
		return ReasonNoRegion, true
	case !req.constraint.regions.IsRestricted() && !set.hasEvacuated:
		return "", false
	}
	for _, w := range set.workers {
		if req.constraint.permits(w) && !p.IsClosed(w) {
			return "", false
		}
	}
	return ReasonNoAllowedWorker, true
}

// RegionSlots returns the slots of the workers in the region that the constraint permits.
func (p *Pool) RegionSlots(region string, c Constraint) int {
	slots := 0
	for _, w := range p.workerSet.Load().workers {
		if w.Locality().Region() == region && c.permits(w) {
			slots += w.Member().Slots()
		}
	}
	return slots
}
