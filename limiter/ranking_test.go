package limiter_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/registrar"
	"burdocklane/tracker"

	qt "github.com/frankban/quicktest"
)

// longTarget leaves time for a call to wait in a test.
const longTarget = 20 * time.Second

// newRankingPool returns a pool of one worker with three slots that ranks calls and knows
// that they take the given time.
func newRankingPool(c *qt.C, work time.Duration, tenant *descriptor.Tenant) *limiter.Pool {
	p := newReportingPool(1)
	p.SetRanksCalls(true)
	for range 3 {
		reportAll(p, 0, 1)
		granted, ok := p.Acquire(context.Background(), newRankedRequest(longTarget, longTarget, limiter.WithTenant(tenant, true))).(limiter.Granted)
		c.Assert(ok, qt.IsTrue)
		p.RecordAnswer(granted, work, false)
		granted.Release()
	}
	return p
}

// receive returns the next value, which must come within some seconds.
func receive[T any](c *qt.C, from <-chan T) T {
	select {
	case v := <-from:
		return v
	case <-time.After(10 * time.Second):
		c.Fatalf("no call has ended")
		panic("unreachable")
	}
}

func newRankedRequest(target, left time.Duration, opts ...limiter.RequestOption) limiter.Request {
	now := time.Now()
	return limiter.NewRequest(target, now.Add(4*target), opts...).WithTargetDeadline(now.Add(left)).LocalOnly()
}

// queueInOrder queues the requests one after the other and returns the channel on which
// the index of each is sent that gets the slot.
func queueInOrder(c *qt.C, p *limiter.Pool, requests []limiter.Request) <-chan int {
	served := make(chan int, len(requests))
	for i, request := range requests {
		go func() {
			if granted, ok := p.WaitForCapacity(context.Background(), request).(limiter.Granted); ok {
				served <- i
				granted.Release()
			}
		}()
		awaitQueued(c, p, i+1)
	}
	return served
}

func awaitQueued(c *qt.C, p *limiter.Pool, calls int) {
	deadline := time.Now().Add(10 * time.Second)
	for p.Waiting() < calls {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("waited for %d queued calls, %d are", calls, p.Waiting()))
		time.Sleep(time.Millisecond)
	}
}

// Load: calls wait for the one slot that is free, which one of them gets.
func TestRankedQueue(t *testing.T) {
	hot, calm := descriptor.NewTenant("hot"), descriptor.NewTenant("calm")
	tests := []struct {
		name     string
		requests []limiter.Request
		want     int
	}{
		{"the higher priority, though it came later", []limiter.Request{
			newRankedRequest(longTarget, longTarget, limiter.WithPriority(2)),
			newRankedRequest(longTarget, longTarget, limiter.WithPriority(0)),
		}, 1},
		{"the one that came first, of equals", []limiter.Request{
			newRankedRequest(longTarget, longTarget), newRankedRequest(longTarget, longTarget),
		}, 0},
		{"the one with less time", []limiter.Request{
			newRankedRequest(longTarget, longTarget), newRankedRequest(longTarget, longTarget*4/5),
		}, 1},
		{"the one that can still be on time", []limiter.Request{
			newRankedRequest(longTarget, time.Millisecond), newRankedRequest(longTarget, longTarget),
		}, 1},
		{"the one of a tenant within its share", []limiter.Request{
			newRankedRequest(longTarget, longTarget, limiter.WithTenant(&hot, true)),
			newRankedRequest(longTarget, longTarget, limiter.WithTenant(&calm, true)),
		}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newRankingPool(c, 50*time.Millisecond, &hot)
			calmCall, ok := p.Acquire(context.Background(), newRankedRequest(longTarget, longTarget, limiter.WithTenant(&calm, true))).(limiter.Granted)
			c.Assert(ok, qt.IsTrue)
			calmCall.Release()
			reportAll(p, 3, 1)
			served := queueInOrder(c, p, test.requests)
			reportAll(p, 2, 1)
			c.Assert(receive(c, served), qt.Equals, test.want)
			reportAll(p, 0, 1)
			receive(c, served)
		})
	}
}

// Load: more calls than get a slot in time. The next one must be refused at once, with a
// time to come back, and not wait for its target to pass.
func TestNoRoomIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	p := newRankingPool(c, longTarget/3, nil)
	reportAll(p, 3, 1)
	ctx, cancel := context.WithCancel(context.Background())
	var calls sync.WaitGroup
	const count = 12
	done := make(chan limiter.Admission, count)
	for range count {
		calls.Go(func() { done <- p.WaitForCapacity(ctx, newRankedRequest(longTarget, longTarget)) })
	}
	refused := receive(c, done).(limiter.Refused)
	c.Assert(refused.Reason(), qt.Equals, limiter.ReasonNoRoom)
	c.Assert(refused.RetryAfter() > 0, qt.IsTrue)
	c.Assert(refused.CandidateSummary().String(), qt.Contains, "verdict=refuse")
	c.Assert(p.Waiting() > 0, qt.IsTrue)
	cancel()
	calls.Wait()
	c.Assert(p.Waiting(), qt.Equals, 0)
}

// Load: only a slow worker has a free slot. The call that has no time for it must not keep
// the slot from one that has.
func TestCallWithoutTimeForASlowWorkerIsPassedOver(t *testing.T) {
	c := qt.New(t)
	p := newRankingPool(c, longTarget/8, nil)
	reportAll(p, 3, 1)
	served := queueInOrder(c, p, []limiter.Request{
		newRankedRequest(longTarget, longTarget*6/10, limiter.WithPriority(0)),
		newRankedRequest(longTarget, 2*longTarget, limiter.WithPriority(2)),
	})
	p.RecordReport(p.Workers()[0], tracker.NewReport(2, 0, 3, 6, p.Now()))
	c.Assert(receive(c, served), qt.Equals, 1)
}

// Load: the region is full, and the call may go to another one, as the instance decides
// itself. It must get the slot that becomes free there, and not wait for one of the region.
func TestQueuedCallGetsASlotOfAnotherRegion(t *testing.T) {
	c := qt.New(t)
	p := newRankingPool(c, 50*time.Millisecond, nil)
	far := registrar.NewWorker("far", "s", "", registrar.NewLocality("q", "z"), 3, false)
	p.Update([]registrar.Worker{p.Workers()[0].Member(), far}, nil)
	reportAll(p, 3, 1)
	now := time.Now()
	served := make(chan registrar.WorkerID, 1)
	go func() {
		request := limiter.NewRequest(longTarget, now.Add(4*longTarget)).WithTargetDeadline(now.Add(longTarget))
		if granted, ok := p.WaitForCapacity(context.Background(), request).(limiter.Granted); ok {
			served <- granted.Worker().ID()
			granted.Release()
		}
	}()
	awaitQueued(c, p, 1)
	p.RecordReport(p.Find("far"), tracker.NewReport(0, 0, 3, 1, p.Now()))
	c.Assert(receive(c, served), qt.Equals, far.ID())
}

// A pool whose classes don't differ in priority, and that has no tenants, keeps to the short
// wait.
func TestRanksAreOptional(t *testing.T) {
	c := qt.New(t)
	p := newReportingPool(1)
	reportAll(p, 30, 1)
	refused, ok := p.Acquire(context.Background(), newRequest()).(limiter.Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(refused.Reason(), qt.Equals, limiter.ReasonOverload)
	c.Assert(refused.RetryAfter(), qt.Equals, time.Duration(0))
	c.Assert(p.MaxWait(newRequest()), qt.Equals, time.Duration(0))
}
