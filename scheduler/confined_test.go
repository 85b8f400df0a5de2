package scheduler_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/registrar"
	"burdocklane/tracker"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// newThreeRegions starts an instance in each of the regions a, b and c, which has one worker
// with the name of the region.
func newThreeRegions(c *qt.C) *region {
	r := &region{}
	var members []registrar.Worker
	for _, name := range []string{"a", "b", "c"} {
		locality := registrar.NewLocality(name, name+"-1")
		r.instances = append(r.instances, registrar.NewInstance(registrar.InstanceID("in-"+name), "", "", locality, false).WithSchedulerAddress(freeAddress(c)))
		members = append(members, registrar.NewWorker(registrar.WorkerID(name), "s", "", locality, 3, false))
	}
	r.open(c, members)
	return r
}

// report lets all instances know that the workers are idle, and that the slow ones take
// many times their usual time.
func (r *region) report(slow []registrar.WorkerID) {
	for _, p := range r.pools {
		for _, w := range p.Workers() {
			slowdown := 1.0
			if slices.Contains(slow, w.ID()) {
				slowdown = 9
			}
			p.RecordReport(w, tracker.NewReport(0, 0, 3, slowdown, p.Now()))
		}
	}
}

// evacuate lets an instance know of evacuated zones.
func (r *region) evacuate(instance int, zones ...string) {
	var members []registrar.Worker
	for _, w := range r.pools[instance].Workers() {
		members = append(members, w.Member())
	}
	r.pools[instance].Update(registrar.NewList(2, members, nil).WithEvacuatedZones(zones...).Workers(), r.instances)
}

// outcomeOf returns the ID of the assigned worker, whose slot it releases, or the kind of
// the assignment.
func outcomeOf(a limiter.Assignment) string {
	switch a := a.(type) {
	case limiter.Assigned:
		a.ReportOutcome(limiter.OutcomeNone)
		return string(a.Worker().ID())
	case limiter.HeldSlot:
		a.Granted().Release()
		return string(a.Granted().Worker().ID())
	}
	return fmt.Sprintf("%T", a)
}

func confinedRequest(regions ...string) limiter.Request {
	const target = time.Second
	now := time.Now()
	return limiter.NewRequest(target, now.Add(2*target), limiter.WithConstraint(limiter.NewConstraint(descriptor.NewRegions(regions...)))).
		WithTargetDeadline(now.Add(target))
}

// assignUntilDecided returns the outcome of a call that arrives in region a. It repeats the
// call while schedulers are silent, or reject it, unless that is wanted: a busy machine may
// delay their replies.
func (r *region) assignUntilDecided(allowed, want []string) string {
	got := ""
	for range 20 {
		got = outcomeOf(r.schedulers[0].Assign(context.Background(), r.pools[0], confinedRequest(allowed...)))
		if slices.Contains(want, got) || got != "limiter.Undecided" && got != "limiter.Rejected" {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return got
}

// assignedElsewhere returns the workers outside the regions that schedulers have assigned.
func (r *region) assignedElsewhere(regions []string) []registrar.WorkerID {
	var assigned []registrar.WorkerID
	for _, p := range r.pools {
		for _, w := range p.Workers() {
			isUnused := strings.Contains(string(w.Load(0).AppendText(nil)), " since=0 ")
			if !isUnused && !slices.Contains(regions, w.Locality().Region()) {
				assigned = append(assigned, w.ID())
			}
		}
	}
	return assigned
}

// Pattern: calls that may be processed in some regions only, which arrive in region a.
// Guards against a call that another region's scheduler forwards, against one that is
// refused although an allowed region has room, and against one that stays without a worker
// because schedulers are silent.
func TestConfinedCalls(t *testing.T) {
	tests := []struct {
		name            string
		allowed         []string
		slow            []registrar.WorkerID
		silent          []int // Instances that have been closed.
		evacuated, want []string
	}{
		{"its own region", []string{"a"}, nil, nil, nil, []string{"a"}},
		{"its own region and others", []string{"a", "b"}, nil, nil, nil, []string{"a"}},
		{"another region", []string{"b"}, nil, nil, nil, []string{"b"}},
		{"two other regions", []string{"b", "c"}, nil, nil, nil, []string{"b", "c"}},
		{"its own region has no room", []string{"a", "b"}, []registrar.WorkerID{"a"}, nil, nil, []string{"b"}},
		{"one of two other regions has no room", []string{"b", "c"}, []registrar.WorkerID{"b"}, nil, nil, []string{"c"}},
		{"its own region alone has no room", []string{"a"}, []registrar.WorkerID{"a"}, nil, nil, []string{"limiter.Rejected"}},
		{"another region alone has no room", []string{"b"}, []registrar.WorkerID{"b"}, nil, nil, []string{"limiter.Rejected", "limiter.Undecided"}},
		{"one of two other regions is silent", []string{"b", "c"}, nil, []int{1}, nil, []string{"c"}},
		{"all other regions are silent", []string{"b", "c"}, nil, []int{1, 2}, nil, []string{"limiter.Undecided"}},
		{"one of two other regions is evacuated", []string{"b", "c"}, nil, nil, []string{"b-1"}, []string{"c"}},
		{"its own region is evacuated", []string{"a", "c"}, nil, nil, []string{"a-1"}, []string{"c"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Cleanup(func() { goleak.VerifyNone(t) })
			c := qt.New(t)
			r := newThreeRegions(c)
			for _, i := range test.silent {
				r.schedulers[i].Close()
			}
			for i := range r.pools {
				r.evacuate(i, test.evacuated...)
			}
			for range 4 { // Other regions are asked in random order.
				r.report(test.slow)
				got := r.assignUntilDecided(test.allowed, test.want)
				c.Assert(slices.Contains(test.want, got), qt.IsTrue, qt.Commentf("%s", got))
				c.Assert(r.assignedElsewhere(test.allowed), qt.HasLen, 0)
			}
		})
	}
}

// Guards against a worker of an evacuated zone that gets a call from an instance that knows
// of the evacuation, as the scheduler does not yet.
func TestAssignmentOfEvacuatedWorkerIsWithdrawn(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	r := newRegion(c, 2, 2)
	owner, _ := registrar.RendezvousOwner(r.instances, "s", "")
	requester := 0
	if owner.ID() == r.instances[0].ID() {
		requester = 1
	}
	r.evacuate(requester, "z")
	got := outcomeOf(r.schedulers[requester].Assign(context.Background(), r.pools[requester], newRequest()))
	c.Assert(got, qt.Equals, "limiter.Undecided")
	for r.held() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Pattern: too little room in one of two allowed regions, whose calls may wait for long as
// they are ranked. Guards against one that waits there beside free workers of the other.
func TestRankedConfinedCallDoesNotWaitBesideFreeWorkers(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	const timeout = 300 * time.Millisecond // Less than a ranked call may wait in a region.
	c := qt.New(t)
	r := newThreeRegions(c)
	for _, p := range r.pools {
		p.SetRanksCalls(true)
	}
	got := ""
	for n := 0; n < 20 && got != "b"; n++ { // A busy machine may delay replies.
		r.report(nil)
		for _, p := range r.pools {
			p.RecordReport(p.Find("a"), tracker.NewReport(3, 0, 3, 1, p.Now()))
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		got = outcomeOf(r.schedulers[0].Assign(ctx, r.pools[0], confinedRequest("a", "b")))
		cancel()
	}
	c.Assert(got, qt.Equals, "b")
}
