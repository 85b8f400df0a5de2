package limiter_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/registrar"
	"burdocklane/tracker"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// A fleet of workers in two availability zones of each region.
var fleetRegions = []string{"a", "b", "c"}

// drawnFleet is a fleet with faults, and what a call may use of it.
type drawnFleet struct {
	pool      *limiter.Pool
	members   []registrar.Worker
	evacuated []string
	allowed   []string // Regions, or none if all are.
	cold      []registrar.WorkerID
	holds     bool // The instance holds the allowances of the cold workers of its region.
	instances []registrar.Instance
	assigner  limiter.Assigner
}

// newDrawnFleet returns a pool of an instance in region a, with workers in drawn states.
func newDrawnFleet(t *rapid.T, policy picker.Policy) *drawnFleet {
	f := &drawnFleet{}
	self := registrar.NewInstance("i", "", "", registrar.NewLocality("a", "a-0"), false)
	f.pool = limiter.New("s", self, limiter.WithPolicy(policy), limiter.WithLeavingGrace(time.Minute),
		limiter.WithAssigner(func(ctx context.Context, p *limiter.Pool, r limiter.Request) limiter.Assignment {
			return f.assigner(ctx, p, r)
		}))
	f.assigner = func(context.Context, *limiter.Pool, limiter.Request) limiter.Assignment { return limiter.Undecided{} }
	for n := range rapid.IntRange(1, 12).Draw(t, "workers") {
		region := rapid.SampledFrom(fleetRegions).Draw(t, "region")
		zone := fmt.Sprintf("%s-%d", region, rapid.IntRange(0, 1).Draw(t, "zone"))
		id := registrar.WorkerID(fmt.Sprintf("w%d", n))
		f.members = append(f.members, registrar.NewWorker(id, "s", "", registrar.NewLocality(region, zone), 2, false).WithStart(firstStart, 0))
	}
	f.allowed = rapid.SliceOfNDistinct(rapid.SampledFrom(fleetRegions), 0, 2, rapid.ID).Draw(t, "allowed regions")
	if f.holds = rapid.Bool().Draw(t, "holds the allowances"); f.holds {
		f.instances = []registrar.Instance{self}
	}
	// Fast enough that an allowance fills between two calls.
	f.pool.SetWarmup(descriptor.NewWarmup(time.Minute, 1e6))
	f.evacuate(t)
	for _, w := range f.pool.Workers() {
		f.disturb(t, w)
	}
	f.chill(t)
	return f
}

// chill lets workers become cold beside those that are.
func (f *drawnFleet) chill(t *rapid.T) {
	for _, m := range f.members {
		if rapid.IntRange(0, 3).Draw(t, "turns cold") == 0 {
			f.pool.RecordWarmup(f.pool.Find(m.ID()), time.Minute)
			f.cold = append(f.cold, m.ID())
		}
	}
}

// isCold reports whether the worker is cold.
func (f *drawnFleet) isCold(w *tracker.Worker) bool { return slices.Contains(f.cold, w.ID()) }

// hasRightToCold reports whether the call may go to a cold worker: another instance has taken
// a call of its allowance, or this one may.
func (f *drawnFleet) hasRightToCold(g limiter.Granted) bool {
	return g.HasColdCall() && (g.Assigned() || f.holds && g.Worker().Locality().Region() == "a")
}

// evacuate evacuates other zones than before.
func (f *drawnFleet) evacuate(t *rapid.T) {
	zones := rapid.SampledFrom([]string{"a-0", "a-1", "b-0", "b-1", "c-0", "c-1"})
	f.evacuated = rapid.SliceOfNDistinct(zones, 0, 4, rapid.ID).Draw(t, "evacuated zones")
	f.pool.Update(registrar.NewList(1, f.members, nil).WithEvacuatedZones(f.evacuated...).Workers(), f.instances)
}

// disturb brings a worker into a drawn state.
func (f *drawnFleet) disturb(t *rapid.T, w *tracker.Worker) {
	now := f.pool.Now()
	f.pool.RecordReport(w, tracker.NewReport(int32(rapid.IntRange(0, 3).Draw(t, "running")), 0, 2, rapid.SampledFrom([]float64{1, 9}).Draw(t, "slowdown"), now))
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0:
		w.MarkLeaving(now)
	case 1:
		w.Announce(now, time.Minute)
	case 2:
		w.RecordUnreachable(now)
	case 3:
		w.Pause(time.Minute, now)
	case 4:
		w.SetUnhealthy(true)
	}
}

