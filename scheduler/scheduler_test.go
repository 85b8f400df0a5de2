package scheduler_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/publisher"
	"burdocklane/registrar"
	"burdocklane/scheduler"
	"burdocklane/tracker"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

// region is a set of instances with the same workers.
type region struct {
	instances  []registrar.Instance
	schedulers []*scheduler.Scheduler
	pools      []*limiter.Pool
	tenants    []descriptor.Tenant
	dead       sync.Map // From instance ID to true, for those that are not live.
}

// freeAddress returns an address with a port below the ephemeral range, so that no
// other process is given the port before it is used.
func freeAddress(c *qt.C) string {
	for range 1000 {
		socket, err := net.ListenPacket("udp4", fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(20_000)))
		if err == nil {
			defer socket.Close()
			return socket.LocalAddr().String()
		}
	}
	c.Fatal("no free port")
	return ""
}

func newRegion(c *qt.C, instances, workers int) *region {
	return newRegionOf(c, instances, workers, nil)
}

// newRegionOf starts a region that knows the tenants.
func newRegionOf(c *qt.C, instances, workers int, tenants []descriptor.Tenant) *region {
	here := registrar.NewLocality("r", "z")
	r := &region{tenants: tenants}
	for n := range instances {
		i := registrar.NewInstance(registrar.InstanceID(fmt.Sprintf("i%d", n)), "", "", here, false)
		r.instances = append(r.instances, i.WithSchedulerAddress(freeAddress(c)))
	}
	var members []registrar.Worker
	for n := range workers {
		members = append(members, registrar.NewWorker(registrar.WorkerID(fmt.Sprintf("w%d", n)), "s", "", here, 3, false))
	}
	r.open(c, members)
	return r
}

// open starts a scheduler for each instance, with all instances of its region as
// live coordinators.
func (r *region) open(c *qt.C, members []registrar.Worker) {
	service := descriptor.NewService("s", nil, nil)
	d := descriptor.NewDeployment("d", descriptor.MeasurementBudget{}, []descriptor.Service{service}).WithTenants(r.tenants).WithRevision(1, descriptor.Change{})
	for _, self := range r.instances {
		p := publisher.New(self, publisher.WithPoolOptions(limiter.WithPolicy(picker.ReportedLoad{})))
		c.Assert(p.PublishDeployment(d, "test"), qt.IsNil)
		p.PublishList(registrar.NewList(1, members, r.instances))
		var live []registrar.Instance
		for _, i := range r.instances {
			if i.Locality().Region() == self.Locality().Region() {
				live = append(live, i)
			}
		}
		s, err := scheduler.New(self, p, func() []registrar.Instance { return r.withoutDead(live) }, zerolog.Nop())
		c.Assert(err, qt.IsNil)
		c.Cleanup(s.Close)
		pool := p.Current().ServiceState("s").Pool()
		r.schedulers, r.pools = append(r.schedulers, s), append(r.pools, pool)
		for _, w := range pool.Workers() {
			pool.RecordReport(w, tracker.NewReport(0, 0, 3, 1, pool.Now()))
		}
	}
}

func (r *region) withoutDead(instances []registrar.Instance) []registrar.Instance {
	return slices.DeleteFunc(slices.Clone(instances), func(i registrar.Instance) bool {
		_, dead := r.dead.Load(i.ID())
		return dead
	})
}

func newRequest() limiter.Request {
	const target = 400 * time.Millisecond
	now := time.Now()
	return limiter.NewRequest(target, now.Add(10*time.Second)).WithTargetDeadline(now.Add(10 * time.Second))
}

// Guards against instances that pick the same worker at once: the scheduler counts
// the calls of all instances, so that no worker gets a third call while another
// one has only one.
func TestInstancesSpreadCallsOverWorkers(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	const instances, workers = 3, 6
	r := newRegion(c, instances, workers)
	at := map[registrar.WorkerID]int{}
	for n := range 2 * workers {
		i := n % instances
		switch assignment := r.schedulers[i].Assign(context.Background(), r.pools[i], newRequest()).(type) {
		case limiter.Assigned:
			at[assignment.Worker().ID()]++
		case limiter.HeldSlot:
			at[assignment.Granted().Worker().ID()]++
			defer assignment.Granted().Release()
		default:
			c.Fatalf("call %d: %T", n, assignment)
		}
	}
	c.Assert(at, qt.HasLen, workers)
	for id, n := range at {
		c.Assert(n, qt.Equals, 2, qt.Commentf("worker %s", id))
	}
}

