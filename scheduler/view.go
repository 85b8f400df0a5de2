package scheduler

import (
	"time"

	"burdocklane/limiter"
	"burdocklane/publisher"
	"burdocklane/registrar"
	"burdocklane/tracker"
)

// view holds the lookup tables that are built from a snapshot. It is immutable.
type view struct {
	snapshot     *publisher.Snapshot
	region       string                          // Of this instance.
	services     map[uint32]*service             // By the hash of the service's name.
	localities   map[uint32]registrar.Locality   // By the hash of the instance's ID.
	coordinators map[string][]registrar.Instance // Of the other regions, by region.
}

type service struct {
	pool          *limiter.Pool
	workersByHash map[uint32]*tracker.Worker
}

// current returns the view of the active snapshot.
func (s *Scheduler) current() *view {
	v := s.view.Load()
	if snapshot := s.publisher.Current(); v.snapshot != snapshot {
		v = newView(snapshot, s.self.Locality().Region())
		s.view.Store(v)
	}
	return v
}

func newView(s *publisher.Snapshot, own string) *view {
	v := &view{
		snapshot: s, region: own, services: make(map[uint32]*service, len(s.ServiceStates())),
		localities:   make(map[uint32]registrar.Locality, len(s.List().Instances())),
		coordinators: map[string][]registrar.Instance{},
	}
	for _, instance := range s.List().Instances() {
		v.localities[registrar.Hash(instance.ID())] = instance.Locality()
		region := instance.Locality().Region()
		if _, seen := v.coordinators[region]; !seen && region != own {
			v.coordinators[region] = registrar.Coordinators(s.List().Instances(), region)
		}
	}
	for name, l := range s.ServiceStates() {
		workers := l.Pool().Workers()
		workersByHash := make(map[uint32]*tracker.Worker, len(workers))
		for _, w := range workers {
			workersByHash[registrar.Hash(w.ID())] = w
		}
		v.services[registrar.Hash(name)] = &service{pool: l.Pool(), workersByHash: workersByHash}
	}
	return v
}

// toPool converts a received request to one for the pool.
func (s *service) toPool(m assignmentRequest, v *view) limiter.Request {
	now := time.Now()
	var avoid []registrar.WorkerID
	for _, hash := range m.Avoid {
		if w := s.workersByHash[hash]; w != nil {
			avoid = append(avoid, w.ID())
		}
	}
	request := limiter.NewRequest(time.Duration(m.TargetMs)*time.Millisecond, now.Add(time.Duration(m.DeadlineLeftMs)*time.Millisecond),
		limiter.WithAvoid(avoid...), limiter.WithPriority(int(m.Priority)),
		limiter.WithTenant(v.snapshot.TenantByHash(m.Tenant), m.Flags.has(flagCharged))).WithTargetDeadline(now.Add(time.Duration(m.TargetLeftMs) * time.Millisecond))
	if m.Flags.has(flagConfined) {
		request = request.ConfinedTo(v.region)
	}
	switch {
	case m.Flags.has(flagHedge):
		return request.AsHedge()
	case m.Flags.has(flagSpare):
		return request.WithoutWaiting()
	}
	return request
}
