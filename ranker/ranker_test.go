package ranker_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"burdocklane/ranker"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	ms    = time.Millisecond
	scale = 100 * ms
)

// Load: two calls wait for one slot. Each row names the one whose delay costs callers less.
func TestOrder(t *testing.T) {
	tests := []struct {
		name          string
		first, second ranker.Call
	}{
		{"the higher priority", ranker.NewCall(0, 300*ms, time.Second, scale), ranker.NewCall(1, 300*ms, time.Second, scale)},
		{"the sooner target", ranker.NewCall(1, 200*ms, time.Second, scale), ranker.NewCall(1, 300*ms, time.Second, scale)},
		{"the cheap call, of two that are equally urgent", ranker.NewCall(1, 230*ms, time.Second, 30*ms), ranker.NewCall(1, 500*ms, time.Second, 300*ms)},
		{"the one that can still be on time, before one that cannot", ranker.NewCall(1, 300*ms, time.Second, scale), ranker.NewCall(1, 50*ms, time.Second, scale)},
		{"a call of low priority that can be on time, before a late one of high priority", ranker.NewCall(1, 300*ms, time.Second, scale), ranker.NewCall(0, -ms, 3*time.Second, scale)},
		{"the one of a tenant within its share", ranker.NewCall(1, 300*ms, time.Second, scale), ranker.NewCall(1, 250*ms, time.Second, scale).WithLead(200 * ms)},
		{"a call of low priority that waits for long, before a new one of high priority", ranker.NewCall(1, 120*ms, time.Second, scale), ranker.NewCall(0, 800*ms, time.Second, scale)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			first, second := test.first.RankAt(0, scale), test.second.RankAt(0, scale)
			c.Assert(first.Before(second), qt.IsTrue)
			c.Assert(second.Before(first), qt.IsFalse)
		})
	}
}

// Load: a call waits while others of higher priority keep arriving. Its rank must not
// depend on when it is computed, and new calls must come to be behind it at last.
func TestNoCallIsOvertakenForEver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		untilTarget := time.Duration(rapid.IntRange(150, 3000).Draw(t, "target")) * ms
		waiting := ranker.NewCall(rapid.IntRange(0, 20).Draw(t, "priority"), untilTarget, 4*untilTarget, scale)
		waited := time.Duration(rapid.IntRange(0, 50).Draw(t, "waited")) * ms
		later := ranker.NewCall(waiting.Priority(), untilTarget-waited, 4*untilTarget-waited, scale)
		if waiting.RankAt(0, scale) != later.RankAt(waited, scale) {
			t.Fatalf("the rank of a waiting call changes")
		}
		urgent := ranker.NewCall(0, untilTarget, 4*untilTarget, scale)
		const longest = 10 * time.Second
		if !waiting.RankAt(0, scale).Before(urgent.RankAt(longest+untilTarget, scale)) {
			t.Fatalf("a call is overtaken after %v", longest)
		}
	})
}

// Load: no slot is free when a call arrives. A call that will not be served in time must
// not wait, and one that will be must not be refused.
func TestVerdict(t *testing.T) {
	tests := []struct {
		name string
		call ranker.Call
		room ranker.Room
		want string
	}{
		{"room in time", ranker.NewCall(0, 800*ms, 4*time.Second, 200*ms), ranker.NewRoom(9, 10*ms), "wait 540ms"},
		{"the last place in time", ranker.NewCall(0, 800*ms, 4*time.Second, 200*ms), ranker.NewRoom(53, 10*ms), "wait 540ms"},
		{"no room before the target", ranker.NewCall(0, 800*ms, 4*time.Second, 200*ms), ranker.NewRoom(54, 10*ms), "refuse"},
		{"no room before the deadline, which is sooner than the target", ranker.NewCall(0, 800*ms, 600*ms, 200*ms), ranker.NewRoom(40, 10*ms), "refuse"},
		{"room before the deadline, which is sooner than the target", ranker.NewCall(0, 800*ms, 600*ms, 200*ms), ranker.NewRoom(20, 10*ms), "wait 340ms"},
		{"late, whatever the room", ranker.NewCall(0, 100*ms, 4*time.Second, 200*ms), ranker.NewRoom(0, 0), "wait briefly 50ms"},
		{"late, and hardly any time left", ranker.NewCall(0, 100*ms, 270*ms, 200*ms), ranker.NewRoom(0, 0), "wait briefly 10ms"},
		{"no answer before the deadline", ranker.NewCall(0, 50*ms, 100*ms, 200*ms), ranker.NewRoom(0, 0), "refuse"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(describe(test.call, ranker.Decide(test.call, test.room)), qt.Equals, test.want)
		})
	}
}

