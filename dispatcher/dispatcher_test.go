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

// fixture is a Dispatcher with its filters, and a plain function as front end.
type fixture struct {
	dispatcher *dispatcher.Dispatcher
	publisher  *publisher.Publisher
	asserter   *asserter.Asserter
}

func newFixture(c *qt.C, repeat descriptor.CallSemantics, workers int) *fixture {
	locality := registrar.NewLocality("r", "z")
	p := publisher.New(registrar.NewInstance("i", "", "", locality, false))
	class := descriptor.NewClass("c", descriptor.WithPaths("/a"), descriptor.WithCallSemantics(repeat),
		descriptor.WithTarget(descriptor.NewTarget(time.Second, 0.9)), descriptor.WithDeadline(2*time.Second))
	service := descriptor.NewService("s", []descriptor.Class{class}, []int{503})
	d := descriptor.NewDeployment("d", descriptor.NewMeasurementBudget(0, 0.1), []descriptor.Service{service})
	c.Assert(p.PublishDeployment(d.WithRevision(1, descriptor.Change{}), "test"), qt.IsNil)
	var members []registrar.Worker
	for n := range workers {
		members = append(members, registrar.NewWorker(registrar.WorkerID(strconv.Itoa(n)), "s", "", locality, 8, false))
	}
	p.PublishList(registrar.NewList(1, members, nil))
	a := asserter.New(zerolog.Nop())
	r := recorder.New(zerolog.Nop())
	f := &fixture{dispatcher: dispatcher.New(p, r, a), publisher: p, asserter: a}
	c.Cleanup(func() {
		f.dispatcher.Close()
		r.Close()
		c.Check(a.Violations(), qt.Equals, int64(0))
		c.Check(f.dispatcher.InFlight(), qt.Equals, int64(0))
		for _, w := range f.inFlightPerWorker() {
			c.Check(w, qt.Equals, int32(0))
		}
	})
	return f
}

// inFlightPerWorker returns the number of calls in flight at each worker.
func (f *fixture) inFlightPerWorker() []int32 {
	var inFlight []int32
	for _, w := range f.publisher.Current().ServiceState("s").Pool().Workers() {
		inFlight = append(inFlight, w.InFlight())
	}
	return inFlight
}

func (f *fixture) dispatch(ctx context.Context, roundTrip dispatcher.RoundTrip) string {
	switch v := f.dispatcher.Dispatch(ctx, classifier.NewRequest("id", "GET", "/a"), true, roundTrip).(type) {
	case dispatcher.Answered:
		v.Finish(true)
		return "done"
	case dispatcher.NotRun:
		return "not-run"
	case dispatcher.Unknown:
		return "unknown"
	}
	return "other"
}

func TestDispatchOutcomes(t *testing.T) {
	lost, unsent, declined, success := retrier.NewLost(nil), retrier.NewUnsent(nil), retrier.NewDeclined(503, 0), retrier.NewAnswered(200)
	tests := []struct {
		name     string
		repeat   descriptor.CallSemantics
		results  []retrier.Result
		want     string
		attempts int
	}{
		{"answered", descriptor.AtMostOnce{}, []retrier.Result{success}, "done", 1},
		{"at-most-once and lost", descriptor.AtMostOnce{}, []retrier.Result{lost, success}, "unknown", 1},
		{"at-most-once and unsent", descriptor.AtMostOnce{}, []retrier.Result{unsent, success}, "done", 2},
		{"at-most-once, declined, then lost", descriptor.AtMostOnce{}, []retrier.Result{declined, lost, success}, "unknown", 2},
		{"every attempt unsent", descriptor.AtMostOnce{}, []retrier.Result{unsent, unsent, unsent, success}, "not-run", 3},
		{"idempotent and lost", descriptor.Idempotent{}, []retrier.Result{lost, success}, "done", 2},
		{"idempotent, every attempt lost", descriptor.Idempotent{}, []retrier.Result{lost, lost, lost, success}, "unknown", 3},
		{"declined after a lost attempt is still unknown", descriptor.Idempotent{}, []retrier.Result{lost, declined, declined}, "unknown", 3},
		{"a declined response is forwarded", descriptor.Idempotent{}, []retrier.Result{declined, declined, declined}, "done", 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(c, test.repeat, 3)
			attempts := 0
			tried := map[registrar.WorkerID]bool{}
			got := f.dispatch(context.Background(), func(_ context.Context, n int, _ *classifier.Call, w registrar.Worker) retrier.Result {
				attempts++
				tried[w.ID()] = true
				return test.results[n]
			})
			c.Assert(got, qt.Equals, test.want)
			c.Assert(attempts, qt.Equals, test.attempts)
			c.Assert(tried, qt.HasLen, test.attempts, qt.Commentf("each attempt goes to another worker"))
		})
	}
}

// A call that its caller cancels must not count as a failure of the worker: otherwise
// a series of impatient callers would eject every worker.
func TestCancelledCallsEjectNoWorker(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c, descriptor.AtMostOnce{}, 3)
	for range 20 {
		ctx, cancel := context.WithCancel(context.Background())
		got := f.dispatch(ctx, func(ctx context.Context, _ int, _ *classifier.Call, _ registrar.Worker) retrier.Result {
			cancel()
			<-ctx.Done()
			return retrier.NewLost(ctx.Err())
		})
		c.Assert(got, qt.Equals, "unknown")
	}
	pool := f.publisher.Current().ServiceState("s").Pool()
	for _, w := range pool.Workers() {
		c.Assert(w.State(0, pool.Now()), qt.Equals, picker.Usable)
	}
}

func TestLateCallIsHedgedAtAnotherWorker(t *testing.T) {
	tests := []struct {
		name     string
		repeat   descriptor.CallSemantics
		attempts int64
	}{
		{"idempotent", descriptor.Idempotent{}, 2},
		{"at-most-once", descriptor.AtMostOnce{}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(c, test.repeat, 3)
			quick := func(context.Context, int, *classifier.Call, registrar.Worker) retrier.Result {
				time.Sleep(time.Millisecond)
				return retrier.NewAnswered(200)
			}
			for range 20 { // Establishes the mean latency and fills the retry budget.
				c.Assert(f.dispatch(context.Background(), quick), qt.Equals, "done")
			}
			var attempts atomic.Int64
			var first atomic.Value
			got := f.dispatch(context.Background(), func(ctx context.Context, n int, _ *classifier.Call, w registrar.Worker) retrier.Result {
				attempts.Add(1)
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
			c.Assert(attempts.Load(), qt.Equals, test.attempts)
		})
	}
}
