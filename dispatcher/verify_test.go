package dispatcher_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"burdocklane/asserter"
	"burdocklane/classifier"
	"burdocklane/descriptor"
	"burdocklane/dispatcher"
	"burdocklane/healthchecker"
	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/publisher"
	"burdocklane/recorder"
	"burdocklane/registrar"
	"burdocklane/retrier"
	"burdocklane/sender"
	"burdocklane/tracker"
	"burdocklane/verifier"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// startReporting starts a worker whose health check reports a status and a load.
func startReporting(c *qt.C, id, load string, status int) registrar.Worker {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ID", id)
		w.Header().Set("Load", load)
		w.WriteHeader(status)
	}))
	c.Cleanup(server.Close)
	locality := registrar.NewLocality("r", "z")
	return registrar.NewWorker(registrar.WorkerID(id), "s", strings.TrimPrefix(server.URL, "http://"), locality, 6, false)
}

// newListing returns a publisher of a configuration with a service and its workers.
func newListing(c *qt.C, members []registrar.Worker) *publisher.Publisher {
	p := publisher.New(registrar.NewInstance("i", "", "", registrar.NewLocality("r", "z"), false),
		publisher.WithPoolOptions(limiter.WithPolicy(picker.ReportedLoad{})))
	class := descriptor.NewClass("c", descriptor.WithPaths("/a"), descriptor.WithCallSemantics(descriptor.AtMostOnce{}),
		descriptor.WithTarget(descriptor.NewTarget(2*time.Second, 0.9)), descriptor.WithDeadline(9*time.Second))
	service := descriptor.NewService("s", []descriptor.Class{class}, nil).WithHealthPath("/health")
	d := descriptor.NewDeployment("d", descriptor.NewMeasurementBudget(0, 0.1), []descriptor.Service{service})
	c.Assert(p.PublishDeployment(d.WithRevision(1, descriptor.Change{}), "test"), qt.IsNil)
	p.PublishList(registrar.NewList(1, members, nil))
	return p
}

// newVerifying returns a Dispatcher that verifies workers, whose last reports are old.
func newVerifying(c *qt.C, p *publisher.Publisher, members []registrar.Worker) (*dispatcher.Dispatcher, *limiter.Pool) {
	pool := p.Current().ServiceState("s").Pool()
	c.Assert(pool.Workers(), qt.HasLen, len(members))
	for _, w := range pool.Workers() {
		pool.RecordReport(w, tracker.NewReport(0, 0, 6, 1, pool.Now()-time.Hour))
	}
	s, r := sender.New(), recorder.New(zerolog.Nop())
	c.Cleanup(s.Close)
	c.Cleanup(r.Close)
	x := dispatcher.New(p, r, asserter.New(zerolog.Nop()), dispatcher.WithVerifier(verifier.New(healthchecker.New(s, "ID", "Load"))))
	c.Cleanup(x.Close)
	return x, pool
}

// Pattern: at-most-once calls while workers turn slow between two of their reports.
// Guards against a call that is sent to a worker known to be slow by then, and against
// one that is rejected, or passed on for ever, because all health checks speak against it.
func TestCallsAreSentToVerifiedWorkers(t *testing.T) {
	type reported struct {
		id, load string
		status   int
	}
	tests := []struct {
		name    string
		workers []reported
		want    string // The worker that gets the call, or "any".
	}{
		{"all calm", []reported{{"a", "0,0,6,100", 200}, {"b", "0,0,6,100", 200}}, "any"},
		{"one has become slow", []reported{{"a", "0,0,6,100", 200}, {"b", "0,0,6,700", 200}}, "a"},
		{"one has become ill", []reported{{"a", "0,0,6,100", 503}, {"b", "0,0,6,100", 200}}, "b"},
		{"two of three have become slow", []reported{{"a", "0,0,6,700", 200}, {"b", "0,0,6,700", 200}, {"c", "0,0,6,100", 200}}, "c"},
		{"all health checks fail", []reported{{"a", "0,0,6,100", 503}, {"b", "0,0,6,100", 503}}, "any"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var members []registrar.Worker
			for _, w := range test.workers {
				members = append(members, startReporting(c, w.id, w.load, w.status))
			}
			x, pool := newVerifying(c, newListing(c, members), members)
			var got []string
			result := x.Dispatch(context.Background(), classifier.NewRequest("id", "GET", "/a"), true,
				func(_ context.Context, _ int, _ *classifier.Call, w registrar.Worker) retrier.Result {
					got = append(got, string(w.ID()))
					return retrier.NewAnswered(200)
				})
			answered, ok := result.(dispatcher.Answered)
			c.Assert(ok, qt.IsTrue, qt.Commentf("%T", result))
			answered.Finish(true)
			c.Assert(got, qt.HasLen, 1)
			if test.want != "any" {
				c.Assert(got[0], qt.Equals, test.want)
			}
			for _, w := range pool.Workers() {
				c.Assert(w.InFlight(), qt.Equals, int32(0))
			}
		})
	}
}

// Guards against a call to a worker whose leaving, or the evacuation of its zone, has become
// known while it was checked.
func TestCallIsNotSentToAWorkerThatLeavesMeanwhile(t *testing.T) {
	tests := []struct {
		name string
		next func(members []registrar.Worker, id string) []registrar.Worker // The list after the first check, of that worker.
	}{
		{"it stays", nil},
		{"it leaves", withLeaving},
		{"its zone is evacuated", withEvacuated},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var p *publisher.Publisher
			var members []registrar.Worker
			var checked []string
			for _, id := range []string{"a", "b"} {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if checked = append(checked, id); len(checked) == 1 && test.next != nil {
						p.PublishList(registrar.NewList(2, test.next(members, id), nil))
					}
					w.Header().Set("ID", id)
					w.Header().Set("Load", "0,0,6,100")
				}))
				c.Cleanup(server.Close)
				members = append(members, registrar.NewWorker(registrar.WorkerID(id), "s", strings.TrimPrefix(server.URL, "http://"),
					registrar.NewLocality("r", "z"), 6, false))
			}
			p = newListing(c, members)
			x, _ := newVerifying(c, p, members)
			got := ""
			result := x.Dispatch(context.Background(), classifier.NewRequest("id", "GET", "/a"), true,
				func(_ context.Context, _ int, _ *classifier.Call, w registrar.Worker) retrier.Result {
					got = string(w.ID())
					return retrier.NewAnswered(200)
				})
			answered, ok := result.(dispatcher.Answered)
			c.Assert(ok, qt.IsTrue, qt.Commentf("%T", result))
			answered.Finish(true)
			c.Assert(got != checked[0], qt.Equals, test.next != nil)
		})
	}
}

// withLeaving returns the workers, one of which is leaving.
func withLeaving(members []registrar.Worker, id string) []registrar.Worker {
	var listed []registrar.Worker
	for _, m := range members {
		listed = append(listed, registrar.NewWorker(m.ID(), m.Service(), m.Address(), m.Locality(), m.Slots(), string(m.ID()) == id))
	}
	return listed
}

// withEvacuated returns the workers, one of which is in an evacuated zone.
func withEvacuated(members []registrar.Worker, id string) []registrar.Worker {
	listed := slices.Clone(members)
	for i, m := range listed {
		if string(m.ID()) == id {
			listed[i] = m.AsEvacuated()
		}
	}
	return listed
}