func (f *drawnFleet) request(opts ...limiter.RequestOption) limiter.Request {
	const target = 8 * time.Millisecond // A call waits for an eighth of it.
	now := time.Now()
	opts = append(opts, limiter.WithConstraint(limiter.NewConstraint(descriptor.NewRegions(f.allowed...))))
	return limiter.NewRequest(target, now.Add(3*target), opts...).WithTargetDeadline(now.Add(target))
}

// permits is the oracle: whether a call may reach the worker.
func (f *drawnFleet) permits(w *tracker.Worker) bool {
	l := w.Member().Locality()
	return (len(f.allowed) == 0 || slices.Contains(f.allowed, l.Region())) && !slices.Contains(f.evacuated, l.Zone())
}

// assignAny returns an Assigner of any worker, as a scheduler with an older list.
func (f *drawnFleet) assignAny(t *rapid.T, reported *int) limiter.Assigner {
	worker := rapid.SampledFrom(f.pool.Workers()).Draw(t, "assigned worker")
	assigned := limiter.NewAssigned(worker, func(limiter.CallOutcome) { *reported++ })
	if rapid.Bool().Draw(t, "knows that it is cold") {
		assigned = assigned.WithColdCall()
	}
	return func(context.Context, *limiter.Pool, limiter.Request) limiter.Assignment { return assigned }
}

// ways are the ways of a call to a worker.
var ways = []struct {
	name string
	take func(t *rapid.T, f *drawnFleet) (limiter.Granted, bool)
}{
	{"first choice or local fallback", func(_ *rapid.T, f *drawnFleet) (limiter.Granted, bool) {
		granted, ok := f.pool.Acquire(context.Background(), f.request()).(limiter.Granted)
		return granted, ok
	}},
	{"retry", func(t *rapid.T, f *drawnFleet) (limiter.Granted, bool) {
		tried := rapid.SampledFrom(f.members).Draw(t, "tried").ID()
		granted, ok := f.pool.Acquire(context.Background(), f.request(limiter.WithAvoid(tried))).(limiter.Granted)
		return granted, ok
	}},
	{"assigned by another instance", func(t *rapid.T, f *drawnFleet) (limiter.Granted, bool) {
		reported := 0
		f.assigner = f.assignAny(t, &reported)
		granted, ok := f.pool.Acquire(context.Background(), f.request()).(limiter.Granted)
		if (!ok || !granted.Assigned()) && reported > 1 {
			t.Fatalf("the assignment was withdrawn %d times", reported)
		}
		return granted, ok
	}},
	{"hedge by another instance", func(t *rapid.T, f *drawnFleet) (limiter.Granted, bool) {
		reported := 0
		f.assigner = f.assignAny(t, &reported)
		return f.pool.TryHedge(context.Background(), f.request().AsHedge())
	}},
	{"hedge", func(_ *rapid.T, f *drawnFleet) (limiter.Granted, bool) {
		return f.pool.TryHedge(context.Background(), f.request().AsHedge())
	}},
	{"hedge after its target", func(_ *rapid.T, f *drawnFleet) (limiter.Granted, bool) {
		return f.pool.TryHedge(context.Background(), f.request().WithTargetDeadline(time.Now()).AsHedge())
	}},
	{"hedge or overflow", func(_ *rapid.T, f *drawnFleet) (limiter.Granted, bool) { return f.pool.TryAcquire(f.request()) }},
	{"assigned by this instance", func(_ *rapid.T, f *drawnFleet) (limiter.Granted, bool) {
		granted, decision := f.pool.TryGrant(f.request().LocalOnly())
		_, ok := decision.(picker.Send)
		return granted, ok
	}},
	{"assigned after a wait", func(_ *rapid.T, f *drawnFleet) (limiter.Granted, bool) {
		granted, ok := f.pool.WaitForCapacity(context.Background(), f.request().LocalOnly()).(limiter.Granted)
		return granted, ok
	}},
	{"loan", func(t *rapid.T, f *drawnFleet) (limiter.Granted, bool) {
		worker := rapid.SampledFrom(f.pool.Workers()).Draw(t, "lent")
		result := make(chan limiter.Admission, 1)
		go func() { result <- f.pool.Acquire(context.Background(), f.request()) }()
		for {
			select {
			case a := <-result:
				granted, ok := a.(limiter.Granted)
				return granted, ok
			case <-time.After(100 * time.Microsecond):
				f.pool.UseLoan(limiter.NewLoan("l", "peer", worker, time.Now(), func(*limiter.Loan) {}))
			}
		}
	}},
}

