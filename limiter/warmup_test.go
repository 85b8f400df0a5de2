package limiter_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/registrar"
	"burdocklane/tracker"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	coldPerSecond = 5.0
	coldFactor    = 1.5
	coldCalls     = 8.0
	coldBound     = coldPerSecond*coldFactor + coldCalls // In any second, from all instances.
)

func newColdPool(self registrar.Instance, opts ...limiter.Option) *limiter.Pool {
	p := limiter.New("s", self, append(opts, limiter.WithPolicy(picker.ReportedLoad{}), limiter.WithColdTolerance(limiter.NewColdTolerance(coldFactor, coldCalls)))...)
	p.SetWarmup(descriptor.NewWarmup(time.Minute, coldPerSecond))
	return p
}

func coldMember(id, region string, sequence int64, coldFor time.Duration) registrar.Worker {
	return registrar.NewWorker(registrar.WorkerID(id), "s", "", registrar.NewLocality(region, region+"-1"), 100, false).
		WithStart(firstStart, coldFor).WithSequence(sequence)
}

func coldInstance(id, region string) registrar.Instance {
	return registrar.NewInstance(registrar.InstanceID(id), "", "", registrar.NewLocality(region, region+"-1"), false)
}

// coldFleet is a fleet whose instances may know of two successive lists at a time, and all
// workers of which are cold.
type coldFleet struct {
	workers   []registrar.Worker
	instances []registrar.Instance // Of the latest list.
	previous  []registrar.Instance
	processes map[registrar.InstanceID]*process
	started   time.Time
	sent      map[registrar.WorkerID][]time.Duration // When calls arrived.
	lastID    int
}

// process is a running instance.
type process struct {
	self     registrar.Instance
	pool     *limiter.Pool
	isLate   bool // It knows the previous list.
	assigner limiter.Assigner
}

func newColdFleet(instances int) *coldFleet {
	f := &coldFleet{processes: map[registrar.InstanceID]*process{}, started: time.Now(), sent: map[registrar.WorkerID][]time.Duration{}}
	for _, region := range []string{"a", "b"} {
		f.workers = append(f.workers, coldMember(region+"0", region, 1, time.Hour))
	}
	for range instances {
		f.join()
	}
	f.previous = f.instances
	for _, p := range f.processes {
		p.pool.Update(f.workers, f.instances)
	}
	return f
}

// join adds an instance to the list.
func (f *coldFleet) join() {
	f.lastID++
	self := coldInstance(fmt.Sprintf("i%d", f.lastID), []string{"a", "b"}[f.lastID%2])
	f.instances = append(slices.Clone(f.instances), self)
	f.start(self)
}

func (f *coldFleet) start(self registrar.Instance) {
	p := &process{self: self, assigner: func(context.Context, *limiter.Pool, limiter.Request) limiter.Assignment { return limiter.Undecided{} }}
	p.pool = newColdPool(self, limiter.WithAssigner(func(ctx context.Context, pool *limiter.Pool, r limiter.Request) limiter.Assignment {
		return p.assigner(ctx, pool, r)
	}))
	p.pool.Update(f.workers, f.instances)
	f.processes[self.ID()] = p
}

// changeList changes the list: all instances get the previous one, and some the new one.
func (f *coldFleet) changeList(t *rapid.T, change func()) {
	for _, p := range f.processes {
		p.pool.Update(f.workers, f.instances)
	}
	f.previous = f.instances
	change()
	for _, p := range f.ordered() {
		if !rapid.Bool().Draw(t, "is late") {
			p.pool.Update(f.workers, f.instances)
		}
	}
}

func (f *coldFleet) ordered() []*process {
	var all []*process
	for _, id := range slices.Sorted(maps.Keys(f.processes)) {
		all = append(all, f.processes[id])
	}
	return all
}

func (f *coldFleet) draw(t *rapid.T) *process {
	return rapid.SampledFrom(f.ordered()).Draw(t, "instance")
}

func coldRequest() limiter.Request {
	const target = 8 * time.Millisecond // A call waits for an eighth of it.
	return limiter.NewRequest(target, time.Now().Add(time.Second)).WithTargetDeadline(time.Now().Add(target))
}