// held returns the number of slots that the instances hold.
func (r *region) held() int32 {
	held := int32(0)
	for _, p := range r.pools {
		for _, w := range p.Workers() {
			held += w.InFlight()
		}
	}
	return held
}

func TestSlotIsReleasedWhenTheCallEnds(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	r := newRegion(c, 2, 2)
	assigned := 0
	for i := range r.schedulers {
		switch assignment := r.schedulers[i].Assign(context.Background(), r.pools[i], newRequest()).(type) {
		case limiter.Assigned:
			assigned++
			c.Assert(r.held() > 0, qt.IsTrue)
			assignment.ReportOutcome(limiter.OutcomeSuccess)
		case limiter.HeldSlot:
			assignment.Granted().Release()
		}
	}
	c.Assert(assigned, qt.Equals, 1)
	for r.held() > 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestInstanceDecidesWhenTheSchedulerDoesNotAnswer(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	r := newRegion(c, 2, 2)
	scheduler := 0
	for i := range r.schedulers {
		assignment := r.schedulers[i].Assign(context.Background(), r.pools[i], newRequest())
		if taken, ok := assignment.(limiter.HeldSlot); ok {
			taken.Granted().Release()
			scheduler = i
		}
	}
	r.schedulers[scheduler].Close()
	_, ok := r.schedulers[1-scheduler].Assign(context.Background(), r.pools[1-scheduler], newRequest()).(limiter.Undecided)
	c.Assert(ok, qt.IsTrue)
	_, ok = r.schedulers[1-scheduler].Assign(context.Background(), r.pools[1-scheduler], newRequest()).(limiter.Undecided)
	c.Assert(ok, qt.IsTrue)
}

// Guards against a scheduler that has not got a new configuration yet and keeps silent
// about a new service: it would get no requests for other services either for a while.
func TestUnknownServiceDoesNotSilenceTheScheduler(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	r := newRegion(c, 2, 2)
	owner, _ := registrar.RendezvousOwner(r.instances, "s", "")
	requester := 0
	if owner.ID() == r.instances[0].ID() {
		requester = 1
	}
	for n := range 20 {
		name := descriptor.ServiceName(fmt.Sprintf("new-%d", n))
		if other, _ := registrar.RendezvousOwner(r.instances, string(name), ""); other.ID() != owner.ID() {
			continue
		}
		pool := limiter.New(name, r.instances[requester], limiter.WithPolicy(picker.ReportedLoad{}))
		_, undecided := r.schedulers[requester].Assign(context.Background(), pool, newRequest()).(limiter.Undecided)
		c.Assert(undecided, qt.IsTrue)
		assigned, ok := r.schedulers[requester].Assign(context.Background(), r.pools[requester], newRequest()).(limiter.Assigned)
		c.Assert(ok, qt.IsTrue)
		assigned.ReportOutcome(limiter.OutcomeSuccess)
	}
}

// Pattern: the workers of a region are all slow, or all gone. Guards against calls that
// stay there, and, where none is left, against ones that are rejected because the only
// other region that was asked is slow too.
func TestCallGoesToAnotherRegion(t *testing.T) {
	tests := []struct {
		name    string
		regions []string // The own one first: "calm", "slow", or "none" without workers.
		calls   int      // The other regions are asked in random order.
	}{
		{"its own region is slow", []string{"slow", "calm"}, 1},
		{"its own region has no worker", []string{"none", "slow", "slow", "slow", "calm"}, 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Cleanup(func() { goleak.VerifyNone(t) })
			c := qt.New(t)
			r := newRegions(c, test.regions)
			for range test.calls {
				now := time.Now()
				request := limiter.NewRequest(time.Second, now.Add(time.Minute)).WithTargetDeadline(now.Add(time.Second))
				assignment, ok := r.schedulers[0].Assign(context.Background(), r.pools[0], request).(limiter.Assigned)
				c.Assert(ok, qt.IsTrue)
				c.Assert(assignment.Worker().ID(), qt.Equals, registrar.WorkerID("calm"))
				assignment.ReportOutcome(limiter.OutcomeSuccess)
				for r.held() > 0 {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
}

// newRegions starts an instance in each of several regions, with a worker that reports as
// the region's kind says.
func newRegions(c *qt.C, kinds []string) *region {
	r := &region{}
	var members []registrar.Worker
	ids := make([]registrar.WorkerID, len(kinds))
	for n, kind := range kinds {
		name := fmt.Sprintf("%s-%d", kind, n)
		locality := registrar.NewLocality(name, name+"-a")
		r.instances = append(r.instances, registrar.NewInstance(registrar.InstanceID("in-"+name), "", "", locality, false).WithSchedulerAddress(freeAddress(c)))
		if ids[n] = registrar.WorkerID(name); kind == "calm" {
			ids[n] = "calm"
		}
		if kind != "none" {
			members = append(members, registrar.NewWorker(ids[n], "s", "", locality, 3, false))
		}
	}
	r.open(c, members)
	for n, kind := range kinds {
		if kind == "slow" {
			r.pools[n].RecordReport(r.pools[n].Find(ids[n]), tracker.NewReport(0, 0, 3, 7, r.pools[n].Now()))
		}
	}
	return r
}

// Load: callers that leave while their calls are queued. A slot that is free later must not
// be held for a call that was withdrawn.
func TestWithdrawnCallLeavesTheQueue(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	r := newRegion(c, 2, 1)
	for _, p := range r.pools {
		p.SetRanksCalls(true)
		p.RecordReport(p.Workers()[0], tracker.NewReport(3, 0, 3, 1, p.Now()))
	}
	now := time.Now()
	request := limiter.NewRequest(time.Minute, now.Add(4*time.Minute)).WithTargetDeadline(now.Add(time.Minute))
	ctx, cancel := context.WithCancel(context.Background())
	var calls sync.WaitGroup
	for n := range r.schedulers { // One of them asks the other.
		calls.Go(func() { r.schedulers[n].Assign(ctx, r.pools[n], request) })
	}
	awaitWaiting(c, r, 2)
	cancel()
	calls.Wait()
	awaitWaiting(c, r, 0)
	for _, p := range r.pools {
		p.RecordReport(p.Workers()[0], tracker.NewReport(0, 0, 3, 1, p.Now()))
	}
	c.Assert(r.held(), qt.Equals, int32(0))
}

// awaitWaiting waits until so many calls are queued.
func awaitWaiting(c *qt.C, r *region, want int) {
	deadline := time.Now().Add(10 * time.Second)
	for {
		waiting := 0
		for _, p := range r.pools {
			waiting += p.Waiting()
		}
		if waiting == want {
			return
		}
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d calls are queued, not %d", waiting, want))
		time.Sleep(time.Millisecond)
	}
}

// Load: more calls than there is room for. A caller must be told when there is room, also by
// an instance that is not the scheduler.
func TestRejectionSaysWhenThereIsRoom(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	r := newRegion(c, 2, 1)
	for _, p := range r.pools {
		p.SetRanksCalls(true)
		p.RecordReport(p.Workers()[0], tracker.NewReport(3, 0, 3, 1, p.Now()))
	}
	now := time.Now()
	late := limiter.NewRequest(100*time.Millisecond, now.Add(time.Minute)).WithTargetDeadline(now)
	for n := range r.schedulers {
		rejected, ok := r.schedulers[n].Assign(context.Background(), r.pools[n], late).(limiter.Rejected)
		c.Assert(ok, qt.IsTrue)
		c.Assert(rejected.RetryAfter() > 0, qt.IsTrue)
	}
}
