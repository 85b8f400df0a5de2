package bootstrapper_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"burdocklane/platform/imitator"

	qt "github.com/frankban/quicktest"
)

// startRegistered starts a worker and puts its registration into the store.
func startRegistered(c *qt.C, e *environment, id string) *imitator.Worker {
	w := imitator.NewWorker(id)
	c.Cleanup(w.Close)
	register(e, w, "ready")
	return w
}

// register puts the next registration of a worker into the store.
func register(e *environment, w *imitator.Worker, state string) {
	e.store.Put(w.Entry("s", "z", w.Address(), state))
}

// drainTimeout is the time after which a worker that leaves must get no calls.
const drainTimeout = 600 * time.Millisecond

var lastCall atomic.Int64

// callMany makes a number of calls and returns how many the worker has run, and how many
// were not answered with 200.
func callMany(e *environment, w *imitator.Worker, calls int) (run, failed int) {
	before := len(w.Runs())
	for range calls {
		if status, _ := e.call(fmt.Sprintf("/a/%d", lastCall.Add(1))); status != http.StatusOK {
			failed++
		}
	}
	return len(w.Runs()) - before, failed
}

// awaitRun calls until the worker has run a call, and reports whether it has within the
// timeout.
func awaitRun(e *environment, w *imitator.Worker, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		if run, _ := callMany(e, w, 1); run > 0 {
			return true
		}
	}
	return false
}

// A worker that says in its answers that it leaves was sent calls for as long as the list
// had it as ready, and those under way at its exit were lost.
func TestWorkerThatSaysItLeavesGetsNoCalls(t *testing.T) {
	tests := []struct {
		name   string
		leave  func(e *environment, w *imitator.Worker)
		reopen func(e *environment, w *imitator.Worker) // Must not make the worker get calls.
	}{
		{"the list still has it", func(*environment, *imitator.Worker) {}, func(*environment, *imitator.Worker) {}},
		{"the store is down", func(e *environment, _ *imitator.Worker) { e.store.SetDown(true) }, func(*environment, *imitator.Worker) {}},
		{"its heartbeat says ready", func(*environment, *imitator.Worker) {}, func(e *environment, w *imitator.Worker) { register(e, w, "ready") }},
		{"its entry is removed and written late", func(e *environment, w *imitator.Worker) {
			e.store.Remove("servers/" + w.ID())
		}, func(e *environment, w *imitator.Worker) { register(e, w, "ready") }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			e := newEnvironment(c)
			c.Cleanup(func() { c.Check(e.instance.Close(), qt.IsNil) })
			leaver, other := startRegistered(c, e, "leaver"), startRegistered(c, e, "other")
			e.store.Put("op/config", configuration(1, "/a/"))
			e.awaitStatus("/a/0", http.StatusOK)
			c.Assert(awaitRun(e, leaver, 10*time.Second) && awaitRun(e, other, 10*time.Second), qt.IsTrue)
			leaver.AnnounceLeaving()
			test.leave(e, leaver)
			awaitRun(e, leaver, 200*time.Millisecond) // One answer or health check says it.
			other.SetFault(imitator.Slow)             // A worker that is merely unhealthy would be preferred.
			time.Sleep(drainTimeout)
			test.reopen(e, leaver)
			time.Sleep(100 * time.Millisecond)
			run, failed := callMany(e, leaver, 20)
			c.Assert(run, qt.Equals, 0)
			c.Assert(failed, qt.Equals, 0)
		})
	}
}

// A worker that had reported draining, or whose entry had been removed, was sent calls again
// when the store ran one of its older heartbeats late. It sets no header here. A live worker
// that was removed for its silence has to get calls again.
func TestLateHeartbeatOfWorkerThatStops(t *testing.T) {
	tests := []struct {
		name string
		stop func(e *environment, w *imitator.Worker)
		late string // Which heartbeat is run late: "unseen" ones were never listed.
		live bool
	}{
		{"draining, and an older heartbeat", func(e *environment, w *imitator.Worker) { register(e, w, "draining") }, "seen", false},
		{"draining, and an older heartbeat that was not listed", func(e *environment, w *imitator.Worker) {
			w.Entry("s", "z", w.Address(), "ready")
			register(e, w, "draining")
		}, "unseen", false},
		{"removed, and an older heartbeat", func(e *environment, w *imitator.Worker) {
			register(e, w, "ready")
			e.store.Remove("servers/" + w.ID())
		}, "seen", false},
		{"removed, and a later heartbeat that was not listed", func(e *environment, w *imitator.Worker) {
			e.store.Remove("servers/" + w.ID())
		}, "unseen", false},
		{"removed for its silence, and its next heartbeat", func(e *environment, w *imitator.Worker) {
			e.store.Remove("servers/" + w.ID())
		}, "unseen", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			e := newEnvironment(c)
			c.Cleanup(func() { c.Check(e.instance.Close(), qt.IsNil) })
			w, other := imitator.NewWorker("w"), startRegistered(c, e, "other")
			c.Cleanup(w.Close)
			key, seen := w.Entry("s", "z", w.Address(), "ready")
			e.store.Put(key, seen)
			e.store.Put("op/config", configuration(1, "/a/"))
			e.awaitStatus("/a/0", http.StatusOK)
			c.Assert(awaitRun(e, w, 10*time.Second) && awaitRun(e, other, 10*time.Second), qt.IsTrue)
			_, unseen := w.Entry("s", "z", w.Address(), "ready")
			test.stop(e, w)
			if !test.live {
				w.FailHealthChecks()
			}
			time.Sleep(drainTimeout)
			other.SetFault(imitator.Slow) // A worker that is merely unhealthy would be preferred.
			late := map[string]string{"seen": seen, "unseen": unseen}[test.late]
			e.store.Put(key, late)
			time.Sleep(100 * time.Millisecond)
			run, failed := callMany(e, w, 20)
			c.Assert(run > 0, qt.Equals, test.live, qt.Commentf("%d calls", run))
			c.Assert(failed, qt.Equals, 0)
		})
	}
}