// call lets an instance send a call. It arrives after a delay.
func (f *coldFleet) call(p *process, delay time.Duration) {
	granted, ok := p.pool.Acquire(context.Background(), coldRequest()).(limiter.Granted)
	if !ok {
		return
	}
	defer granted.Release()
	if p.pool.ExcludeGranted(granted, limiter.Constraint{}) == limiter.NotExcluded {
		f.sent[granted.Worker().ID()] = append(f.sent[granted.Worker().ID()], time.Since(f.started)+delay)
	}
}

// assignBy lets the pool of another instance assign the worker, which that may be asked for
// whichever instances it sees alive.
func assignBy(scheduler *process) limiter.Assigner {
	return func(_ context.Context, p *limiter.Pool, r limiter.Request) limiter.Assignment {
		granted, decision := scheduler.pool.TryGrant(r.OnBehalfOfPeer().LocalOnly())
		if _, ok := decision.(picker.Send); !ok {
			return limiter.Undecided{}
		}
		assigned := limiter.NewAssigned(p.Find(granted.Worker().ID()), func(limiter.CallOutcome) { granted.Release() })
		if granted.HasColdCall() {
			return assigned.WithColdCall()
		}
		return assigned
	}
}

// mostInASecond returns the most calls that a worker got in any second.
func (f *coldFleet) mostInASecond() int {
	most := 0
	for _, times := range f.sent {
		slices.Sort(times)
		for i, first := range times {
			n := 0
			for n < len(times[i:]) && times[i+n] < first+time.Second {
				n++
			}
			most = max(most, n)
		}
	}
	return most
}

// Pattern: a burst onto cold workers while instances start, leave, are killed and are cut off
// from the list, so that two of them hold the allowances. Guards against a worker that gets
// more calls in a second than it bears, summed over all instances and regions.
func TestColdWorkersStayInTheirBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			f := newColdFleet(rapid.IntRange(2, 8).Draw(rt, "instances"))
			for range rapid.IntRange(1, 60).Draw(rt, "steps") {
				p := f.draw(rt)
				switch rapid.IntRange(0, 9).Draw(rt, "step") {
				case 0:
					f.changeList(rt, f.join)
				case 1:
					if len(f.instances) > 1 {
						f.changeList(rt, func() { f.instances = slices.Delete(slices.Clone(f.instances), 0, 1) })
					}
				case 2:
					f.start(p.self) // It was killed, and has lost its state.
				case 3:
					time.Sleep(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "pause")) * time.Millisecond)
				case 4:
					p.assigner = assignBy(f.draw(rt))
				case 5, 6: // All instances get calls.
					for range 3 {
						for _, p := range f.ordered() {
							f.call(p, time.Duration(rapid.IntRange(0, 250).Draw(rt, "delay"))*time.Millisecond)
						}
					}
				default:
					for range rapid.IntRange(1, 20).Draw(rt, "calls") {
						f.call(p, time.Duration(rapid.IntRange(0, 250).Draw(rt, "delay"))*time.Millisecond)
					}
				}
			}
			if most := f.mostInASecond(); float64(most) > coldBound {
				rt.Fatalf("%d calls to a cold worker in a second", most)
			}
		})
	})
}

// Guards against cold workers that get no calls at all, or too few, although no other may.
func TestColdWorkersGetTheCallsThatTheyBear(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		assigned  bool // Calls of all instances are assigned by the holder.
		perSecond int
	}{
		{"one instance", 1, false, 5},
		{"several instances and a scheduler", 6, true, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const seconds = 10
				f := newColdFleet(test.instances)
				coordinators := registrar.Coordinators(f.instances, "b")
				owner, _ := registrar.RendezvousOwner(coordinators, "s", "")
				for time.Since(f.started) < seconds*time.Second {
					for _, p := range f.processes {
						if test.assigned {
							p.assigner = assignBy(f.processes[owner.ID()])
						}
						f.call(p, 0)
					}
					time.Sleep(10 * time.Millisecond)
				}
				got := len(f.sent["b0"])
				qt.Assert(t, got >= (seconds-1)*test.perSecond && got <= seconds*test.perSecond+2, qt.IsTrue, qt.Commentf("%d calls", got))
			})
		})
	}
}