// Pattern: calls that may be processed in some regions only, evacuated zones, cold workers,
// and any fault of the workers. Guards against a way on which a call reaches a worker that it must
// not reach, also when no other is usable, and against one that stays barred.
func TestNoWayLeadsOutsideTheConstraint(t *testing.T) {
	policies := []picker.Policy{
		picker.ReportedLoad{}, picker.SharedSlots{}, picker.Random{}, picker.RoundRobin{}, picker.LeastInFlight{}, picker.TwoChoices{}, picker.ProbePool{},
	}
	for _, way := range ways {
		t.Run(way.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newDrawnFleet(t, rapid.SampledFrom(policies).Draw(t, "policy"))
				for range rapid.IntRange(1, 3).Draw(t, "calls") {
					granted, ok := way.take(t, f)
					if !ok {
						continue
					}
					if !f.permits(granted.Worker()) {
						t.Fatalf("a call that may use %v went to %v, while %v are evacuated", f.allowed, granted.Worker().Member(), f.evacuated)
					}
					if f.isCold(granted.Worker()) && !f.hasRightToCold(granted) {
						t.Fatalf("a call went to %v, which is cold", granted.Worker().Member())
					}
					f.evacuate(t)
					f.chill(t)
					excluded := f.pool.ExcludeGranted(granted, f.request().Constraint()) != limiter.NotExcluded
					isBarred := !f.permits(granted.Worker()) || f.isCold(granted.Worker()) && !granted.HasColdCall()
					if excluded != isBarred {
						t.Fatalf("right before the send, %v counts as excluded: %v", granted.Worker().Member(), excluded)
					}
					granted.Release()
				}
			})
		})
	}
}

// Guards against calls that wait although no worker may ever get them, and against one
// reason for all of them in the log.
func TestCallWithoutPermittedWorkerIsRefusedAtOnce(t *testing.T) {
	disjoint := descriptor.NewRegions("a").Intersect(descriptor.NewRegions("b"))
	tests := []struct {
		name      string
		regions   descriptor.Regions
		evacuated []string
		leaving   []registrar.WorkerID
		want      string
	}{
		{"no restriction", descriptor.Regions{}, nil, nil, "a0"},
		{"the own region", descriptor.NewRegions("a"), nil, nil, "a0"},
		{"another region", descriptor.NewRegions("b"), nil, nil, "b0"},
		{"regions of class and tenant have none in common", disjoint, nil, nil, "no-allowed-region"},
		{"a region without workers", descriptor.NewRegions("c"), nil, nil, "no-allowed-worker"},
		{"evacuated zone", descriptor.Regions{}, []string{"a-1"}, nil, "b0"},
		{"evacuated zone of the only allowed region", descriptor.NewRegions("a"), []string{"a-1"}, nil, "no-allowed-worker"},
		{"all zones are evacuated", descriptor.Regions{}, []string{"a-1", "b-1"}, nil, "no-allowed-worker"},
		{"the workers of the allowed region leave", descriptor.NewRegions("a"), nil, []registrar.WorkerID{"a0"}, "no-allowed-worker"},
		{"the other workers leave", descriptor.Regions{}, []string{"b-1"}, []registrar.WorkerID{"a0"}, "no-allowed-worker"},
		{"all workers leave", descriptor.Regions{}, nil, []registrar.WorkerID{"a0", "b0"}, "no-worker"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newRegionalPool(1, "a", "b")
			var members []registrar.Worker
			for _, w := range p.Workers() {
				members = append(members, w.Member())
			}
			p.Update(registrar.NewList(1, members, nil).WithEvacuatedZones(test.evacuated...).Workers(), nil)
			reportAll(p, 0, 1)
			for _, id := range test.leaving {
				p.MarkLeaving(p.Find(id))
			}
			now := time.Now()
			request := limiter.NewRequest(target, now.Add(time.Minute), limiter.WithConstraint(limiter.NewConstraint(test.regions))).WithTargetDeadline(now.Add(target))
			c.Assert(outcomeOf(p, request), qt.Equals, test.want)
			if refused, ok := p.Acquire(context.Background(), request).(limiter.Refused); ok {
				c.Assert(refused.Waited(), qt.Equals, time.Duration(0))
			}
		})
	}
}

// Guards against ejected workers that stay out although the call has hardly others: those
// that it must not use are no alternative.
func TestEjectedWorkersOfAllowedRegionsAreUsedAgain(t *testing.T) {
	c := qt.New(t)
	p := newRegionalPool(2, "a", "b", "c", "d")
	reportAll(p, 0, 1)
	for _, id := range []registrar.WorkerID{"b0", "b1"} {
		p.Find(id).RecordUnreachable(p.Now())
	}
	now := time.Now()
	request := limiter.NewRequest(target, now.Add(time.Minute), limiter.WithConstraint(limiter.NewConstraint(descriptor.NewRegions("b")))).WithTargetDeadline(now.Add(target))
	c.Assert(outcomeOf(p, request), qt.Matches, "b[01]")
}
