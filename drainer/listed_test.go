package drainer_test

import (
	"fmt"
	"testing"
	"time"

	"burdocklane/drainer"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func ready(start, sequence, era int64) drainer.Fact {
	return drainer.NewListed(registration(start, sequence, false), era)
}

func draining(start, sequence, era int64) drainer.Fact {
	return drainer.NewListed(registration(start, sequence, true), era)
}

// gone says that the list lost the worker, which it had in the given registration.
func gone(start, sequence, era int64) drainer.Fact {
	return drainer.NewUnlisted(registration(start, sequence, false), era)
}

func confirmed(start int64) drainer.Fact { return drainer.NewConfirmed(registration(start, 1, false)) }

// arrivalTest is what is known of a worker, what arrives a while later, and the standing that
// this has.
type arrivalTest struct {
	name    string
	known   []drainer.Fact
	after   time.Duration
	arrives drainer.Fact
	want    string
}

func (test arrivalTest) run(t *testing.T) {
	ledger := drainer.New()
	for _, f := range test.known {
		ledger.Observe(f, began)
	}
	qt.Assert(t, standingText(ledger.Observe(test.arrives, began.Add(test.after))), qt.Equals, test.want)
}

const (
	soon = time.Second
	// stays is how long a registration has to stay to count although it is outdated.
	stays = 30 * time.Second
)

// Guards against a worker that is about to stop and gets calls again since the store ran an
// older write late, and against a live worker that is kept out.
func TestRegistrationsOfListedWorkers(t *testing.T) {
	listed := []drainer.Fact{ready(firstStart, 5, 1)}
	leaving := []drainer.Fact{ready(firstStart, 4, 1), draining(firstStart, 5, 1)}
	said := []drainer.Fact{ready(firstStart, 5, 1), announced(firstStart)}
	restarted := []drainer.Fact{ready(firstStart, 5, 1), ready(secondStart, 1, 1)}
	tests := []arrivalTest{
		{"unknown, ready", nil, 0, ready(firstStart, 5, 1), "open"},
		{"unknown, draining", nil, 0, draining(firstStart, 5, 1), "open"}, // The list itself says so.

		{"listed, a lower number", listed, soon, ready(firstStart, 4, 1), "outdated"},
		{"listed, a lower number in a copy", listed, soon, ready(firstStart, 4, 2), "outdated"},
		{"listed, the same number", listed, soon, ready(firstStart, 5, 1), "open"},
		{"listed, a higher number", listed, soon, ready(firstStart, 6, 1), "open"},
		{"listed, a new start", listed, soon, ready(secondStart, 1, 1), "open"},

		{"draining, a lower number", leaving, soon, ready(firstStart, 4, 1), "outdated"},
		{"draining, a lower number, for long", leaving, time.Hour, ready(firstStart, 4, 1), "outdated"},
		{"draining, a lower number in a copy", leaving, soon, ready(firstStart, 4, 2), "outdated"},
		{"draining, the same number as ready", leaving, soon, ready(firstStart, 5, 1), "outdated"},
		{"draining, a higher number: the worker has taken it back", leaving, soon, ready(firstStart, 6, 1), "open"},
		{"draining, a new start", leaving, soon, ready(secondStart, 1, 1), "open"},

		{"announced, a higher number", said, time.Hour, ready(firstStart, 900, 1), "leaving"},
		{"announced, a new start", said, soon, ready(secondStart, 1, 1), "open"},

		{"started again, the start before", restarted, soon, ready(firstStart, 900, 1), "outdated"},
		{"started again, the start before in a copy", restarted, soon, ready(firstStart, 900, 2), "outdated"},
		{"started again, a lower number of this start", restarted, soon, ready(secondStart, 0, 1), "outdated"},
	}
	for _, test := range tests {
		t.Run(test.name, test.run)
	}
}

// Guards against a worker that has left and gets calls again since the store ran one of its
// writes late, and against a live worker that is kept out.
func TestRegistrationsOfRemovedWorkers(t *testing.T) {
	silent := []drainer.Fact{ready(firstStart, 5, 1), gone(firstStart, 5, 1)}
	left := []drainer.Fact{draining(firstStart, 5, 1), gone(firstStart, 5, 1)}
	said := []drainer.Fact{ready(firstStart, 5, 1), announced(firstStart), gone(firstStart, 5, 1)}
	tests := []arrivalTest{
		{"removed, a lower number", silent, soon, ready(firstStart, 4, 1), "outdated"},
		{"removed, a lower number that just stays", silent, stays - time.Millisecond, ready(firstStart, 4, 1), "outdated"},
		{"removed, a lower number that has stayed", silent, stays, ready(firstStart, 4, 1), "unconfirmed"},
		{"removed, the same number", silent, soon, ready(firstStart, 5, 1), "unconfirmed"},
		{"removed, the same number in a copy", silent, soon, ready(firstStart, 5, 2), "outdated"},
		{"removed, the same number in a copy that has stayed", silent, stays, ready(firstStart, 5, 2), "unconfirmed"},
		{"removed, a higher number: a late write, or a live worker", silent, soon, ready(firstStart, 6, 1), "unconfirmed"},
		{"removed, a higher number in a copy", silent, soon, ready(firstStart, 6, 2), "unconfirmed"},
		{"removed, a new start", silent, soon, ready(secondStart, 1, 1), "open"},

		{"draining and removed, a lower number", left, time.Hour, ready(firstStart, 4, 1), "outdated"},
		{"draining and removed, the same number as ready", left, time.Hour, ready(firstStart, 5, 1), "outdated"},
		{"draining and removed, a higher number", left, soon, ready(firstStart, 6, 1), "unconfirmed"},
		{"draining and removed, a new start", left, soon, ready(secondStart, 1, 1), "open"},

		{"announced and removed, a lower number", said, soon, ready(firstStart, 4, 1), "outdated"},
		{"announced and removed, a higher number", said, time.Hour, ready(firstStart, 900, 1), "leaving"},
		{"announced and removed, a new start", said, soon, ready(secondStart, 1, 1), "open"},
	}
	for _, test := range tests {
		t.Run(test.name, test.run)
	}
}

// step is a fact that arrives at a time, and the standing that it has.
type step struct {
	at   time.Duration
	fact drainer.Fact
	want string
}

// Guards against a live worker that is kept out for good: what brings one back, and when.
func TestWayBack(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
	}{
		{"listed again, by a health check", []step{
			{0, ready(firstStart, 5, 1), "open"},
			{time.Second, gone(firstStart, 5, 1), "open"},
			{2 * time.Second, ready(firstStart, 9, 1), "unconfirmed"},
			{2100 * time.Millisecond, confirmed(firstStart), "open"},
			{3 * time.Second, ready(firstStart, 10, 1), "open"},
		}},
		{"listed again, as it has stayed", []step{
			{0, ready(firstStart, 5, 1), "open"},
			{time.Second, gone(firstStart, 5, 1), "open"},
			{2 * time.Second, ready(firstStart, 9, 1), "unconfirmed"},
			{16999 * time.Millisecond, ready(firstStart, 10, 1), "unconfirmed"},
			{17 * time.Second, ready(firstStart, 11, 1), "open"},
		}},
		{"listed again twice", []step{
			{0, ready(firstStart, 5, 1), "open"},
			{time.Second, gone(firstStart, 5, 1), "open"},
			{2 * time.Second, ready(firstStart, 9, 1), "unconfirmed"},
			{3 * time.Second, confirmed(firstStart), "open"},
			{4 * time.Second, gone(firstStart, 9, 1), "open"},
			{5 * time.Second, ready(firstStart, 12, 1), "unconfirmed"},
		}},
		{"a new start by a clock that went back, as it has stayed", []step{
			{0, ready(secondStart, 5, 1), "open"},
			{time.Second, ready(firstStart, 1, 1), "outdated"},
			{30 * time.Second, ready(firstStart, 2, 1), "outdated"},
			{31 * time.Second, ready(firstStart, 3, 1), "open"},
		}},
		{"an earlier start stands in its place for a moment, twice", []step{
			{0, ready(secondStart, 5, 1), "open"},
			{time.Second, ready(firstStart, 9, 1), "outdated"},
			{2 * time.Second, ready(secondStart, 6, 1), "open"},
			{40 * time.Second, ready(firstStart, 10, 1), "outdated"},
		}},
		{"an announcement is not taken back by a health check", []step{
			{0, ready(firstStart, 5, 1), "open"},
			{time.Second, announced(firstStart), "leaving"},
			{2 * time.Second, gone(firstStart, 5, 1), "leaving"},
			{3 * time.Second, ready(firstStart, 9, 1), "leaving"},
			{4 * time.Second, confirmed(firstStart), "leaving"},
			{5 * time.Second, ready(secondStart, 1, 1), "open"},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ledger := drainer.New()
			for n, s := range test.steps {
				got := standingText(ledger.Observe(s.fact, began.Add(s.at)))
				qt.Assert(t, got, qt.Equals, s.want, qt.Commentf("step %d", n))
			}
		})
	}
}

