package scheduler

import (
	"cmp"
	"slices"

	"burdocklane/limiter"
	"burdocklane/registrar"
)

// Decider is the instance whose scheduler assigns the calls of a service in a region.
type Decider struct {
	region   string
	instance registrar.InstanceID
	silent   bool
}

// NewDecider returns the decider of a region.
func NewDecider(region string, instance registrar.InstanceID) Decider {
	return Decider{region: region, instance: instance}
}

// Region returns the region.
func (d Decider) Region() string { return d.region }

// Instance returns the ID of the instance.
func (d Decider) Instance() registrar.InstanceID { return d.instance }

// IsSilent reports whether the instance has not replied in time, so that it gets no requests
// for a moment.
func (d Decider) IsSilent() bool { return d.silent }

// Deciders returns which schedulers Assign would ask for the request now: that of the own
// region first. Those of other regions are sorted by name, while Assign draws their order.
// It asks nobody.
func (s *Scheduler) Deciders(p *limiter.Pool, request limiter.Request) []Decider {
	own := s.self.Locality().Region()
	regions := []string{own}
	if request.Regions().IsRestricted() {
		regions = s.allowedRegions(p, request)
	}
	var deciders []Decider
	for _, region := range regions {
		if instance, ok := s.deciderIn(region, p); ok {
			deciders = append(deciders, Decider{region: region, instance: instance.ID(), silent: s.inBackoff(instance)})
		}
	}
	slices.SortFunc(deciders, func(a, b Decider) int {
		if (a.region == own) != (b.region == own) {
			if a.region == own {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.region, b.region)
	})
	return deciders
}

// deciderIn returns the scheduler of the service in a region, and false if there is none
// that replies.
func (s *Scheduler) deciderIn(region string, p *limiter.Pool) (registrar.Instance, bool) {
	if region == s.self.Locality().Region() {
		return schedulerOf(s.live(), p, s.self), true
	}
	candidates := slices.DeleteFunc(slices.Clone(s.current().coordinators[region]), s.inBackoff)
	if len(candidates) == 0 {
		return registrar.Instance{}, false
	}
	return schedulerOf(candidates, p, candidates[0]), true
}
