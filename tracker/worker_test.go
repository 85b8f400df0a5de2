package tracker_test

import (
	"testing"
	"time"

	"burdocklane/picker"
	"burdocklane/registrar"
	"burdocklane/tracker"

	qt "github.com/frankban/quicktest"
)

const mean = int64(10 * time.Millisecond)

func member(leaving bool) registrar.Worker {
	return registrar.NewWorker("w", "s", "127.0.0.1:1", registrar.NewLocality("r", "z"), 4, leaving)
}

func TestStates(t *testing.T) {
	type step func(w *tracker.Worker)
	fail := func(at time.Duration) step { return func(w *tracker.Worker) { w.RecordFailure(at) } }
	known := func(w *tracker.Worker) { w.Update(member(false).WithStart(1700000000000, 0), 0) }
	announce := func(w *tracker.Worker) { w.Announce(0, 0) }
	announceWithGrace := func(w *tracker.Worker) { w.Announce(0, time.Second) }
	tests := []struct {
		name  string
		steps []step
		at    time.Duration
		want  picker.State
	}{
		{"new", nil, 0, picker.Usable},
		{"two failures do not eject", []step{fail(0), fail(0)}, 0, picker.Usable},
		{"three failures eject", []step{fail(0), fail(0), fail(0)}, time.Millisecond, picker.Ejected},
		{"the first ejection ends after a second", []step{fail(0), fail(0), fail(0)}, time.Second + 1, picker.Usable},
		{"the second ejection lasts two seconds", []step{fail(0), fail(0), fail(0), fail(time.Second + 1)}, 2500 * time.Millisecond, picker.Ejected},
		{"a success resets the count", []step{fail(0), fail(0), func(w *tracker.Worker) { w.RecordSuccess(1, 0) }, fail(0)}, 1, picker.Usable},
		{"a refused connection ejects at once", []step{func(w *tracker.Worker) { w.RecordUnreachable(0) }}, 1, picker.Ejected},
		{"retry-after pauses", []step{func(w *tracker.Worker) { w.RecordOverload(2*time.Second, 0) }}, time.Second, picker.Paused},
		{"retry-after is bounded", []step{func(w *tracker.Worker) { w.RecordOverload(time.Hour, 0) }}, 31 * time.Second, picker.Usable},
		{"a worker without progress is suspect", []step{func(w *tracker.Worker) { w.Acquire(0) }}, 26 * time.Millisecond, picker.Suspect},
		{"its own announcement that it is leaving", []step{func(w *tracker.Worker) { w.MarkLeaving(0) }}, 30 * time.Second, picker.Leaving},
		{"the announcement expires if the list has it as live", []step{func(w *tracker.Worker) { w.MarkLeaving(0) }}, 2 * time.Minute, picker.Usable},
		{"a new announcement counts again", []step{func(w *tracker.Worker) { w.MarkLeaving(0) }, func(w *tracker.Worker) { w.MarkLeaving(2 * time.Minute) }}, 2*time.Minute + 1, picker.Leaving},
		{"an announcement of its own, of a start that can be told from others", []step{known, announce}, 24 * time.Hour, picker.Leaving},
		{"is not undone by the list", []step{known, announce, func(w *tracker.Worker) { w.ClearLeaving() }}, 0, picker.Leaving},
		{"is undone by the list if starts cannot be told apart", []step{announce, func(w *tracker.Worker) { w.ClearLeaving() }}, 0, picker.Usable},
		{"is a last resort within the grace", []step{known, announceWithGrace}, time.Second - 1, picker.LastResort},
		{"is none after the grace", []step{known, announceWithGrace, announceWithGrace}, time.Second, picker.Leaving},
		{"is none if the list has it as leaving too", []step{func(w *tracker.Worker) { w.Update(member(true), 0) }, announceWithGrace}, 0, picker.Leaving},
		{"leaving by the list does not expire", []step{func(w *tracker.Worker) { w.Update(member(true), 0); w.MarkLeaving(0) }}, 2 * time.Minute, picker.Leaving},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := tracker.NewWorker(member(false), 0, false)
			w.SetShare(4)
			for _, s := range test.steps {
				s(w)
			}
			qt.Assert(t, w.State(mean, test.at), qt.Equals, test.want)
		})
	}
}

func TestSlowStartAndShedding(t *testing.T) {
	c := qt.New(t)
	w := tracker.NewWorker(member(false), 0, true)
	w.SetShare(4)
	for want := int32(1); want <= 4; want++ {
		c.Assert(w.Limit(), qt.Equals, want)
		for range want {
			c.Assert(w.TryAcquire(0, w.Limit()), qt.IsTrue)
		}
		c.Assert(w.TryAcquire(0, w.Limit()), qt.IsFalse)
		w.RecordSuccess(time.Millisecond, 0)
		for range want {
			w.Release(0)
		}
	}
	w.RecordOverload(0, 0)
	c.Assert(w.Limit(), qt.Equals, int32(2))
}

func TestOldObservationDecays(t *testing.T) {
	c := qt.New(t)
	w := tracker.NewWorker(member(false), 0, false)
	w.RecordSuccess(100*time.Millisecond, 0)
	c.Assert(w.ExpectedLatency(mean, 0), qt.Equals, int64(100*time.Millisecond))
	c.Assert(w.ExpectedLatency(mean, 50*time.Duration(mean)) < int64(60*time.Millisecond), qt.IsTrue)
	c.Assert(w.ExpectedLatency(mean, time.Hour) < int64(11*time.Millisecond), qt.IsTrue)
}