// Guards against a worker whose turn to cold goes unnoticed, and against one that counts as
// cold for longer than it is.
func TestSourcesOfWarmth(t *testing.T) {
	const left = 3 * time.Second
	update := func(sequence int64, coldFor time.Duration) func(*limiter.Pool, *tracker.Worker) {
		return func(p *limiter.Pool, _ *tracker.Worker) {
			p.Update([]registrar.Worker{coldMember("w", "a", sequence, coldFor)}, nil)
		}
	}
	check := func(left time.Duration) func(*limiter.Pool, *tracker.Worker) {
		return func(p *limiter.Pool, w *tracker.Worker) { p.RecordWarmup(w, left) }
	}
	hearsay := func(p *limiter.Pool, w *tracker.Worker) { p.RecordPeerCold(w) }
	noRate := func(p *limiter.Pool, _ *tracker.Worker) { p.SetWarmup(descriptor.NewWarmup(left, 0)) }
	type step = func(*limiter.Pool, *tracker.Worker)
	tests := []struct {
		name  string
		first time.Duration // In the first entry.
		steps []step
		want  time.Duration // How long it is cold.
	}{
		{"a worker that has run long", 0, nil, 0},
		{"first entry", left, nil, left},
		{"later entry", 0, []step{update(8, left)}, left},
		{"the same entry again", 0, []step{update(7, left)}, 0},
		{"an entry of before", 0, []step{update(6, left)}, 0},
		{"a later entry with less time left", left, []step{update(8, 0)}, left},
		{"health check", 0, []step{check(left)}, left},
		{"health check of a worker that is warm", left, []step{check(0)}, 0},
		{"health check after a later entry", 0, []step{update(8, left), check(0)}, 0},
		{"later entry after a health check", 0, []step{check(0), update(8, left)}, left},
		{"peer", 0, []step{hearsay}, 500 * time.Millisecond},
		{"peer with less time left than the entry", left, []step{hearsay}, left},
		{"no rate in the configuration", left, []step{noRate}, 0},
		{"health check without a rate", 0, []step{noRate, check(left)}, 0},
		{"peer without a rate", 0, []step{noRate, hearsay}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := newColdPool(coldInstance("i", "a"))
				time.Sleep(time.Second)
				p.Update([]registrar.Worker{coldMember("w", "a", 7, test.first)}, nil)
				w := p.Workers()[0]
				for _, step := range test.steps {
					step(p, w)
				}
				c.Assert(p.IsColdLimited(w), qt.Equals, test.want > 0)
				if test.want > 0 {
					time.Sleep(test.want - 1)
					c.Assert(p.IsColdLimited(w), qt.IsTrue)
					time.Sleep(1)
					c.Assert(p.IsColdLimited(w), qt.IsFalse)
				}
			})
		})
	}
}

// Guards against a tolerance that two instances together exceed.
func TestTolerancesThatAreTight(t *testing.T) {
	tests := []struct {
		name                     string
		perSecond, factor, calls float64
		most                     int // In a second.
	}{
		{"no tolerance", 5, 1, 0, 2},
		{"hardly any calls", 1, 1, 0, 0},
		{"large tolerance", 5, 10, 100, 6},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				self := coldInstance("i", "a")
				p := limiter.New("s", self, limiter.WithPolicy(picker.ReportedLoad{}), limiter.WithColdTolerance(limiter.NewColdTolerance(test.factor, test.calls)))
				p.SetWarmup(descriptor.NewWarmup(time.Minute, test.perSecond))
				p.Update([]registrar.Worker{coldMember("w", "a", 1, time.Hour)}, []registrar.Instance{self})
				time.Sleep(time.Minute)
				f := &coldFleet{started: time.Now(), sent: map[registrar.WorkerID][]time.Duration{}}
				for time.Since(f.started) < 5*time.Second {
					f.call(&process{pool: p}, 0)
					time.Sleep(10 * time.Millisecond)
				}
				qt.Assert(t, f.mostInASecond(), qt.Equals, test.most)
			})
		})
	}
}
