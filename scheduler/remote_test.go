package scheduler_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"burdocklane/limiter"
	"burdocklane/tracker"

	qt "github.com/frankban/quicktest"
)

// Load: too little room, and the schedulers of all other regions are silent. Their silence
// must not delay the rejection of a call that may not wait for long, as its requester would
// then take the scheduler of its own region as silent too.
func TestSilentRegionsDoNotDelayRejections(t *testing.T) {
	tests := []struct {
		name   string
		target time.Duration
		left   time.Duration
		asked  int
	}{
		{"a late call", 100 * time.Millisecond, 0, 1},
		{"a call that may wait", time.Minute, time.Minute, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := newThreeRegions(c)
			r.schedulers[1].Close()
			r.schedulers[2].Close()
			p := r.pools[0]
			p.SetRanksCalls(true)
			for _, w := range p.Workers() {
				p.RecordReport(w, tracker.NewReport(3, 0, 3, 1, p.Now()))
			}
			before := countAsked(c)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			now := time.Now()
			request := limiter.NewRequest(test.target, now.Add(4*time.Minute)).WithTargetDeadline(now.Add(test.left))
			ended := make(chan limiter.Assignment, 1)
			go func() { ended <- r.schedulers[0].Assign(ctx, p, request) }()
			if test.left > 0 {
				deadline := time.Now().Add(10 * time.Second)
				for countAsked(c)-before < test.asked {
					c.Assert(time.Now().Before(deadline), qt.IsTrue)
					time.Sleep(time.Millisecond)
				}
				cancel()
			}
			<-ended
			c.Assert(countAsked(c)-before, qt.Equals, test.asked)
		})
	}
}

func countAsked(c *qt.C) int {
	count, err := strconv.Atoi(requestsAsked())
	c.Assert(err, qt.IsNil)
	return count
}

// Failure: the scheduler ends while a call is queued there that may wait for long. Once the
// instances of the region know that, the call must not wait any longer.
func TestQueuedCallOutlivesItsScheduler(t *testing.T) {
	c := qt.New(t)
	r := newRegion(c, 2, 1)
	for _, p := range r.pools {
		p.SetRanksCalls(true)
		p.RecordReport(p.Workers()[0], tracker.NewReport(3, 0, 3, 1, p.Now()))
	}
	scheduler := r.schedulerIndex("s")
	requester := 1 - scheduler
	now := time.Now()
	request := limiter.NewRequest(time.Minute, now.Add(4*time.Minute)).WithTargetDeadline(now.Add(time.Minute))
	ended := make(chan limiter.Assignment, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { ended <- r.schedulers[requester].Assign(ctx, r.pools[requester], request) }()
	awaitWaiting(c, r, 1)
	r.silence(scheduler)
	select {
	case assignment := <-ended:
		_, undecided := assignment.(limiter.Undecided)
		c.Assert(undecided, qt.IsTrue)
	case <-time.After(10 * time.Second):
		c.Fatal("the call still waits for the reply")
	}
}

// silence ends an instance without a reply to the calls that are queued there.
func (r *region) silence(instance int) {
	r.dead.Store(r.instances[instance].ID(), true)
	r.schedulers[instance].Close()
}
