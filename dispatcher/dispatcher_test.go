package dispatcher_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"burdocklane/asserter"
	"burdocklane/classifier"
	"burdocklane/descriptor"
	"burdocklane/dispatcher"
	"burdocklane/picker"
	"burdocklane/publisher"
	"burdocklane/recorder"
	"burdocklane/registrar"
	"burdocklane/retrier"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// rig is the row of filters with a front end that is a plain function.
type rig struct {
	dispatcher *dispatcher.Dispatcher
	publisher  *publisher.Publisher
	asserter   *asserter.Asserter
}

func newRig(c *qt.C, repeat descriptor.Repeat, workers int) *rig {
	place := registrar.NewPlace("r", "z")
	p := publisher.New(registrar.NewInstance("i", "", "", place, false))
	class := descriptor.NewClass("c", descriptor.WithPaths("/a"), descriptor.WithRepeat(repeat),
		descriptor.WithTarget(descriptor.NewTarget(time.Second, 0.9)), descriptor.WithDeadline(2*time.Second))
	service := descriptor.NewService("s", []descriptor.Class{class}, []int{503})
	d := descriptor.NewDeployment("d", descriptor.NewMeasuring(0, 0.1), []descriptor.Service{service})
	c.Assert(p.PublishDeployment(d.WithRevision(1, descriptor.Change{}), "test"), qt.IsNil)
	var members []registrar.Worker
	for n := range workers {
		members = append(members, registrar.NewWorker(registrar.WorkerID(strconv.Itoa(n)), "s", "", place, 8, false))
	}
	p.PublishList(registrar.NewList(1, members, nil))
	a := asserter.New(zerolog.Nop())
	r := recorder.New(zerolog.Nop())
	rig := &rig{dispatcher: dispatcher.New(p, r, a), publisher: p, asserter: a}
	c.Cleanup(func() {
		rig.dispatcher.Close()
		r.Close()
		c.Check(a.Violations(), qt.Equals, int64(0))
		c.Check(rig.dispatcher.InFlight(), qt.Equals, int64(0))
		for _, w := range rig.workers() {
			c.Check(w, qt.Equals, int32(0))
		}
	})
	return rig
}

// workers returns the calls in flight at each worker.
func (r *rig) workers() []int32 {
	var held []int32
	for _, w := range r.publisher.Current().Lane("s").Pool().Workers() {
		held = append(held, w.InFlight())
	}
	return held
}

func (r *rig) dispatch(ctx context.Context, transmit dispatcher.Transmit) string {
	switch v := r.dispatcher.Dispatch(ctx, classifier.NewHead("id", "GET", "/a"), true, transmit).(type) {
	case dispatcher.Done:
		v.Finish(true)
		return "done"
	case dispatcher.NotRun:
		return "not-run"
	case dispatcher.Unknown:
		return "unknown"
	}
	return "other"
}

func TestOutcomes(t *testing.T) {
	lost, unsent, declined, good := retrier.NewLost(nil), retrier.NewUnsent(nil), retrier.NewDeclined(503, 0), retrier.NewAnswered(200)
	tests := []struct {
		name    string
		repeat  descriptor.Repeat
		results []retrier.Result
		want    string
		tries   int
	}{
		{"answered", descriptor.AtMostOnce{}, []retrier.Result{good}, "done", 1},
		{"at-most-once and lost", descriptor.AtMostOnce{}, []retrier.Result{lost, good}, "unknown", 1},
		{"at-most-once and unsent", descriptor.AtMostOnce{}, []retrier.Result{unsent, good}, "done", 2},
		{"at-most-once, declined, then lost", descriptor.AtMostOnce{}, []retrier.Result{declined, lost, good}, "unknown", 2},
		{"unsent to the end", descriptor.AtMostOnce{}, []retrier.Result{unsent, unsent, unsent, good}, "not-run", 3},
		{"idempotent and lost", descriptor.Idempotent{}, []retrier.Result{lost, good}, "done", 2},
		{"idempotent and lost to the end", descriptor.Idempotent{}, []retrier.Result{lost, lost, lost, good}, "unknown", 3},
		{"a refusal after a loss is not the whole truth", descriptor.Idempotent{}, []retrier.Result{lost, declined, declined}, "unknown", 3},
		{"the worker's refusal is passed on", descriptor.Idempotent{}, []retrier.Result{declined, declined, declined}, "done", 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := newRig(c, test.repeat, 3)
			tries := 0
			seen := map[registrar.WorkerID]bool{}
			got := r.dispatch(context.Background(), func(_ context.Context, n int, _ *classifier.Call, w registrar.Worker) retrier.Result {
				tries++
				seen[w.ID()] = true
				return test.results[n]
			})
			c.Assert(got, qt.Equals, test.want)
			c.Assert(tries, qt.Equals, test.tries)
			c.Assert(seen, qt.HasLen, test.tries, qt.Commentf("each attempt goes to another worker"))
		})
	}
}

// Callers who give up say nothing about the worker.
func TestCancelledCallsEjectNoWorker(t *testing.T) {
	c := qt.New(t)
	r := newRig(c, descriptor.AtMostOnce{}, 3)
	for range 20 {
		ctx, cancel := context.WithCancel(context.Background())
		got := r.dispatch(ctx, func(ctx context.Context, _ int, _ *classifier.Call, _ registrar.Worker) retrier.Result {
			cancel()
			<-ctx.Done()
			return retrier.NewLost(ctx.Err())
		})
		c.Assert(got, qt.Equals, "unknown")
	}
	pool := r.publisher.Current().Lane("s").Pool()
	for _, w := range pool.Workers() {
		c.Assert(w.State(0, pool.Now()), qt.Equals, picker.Usable)
	}
}

func TestALateCallIsHedgedAtAnotherWorkerAndTheLoserCancelled(t *testing.T) {
	tests := []struct {
		name   string
		repeat descriptor.Repeat
		tries  int64
	}{
		{"idempotent", descriptor.Idempotent{}, 2},
		{"at-most-once", descriptor.AtMostOnce{}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := newRig(c, test.repeat, 3)
			quick := func(context.Context, int, *classifier.Call, registrar.Worker) retrier.Result {
				time.Sleep(time.Millisecond)
				return retrier.NewAnswered(200)
			}
			for range 20 { // Teaches the mean, and earns the budget.
				c.Assert(r.dispatch(context.Background(), quick), qt.Equals, "done")
			}
			var tries atomic.Int64
			var first atomic.Value
			got := r.dispatch(context.Background(), func(ctx context.Context, n int, _ *classifier.Call, w registrar.Worker) retrier.Result {
				tries.Add(1)
				if n > 0 {
					c.Check(first.Load(), qt.Not(qt.Equals), w.ID())
					return retrier.NewAnswered(200)
				}
				first.Store(w.ID())
				select {
				case <-ctx.Done():
					return retrier.NewLost(ctx.Err())
				case <-time.After(300 * time.Millisecond):
					return retrier.NewAnswered(200)
				}
			})
			c.Assert(got, qt.Equals, "done")
			c.Assert(tries.Load(), qt.Equals, test.tries)
		})
	}
}