// arrival is a fact that may arrive at any time and more than once, and the start that it is
// about.
type arrival struct {
	name  string
	start int64
	fact  drainer.Fact
}

// arrivalsOf returns what there is to say of a worker whose first start stops: its reports,
// with or without one of draining, its removal from the list, its announcement, and what its
// next start says.
func arrivalsOf(drainsAt int64, reportsDraining bool) []arrival {
	var arrivals []arrival
	for n := int64(1); n < drainsAt; n++ {
		arrivals = append(arrivals, arrival{fmt.Sprintf("ready %d", n), firstStart, ready(firstStart, n, 1)})
	}
	if reportsDraining {
		arrivals = append(arrivals, arrival{"draining", firstStart, draining(firstStart, drainsAt, 1)})
	}
	return append(arrivals,
		arrival{"removed", firstStart, gone(firstStart, 1, 1)},
		arrival{"announced", firstStart, announced(firstStart)},
		arrival{"next start", secondStart, ready(secondStart, 1, 1)},
		arrival{"next start, again", secondStart, ready(secondStart, 2, 1)})
}

// In whatever order its reports arrive, a start that has reported draining or announced that
// it stops is not open again, and neither is one that was removed. The next start is open as
// soon as it is listed.
func TestRegistrationsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		arrivals := arrivalsOf(rapid.Int64Range(2, 8).Draw(t, "drains at"), rapid.Bool().Draw(t, "reports draining"))
		ledger := drainer.New()
		now := began
		isListed, stops, hasNext := false, false, false
		for range rapid.IntRange(1, 40).Draw(t, "arrivals") {
			a := rapid.SampledFrom(arrivals).Draw(t, "arrival")
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			got := standingText(ledger.Observe(a.fact, now))
			_, isRegistration := a.fact.(drainer.Listed)
			switch {
			case a.start == secondStart:
				hasNext = true
				if next := standingText(ledger.Standing(registration(secondStart, 1, false), now)); next != "open" {
					t.Fatalf("the next start is %s after %q", next, a.name)
				}
			case isRegistration && a.name != "draining" && (stops || hasNext) && got == "open":
				t.Fatalf("the start that stops is open again after %q", a.name)
			}
			isListed = isListed || isRegistration
			stops = stops || a.name == "draining" || a.name == "announced" || a.name == "removed" && isListed
		}
	})
}
