package arbiter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"burdocklane/arbiter"
	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/publisher"
	"burdocklane/registrar"
	"burdocklane/tracker"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

// region is some instances with the same workers.
type region struct {
	instances []registrar.Instance
	arbiters  []*arbiter.Arbiter
	pools     []*limiter.Pool
}

// freeAddress returns a port below those that the system gives to whoever asks
// for any: nobody takes it by chance.
func freeAddress(c *qt.C) string {
	for range 1000 {
		socket, err := net.ListenPacket("udp4", fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(20_000)))
		if err == nil {
			defer socket.Close()
			return socket.LocalAddr().String()
		}
	}
	c.Fatal("no port is free")
	return ""
}

func newRegion(c *qt.C, instances, workers int) *region {
	here := registrar.NewPlace("r", "z")
	r := &region{}
	for n := range instances {
		i := registrar.NewInstance(registrar.InstanceID(fmt.Sprintf("i%d", n)), "", "", here, false)
		r.instances = append(r.instances, i.WithRulings(freeAddress(c)))
	}
	var members []registrar.Worker
	for n := range workers {
		members = append(members, registrar.NewWorker(registrar.WorkerID(fmt.Sprintf("w%d", n)), "s", "", here, 3, false))
	}
	r.open(c, members)
	return r
}

// open starts an arbiter for each instance. The instances of its own region are
// live to it.
func (r *region) open(c *qt.C, members []registrar.Worker) {
	service := descriptor.NewService("s", nil, nil)
	d := descriptor.NewDeployment("d", descriptor.Measuring{}, []descriptor.Service{service}).WithRevision(1, descriptor.Change{})
	for _, self := range r.instances {
		p := publisher.New(self, publisher.WithPoolOptions(limiter.WithPolicy(picker.ReportedLoad{})))
		c.Assert(p.PublishDeployment(d, "test"), qt.IsNil)
		p.PublishList(registrar.NewList(1, members, r.instances))
		var live []registrar.Instance
		for _, i := range r.instances {
			if i.Place().Region() == self.Place().Region() {
				live = append(live, i)
			}
		}
		a, err := arbiter.New(self, p, func() []registrar.Instance { return live }, zerolog.Nop())
		c.Assert(err, qt.IsNil)
		c.Cleanup(a.Close)
		pool := p.Current().Lane("s").Pool()
		r.arbiters, r.pools = append(r.arbiters, a), append(r.pools, pool)
		for _, w := range pool.Workers() {
			pool.Reported(w, tracker.NewReport(0, 0, 3, 1, pool.Now()))
		}
	}
}

func ask() limiter.Ask {
	const target = 400 * time.Millisecond
	now := time.Now()
	return limiter.NewAsk(target, now.Add(10*time.Second)).OnTimeUntil(now.Add(10 * time.Second))
}

// All calls of all instances are counted in one place: no worker gets a third
// call while another has one.
func TestInstancesDoNotCrowdTheSameWorker(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	const instances, workers = 3, 6
	r := newRegion(c, instances, workers)
	at := map[registrar.WorkerID]int{}
	for n := range 2 * workers {
		i := n % instances
		switch ruling := r.arbiters[i].Decide(context.Background(), r.pools[i], ask()).(type) {
		case limiter.Assigned:
			at[ruling.Worker().ID()]++
		case limiter.Taken:
			at[ruling.Granted().Worker().ID()]++
			defer ruling.Granted().Release()
		default:
			c.Fatalf("call %d: %T", n, ruling)
		}
	}
	c.Assert(at, qt.HasLen, workers)
	for id, n := range at {
		c.Assert(n, qt.Equals, 2, qt.Commentf("worker %s", id))
	}
}

// held counts the calls that the instances hold slots for.
func (r *region) held() int32 {
	held := int32(0)
	for _, p := range r.pools {
		for _, w := range p.Workers() {
			held += w.InFlight()
		}
	}
	return held
}

func TestASlotIsGivenBackWhenTheCallEnds(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	r := newRegion(c, 2, 2)
	assigned := 0
	for i := range r.arbiters {
		switch ruling := r.arbiters[i].Decide(context.Background(), r.pools[i], ask()).(type) {
		case limiter.Assigned:
			assigned++
			c.Assert(r.held() > 0, qt.IsTrue)
			ruling.Done(limiter.FoundGood)
		case limiter.Taken:
			ruling.Granted().Release()
		}
	}
	c.Assert(assigned, qt.Equals, 1)
	for r.held() > 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestWhoDecidesWhenTheArbiterDoesNot(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	r := newRegion(c, 2, 2)
	silent := 0
	for i := range r.arbiters {
		ruling := r.arbiters[i].Decide(context.Background(), r.pools[i], ask())
		if taken, ok := ruling.(limiter.Taken); ok {
			taken.Granted().Release()
			silent = i
		}
	}
	r.arbiters[silent].Close()
	_, ok := r.arbiters[1-silent].Decide(context.Background(), r.pools[1-silent], ask()).(limiter.Undecided)
	c.Assert(ok, qt.IsTrue)
	_, ok = r.arbiters[1-silent].Decide(context.Background(), r.pools[1-silent], ask()).(limiter.Undecided)
	c.Assert(ok, qt.IsTrue)
}

// When all workers of a region are in a slow spell, its calls go to a worker of
// another region that has room, and not to a slow one.
func TestACallGoesToAnotherRegionWhenItsOwnIsSlow(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	r := &region{}
	var members []registrar.Worker
	for _, name := range []string{"slow", "calm"} {
		place := registrar.NewPlace(name, name+"-a")
		i := registrar.NewInstance(registrar.InstanceID("in-"+name), "", "", place, false)
		r.instances = append(r.instances, i.WithRulings(freeAddress(c)))
		members = append(members, registrar.NewWorker(registrar.WorkerID(name), "s", "", place, 3, false))
	}
	r.open(c, members)
	slow := r.pools[0]
	slow.Reported(slow.Find("slow"), tracker.NewReport(0, 0, 3, 7, slow.Now()))
	now := time.Now()
	request := limiter.NewAsk(time.Second, now.Add(time.Minute)).OnTimeUntil(now.Add(time.Second))
	ruling, ok := r.arbiters[0].Decide(context.Background(), slow, request).(limiter.Assigned)
	c.Assert(ok, qt.IsTrue)
	c.Assert(ruling.Worker().ID(), qt.Equals, registrar.WorkerID("calm"))
	ruling.Done(limiter.FoundGood)
	for r.held() > 0 {
		time.Sleep(time.Millisecond)
	}
}
