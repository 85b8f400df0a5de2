package limiter_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/registrar"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func newPool(workers []registrar.Worker, opts ...limiter.Option) *limiter.Pool {
	self := instance(0, 0, false)
	pool := limiter.New("s", self, opts...)
	pool.Update(workers, []registrar.Instance{self})
	return pool
}

func request(opts ...limiter.RequestOption) limiter.Request {
	return limiter.NewRequest(time.Minute, time.Now().Add(time.Minute), opts...)
}

// Every acquired slot is released, whether its call was answered, cancelled or
// refused, and no call stays queued while a slot is free.
func TestSlotsAreReleasedAndNoCallStaysQueued(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := []registrar.Worker{worker(0, 0, rapid.IntRange(1, 3).Draw(t, "slots")), worker(1, 0, 1)}
		pool := newPool(workers)
		var calls sync.WaitGroup
		var granted atomic.Int64
		count := rapid.IntRange(1, 40).Draw(t, "calls")
		cancelled := rapid.IntRange(0, 3).Draw(t, "one in n is cancelled")
		for n := range count {
			calls.Go(func() {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if cancelled > 0 && n%(cancelled+1) == 0 {
					time.AfterFunc(time.Duration(n)*10*time.Microsecond, cancel)
				}
				g, ok := pool.Acquire(ctx, request(limiter.WithCaller(strconv.Itoa(n%3)))).(limiter.Granted)
				if !ok {
					return
				}
				granted.Add(1)
				time.Sleep(rand.N(200 * time.Microsecond))
				pool.RecordAnswer(g, time.Millisecond, false)
				g.Release()
			})
		}
		finished := make(chan struct{})
		go func() { calls.Wait(); close(finished) }()
		select {
		case <-finished:
		case <-time.After(20 * time.Second):
			t.Fatalf("calls are queued although slots are free: %d queued", pool.Waiting())
		}
		for _, w := range pool.Workers() {
			if w.InFlight() != 0 {
				t.Fatalf("%s still has %d calls in flight", w.ID(), w.InFlight())
			}
		}
		if cancelled == 0 && granted.Load() != int64(count) {
			t.Fatalf("%d of %d calls were granted a slot", granted.Load(), count)
		}
	})
}

func TestRefusals(t *testing.T) {
	full := []registrar.Worker{worker(0, 0, 1)}
	tests := []struct {
		name    string
		workers []registrar.Worker
		options []limiter.Option
		request limiter.Request
		ahead   int
		cancel  bool
		want    limiter.Reason
	}{
		{name: "no worker", request: request(), want: limiter.ReasonNoWorker},
		{name: "queue full", workers: full, options: []limiter.Option{limiter.WithQueueLimit(0)}, request: request(), want: limiter.ReasonQueueFull},
		{name: "deadline too short", workers: full, request: limiter.NewRequest(time.Minute, time.Now().Add(time.Millisecond)), want: limiter.ReasonDeadline},
		{name: "cancelled", workers: full, request: request(), cancel: true, want: limiter.ReasonCancelled},
		{name: "target cannot be met", workers: full, ahead: 1, request: limiter.NewRequest(time.Millisecond, time.Now().Add(time.Hour)), want: limiter.ReasonOverload},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			pool := newPool(test.workers, test.options...)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if len(test.workers) > 0 {
				granted := fill(c, pool)
				defer func() {
					for _, g := range granted {
						g.Release()
					}
				}()
			}
			for range test.ahead {
				go pool.Acquire(ctx, request())
			}
			for pool.Waiting() < test.ahead {
				time.Sleep(time.Millisecond)
			}
			if test.cancel {
				cancel()
			}
			refused, ok := pool.Acquire(ctx, test.request).(limiter.Refused)
			c.Assert(ok, qt.IsTrue)
			c.Assert(refused.Reason(), qt.Equals, test.want)
			c.Assert(pool.Waiting(), qt.Equals, test.ahead)
		})
	}
}

// fill acquires every slot, including those for overflow, after setting the
// pool's mean latency to one second.
func fill(c *qt.C, pool *limiter.Pool) []limiter.Granted {
	first, ok := pool.Acquire(context.Background(), request()).(limiter.Granted)
	c.Assert(ok, qt.IsTrue)
	pool.RecordAnswer(first, time.Second, false)
	granted := []limiter.Granted{first}
	for {
		g, ok := pool.TryAcquire(request())
		if !ok {
			return granted
		}
		granted = append(granted, g)
	}
}

func TestOneCallerDoesNotStarveAnother(t *testing.T) {
	c := qt.New(t)
	pool := newPool([]registrar.Worker{worker(0, 0, 1)})
	granted := fill(c, pool)
	order := make(chan string, 20)
	var calls sync.WaitGroup
	wait := func(caller string, waiting int) {
		calls.Go(func() {
			g := pool.Acquire(context.Background(), request(limiter.WithCaller(caller))).(limiter.Granted)
			order <- caller
			g.Release()
		})
		for pool.Waiting() < waiting {
			time.Sleep(time.Millisecond)
		}
	}
	for n := range 10 {
		wait("greedy", n+1)
	}
	wait("modest", 11)
	for _, g := range granted {
		g.Release()
	}
	calls.Wait()
	close(order)
	position := 0
	for caller := range order {
		position++
		if caller == "modest" {
			break
		}
	}
	c.Assert(position <= 4, qt.IsTrue, qt.Commentf("the modest caller was served %dth of 11", position))
}

func TestLeavingWorkersGetNoCall(t *testing.T) {
	c := qt.New(t)
	pool := newPool([]registrar.Worker{worker(0, 0, 2), worker(1, 0, 2)})
	pool.MarkLeaving(pool.Find("w0"))
	for range 2 {
		g := pool.Acquire(context.Background(), request()).(limiter.Granted)
		c.Assert(g.Worker().ID(), qt.Equals, registrar.WorkerID("w1"))
	}
}

func BenchmarkAcquire(b *testing.B) {
	for _, size := range []int{9, 20, 64} {
		b.Run(strconv.Itoa(size)+"-workers", func(b *testing.B) {
			var workers []registrar.Worker
			for n := range size {
				workers = append(workers, worker(n, 0, 6))
			}
			pool := newPool(workers, limiter.WithPolicy(picker.SharedSlots{}))
			req := request()
			b.ReportAllocs()
			for b.Loop() {
				pool.Acquire(context.Background(), req).(limiter.Granted).Release()
			}
		})
	}
}