func describe(call ranker.Call, v ranker.Verdict) string {
	switch v.(type) {
	case ranker.Wait:
		return "wait " + call.MaxWait(800*ms).String()
	case ranker.WaitBriefly:
		return "wait briefly " + call.MaxWait(800*ms).String()
	case ranker.Refuse:
		return "refuse"
	}
	return ""
}

// Load: many calls are refused at once. Their callers must not come back before there is
// room, nor later than they wait, nor all at the same moment.
func TestReturnAfter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wait := time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * ms
		left := time.Duration(rapid.IntRange(1, 20000).Draw(t, "left")) * ms
		first, last := ranker.ReturnAfter(wait, left, 0), ranker.ReturnAfter(wait, left, 1)
		switch {
		case last > left/3+1:
			t.Fatalf("the caller does not wait until %v", last)
		case first > last/2+1 && wait > last/2, last-first < last/2-1 && wait > last/2:
			t.Fatalf("callers return within %v to %v", first, last)
		case wait <= last/2 && first < wait:
			t.Fatalf("callers return after %v, before there is room", first)
		}
	})
}

// Load: a caller that would wait for hours is refused. It must not be told to stay away for
// hours while there is room within seconds.
func TestReturnOfPatientCallers(t *testing.T) {
	tests := []struct {
		name           string
		wait           time.Duration
		earliest, most time.Duration
	}{
		{"room soon", 200 * ms, 200 * ms, 10 * time.Second},
		{"room after a minute", time.Minute, time.Minute, 2 * time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(ranker.ReturnAfter(test.wait, 10*time.Hour, 0), qt.Equals, test.earliest)
			c.Assert(ranker.ReturnAfter(test.wait, 10*time.Hour, 1), qt.Equals, test.most)
		})
	}
}

// Load: callers that were refused come back with the rest of their time. They must be told
// from new ones, and new ones with the usual timeouts must not be taken for them.
func TestPatience(t *testing.T) {
	tests := []struct {
		name              string
		shortest, longest time.Duration
		timeout           time.Duration
		want              func(time.Duration) bool
	}{
		{"a usual timeout", 3400 * ms, 4000 * ms, 3600 * ms, func(d time.Duration) bool { return d == 0 }},
		{"a repeat after a second", 3400 * ms, 4000 * ms, 2700 * ms, func(d time.Duration) bool { return d > 800*ms && d < 1200*ms }},
		{"callers that differ", 200 * ms, 4000 * ms, 1000 * ms, func(d time.Duration) bool { return d == 0 }},
		{"no timeout", 3400 * ms, 4000 * ms, 0, func(d time.Duration) bool { return d == 0 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			rng := rand.New(rand.NewPCG(1, 2))
			var p ranker.Patience
			c.Assert(p.Elapsed(test.timeout), qt.Equals, time.Duration(0))
			for range 400 {
				p = p.With(test.shortest + time.Duration(rng.Int64N(int64(test.longest-test.shortest))))
			}
			elapsed := p.Elapsed(test.timeout)
			c.Assert(test.want(elapsed), qt.IsTrue, qt.Commentf("%v", elapsed))
		})
	}
}

// A decision is made for each call while there is too little room: it must not allocate.
func TestDecisionsAllocateNothing(t *testing.T) {
	c := qt.New(t)
	call, room := ranker.NewCall(1, 300*ms, time.Second, scale), ranker.NewRoom(5, 10*ms)
	c.Assert(testing.AllocsPerRun(100, func() {
		call.RankAt(time.Second, scale)
		ranker.Decide(call, room)
	}), qt.Equals, 0.0)
}

func BenchmarkDecision(b *testing.B) {
	call, room := ranker.NewCall(1, 300*ms, time.Second, scale), ranker.NewRoom(5, 10*ms)
	b.ReportAllocs()
	for b.Loop() {
		call.RankAt(time.Second, scale)
		ranker.Decide(call, room)
	}
}
