package tracker_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdocklane/tracker"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against a cold worker that gets more calls in a second than its allowance has.
func TestAllowanceHoldsInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.1, 50).Draw(t, "per second")
		burst := rapid.Float64Range(1, 10).Draw(t, "burst")
		allowance := tracker.NewAllowance(perSecond, burst)
		w := tracker.NewWorker(member(false), 0, false)
		since := rapid.Int64Range(0, 3000).Draw(t, "since")
		var taken []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now += time.Duration(rapid.Int64Range(0, 400).Draw(t, "pause")) * time.Millisecond
			mayCall := w.MayCall(allowance, time.Duration(since)*time.Millisecond, now)
			if ok := w.TakeCall(allowance, time.Duration(since)*time.Millisecond, now); ok != mayCall {
				t.Fatalf("a call was taken: %v, and left: %v", ok, mayCall)
			} else if ok {
				taken = append(taken, now)
			}
		}
		for i, first := range taken {
			n := 0
			for _, at := range taken[i:] {
				if at < first+time.Second {
					n++
				}
			}
			if float64(n) > perSecond+burst {
				t.Fatalf("%d calls within a second of %s", n, first)
			}
		}
		if len(taken) > 0 && taken[0] < time.Duration(since)*time.Millisecond {
			t.Fatalf("a call at %s, before the allowance began to fill", taken[0])
		}
	})
}

func TestAllowances(t *testing.T) {
	tests := []struct {
		name             string
		perSecond, burst float64
		turnedCold       time.Duration
		at               []time.Duration
		want             []bool
	}{
		{"starts empty", 5, 2, time.Second, []time.Duration{1100 * time.Millisecond, 1200 * time.Millisecond, 1201 * time.Millisecond}, []bool{false, true, false}},
		{"fills to the burst", 5, 2, time.Second, []time.Duration{9 * time.Second, 9 * time.Second, 9 * time.Second}, []bool{true, true, false}},
		{"no rate", 0, 2, time.Second, []time.Duration{9 * time.Second}, []bool{false}},
		{"no burst", 5, 0, time.Second, []time.Duration{9 * time.Second}, []bool{false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := tracker.NewWorker(member(false), 0, false)
			w.ExtendCold(time.Minute, test.turnedCold)
			var got []bool
			for _, at := range test.at {
				got = append(got, w.TakeCall(tracker.NewAllowance(test.perSecond, test.burst), 0, at))
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// Guards against a call of the allowance that two calls take at once.
func TestConcurrentCallsTakeNoMoreThanTheBurst(t *testing.T) {
	const burst, callers = 3, 64
	w := tracker.NewWorker(member(false), 0, false)
	var taken atomic.Int32
	var callersDone sync.WaitGroup
	for range callers {
		callersDone.Go(func() {
			if w.TakeCall(tracker.NewAllowance(1, burst), 0, time.Minute) {
				taken.Add(1)
			}
		})
	}
	callersDone.Wait()
	qt.Assert(t, taken.Load(), qt.Equals, int32(burst))
}
