package arbiter

import (
	"time"

	"burdocklane/limiter"
	"burdocklane/publisher"
	"burdocklane/registrar"
	"burdocklane/tracker"
)

// view is what a snapshot means to the arbiter. It is immutable.
type view struct {
	snapshot *publisher.Snapshot
	lanes    map[uint32]*lane                // By the hash of the service's name.
	places   map[uint32]registrar.Place      // By the hash of the instance's ID.
	councils map[string][]registrar.Instance // Of the other regions.
}

type lane struct {
	pool   *limiter.Pool
	byHash map[uint32]*tracker.Worker
}

// current returns the view of the snapshot in force.
func (a *Arbiter) current() *view {
	v := a.view.Load()
	if snapshot := a.publisher.Current(); v.snapshot != snapshot {
		v = newView(snapshot, a.self.Place().Region())
		a.view.Store(v)
	}
	return v
}

func newView(s *publisher.Snapshot, own string) *view {
	v := &view{
		snapshot: s, lanes: make(map[uint32]*lane, len(s.Lanes())),
		places:   make(map[uint32]registrar.Place, len(s.List().Instances())),
		councils: map[string][]registrar.Instance{},
	}
	for _, instance := range s.List().Instances() {
		v.places[registrar.Hash(instance.ID())] = instance.Place()
		region := instance.Place().Region()
		if _, known := v.councils[region]; !known && region != own {
			v.councils[region] = registrar.Council(s.List().Instances(), region)
		}
	}
	for name, l := range s.Lanes() {
		workers := l.Pool().Workers()
		byHash := make(map[uint32]*tracker.Worker, len(workers))
		for _, w := range workers {
			byHash[registrar.Hash(w.ID())] = w
		}
		v.lanes[registrar.Hash(name)] = &lane{pool: l.Pool(), byHash: byHash}
	}
	return v
}

// ask returns what another instance asks of the pool.
func (l *lane) ask(m ask) limiter.Ask {
	now := time.Now()
	var avoid []registrar.WorkerID
	for _, hash := range m.Avoid {
		if w := l.byHash[hash]; w != nil {
			avoid = append(avoid, w.ID())
		}
	}
	request := limiter.NewAsk(time.Duration(m.TargetMs)*time.Millisecond, now.Add(time.Duration(m.LeftMs)*time.Millisecond),
		limiter.WithAvoid(avoid...)).OnTimeUntil(now.Add(time.Duration(m.OnTimeMs) * time.Millisecond))
	switch {
	case m.Second:
		return request.Second()
	case m.Spare:
		return request.Hurried()
	}
	return request
}
