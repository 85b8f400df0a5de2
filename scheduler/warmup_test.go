package scheduler_test

import (
	"context"
	"testing"
	"time"

	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/registrar"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// Guards against an assignment whose call of the allowance is forgotten on its way to the
// instance that sends it.
func TestAssignmentOfColdWorker(t *testing.T) {
	tests := []struct {
		name                           string
		schedulerKnows, requesterKnows bool
		want                           bool // That a call of the allowance has been taken.
	}{
		{"nobody knows", false, false, false},
		{"both know", true, true, true},
		{"only the scheduler knows", true, false, true},
		{"only the requester knows", false, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Cleanup(func() { goleak.VerifyNone(t) })
			c := qt.New(t)
			r := newRegion(c, 2, 1)
			owner, _ := registrar.RendezvousOwner(r.instances, "s", "")
			for i, p := range r.pools {
				p.SetWarmup(descriptor.NewWarmup(time.Minute, 1000))
				p.Update([]registrar.Worker{p.Workers()[0].Member()}, r.instances)
				knows := test.requesterKnows
				if r.instances[i].ID() == owner.ID() {
					knows = test.schedulerKnows
				}
				if knows {
					p.RecordWarmup(p.Workers()[0], time.Minute)
				}
			}
			requester := 0
			if owner.ID() == r.instances[0].ID() {
				requester = 1
			}
			time.Sleep(20 * time.Millisecond) // The allowance starts empty.
			var assigned limiter.Assigned
			for range 20 { // A busy machine may delay the reply.
				a, ok := r.schedulers[requester].Assign(context.Background(), r.pools[requester], newRequest()).(limiter.Assigned)
				if assigned = a; ok {
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			c.Assert(assigned.Worker(), qt.IsNotNil)
			assigned.ReportOutcome(limiter.OutcomeNone)
			c.Assert(assigned.HasColdCall(), qt.Equals, test.want)
		})
	}
}
