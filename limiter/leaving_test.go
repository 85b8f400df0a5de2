package limiter_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"burdocklane/drainer"
	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/registrar"
	"burdocklane/tracker"

	qt "github.com/frankban/quicktest"
)

// Starts of a worker, in Unix milliseconds.
const (
	firstStart  = 1700000000000
	secondStart = 1700000009000
)

const leavingGrace = time.Second

// startOf returns the registration of a worker's start.
func startOf(n int, start, sequence int64, leaving bool) registrar.Worker {
	id := registrar.WorkerID(fmt.Sprintf("w%d", n))
	return registrar.NewWorker(id, "s", fmt.Sprintf("10.0.0.%d:1", n), registrar.NewLocality("r0", "z0"), 3, leaving).
		WithStart(start, 0).WithSequence(sequence)
}

func newLeavingPool(members ...registrar.Worker) *limiter.Pool {
	return newPool(members, limiter.WithPolicy(picker.ReportedLoad{}), limiter.WithLeavingGrace(leavingGrace))
}

// outcomeOf returns the ID of the worker that gets the next call, or why none does.
func outcomeOf(p *limiter.Pool, req limiter.Request) string {
	switch a := p.Acquire(context.Background(), req).(type) {
	case limiter.Granted:
		defer a.Release()
		return string(a.Worker().ID())
	case limiter.Refused:
		return string(a.Reason())
	}
	return ""
}

// Guards against calls to a worker that has announced that it is about to stop, whatever the
// list says of the same start afterwards, and against a new start that is kept out.
func TestAnnouncedWorkerGetsNoCalls(t *testing.T) {
	first, second := startOf(0, firstStart, 7, false), startOf(0, secondStart, 1, false)
	other := startOf(1, firstStart, 1, false)
	tests := []struct {
		name  string
		lists [][]registrar.Worker // After the announcement.
		wait  time.Duration
		want  bool // Whether the worker gets calls.
	}{
		{"the list is as before", nil, 0, false},
		{"for a long time", nil, time.Hour, false},
		{"the list has it as ready, by a later registration", [][]registrar.Worker{{startOf(0, firstStart, 8, false), other}}, 0, false},
		{"as draining, and as ready by an earlier registration", [][]registrar.Worker{{startOf(0, firstStart, 8, true), other}, {first, other}}, 0, false},
		{"removed, and listed again", [][]registrar.Worker{{other}, {first, other}}, 0, false},
		{"removed, and listed again by a later registration", [][]registrar.Worker{{other}, {startOf(0, firstStart, 9, false), other}}, time.Hour, false},
		{"a new start", [][]registrar.Worker{{second, other}}, 0, true},
		{"removed, and a new start", [][]registrar.Worker{{other}, {second, other}}, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newLeavingPool(first, other)
				p.RecordAnnouncement(first, drainer.SignalAnswer)
				for _, list := range test.lists {
					p.Update(list, nil)
				}
				time.Sleep(test.wait)
				got := map[string]bool{}
				for range 100 {
					got[outcomeOf(p, newRequest())] = true
				}
				qt.Assert(t, got["w0"], qt.Equals, test.want)
				qt.Assert(t, got["w1"], qt.IsTrue)
			})
		})
	}
}

// An answer may announce it after the list has dropped the worker: listed again by a late
// write, it would get calls.
func TestAnnouncementOfAnUnlistedWorker(t *testing.T) {
	p := newLeavingPool(startOf(1, firstStart, 1, false))
	p.RecordAnnouncement(startOf(0, firstStart, 7, false), drainer.SignalAnswer)
	p.Update([]registrar.Worker{startOf(0, firstStart, 8, false)}, nil)
	qt.Assert(t, p.IsClosed(p.Find("w0")), qt.IsFalse) // Within the grace it is a last resort.
	for range 100 {
		p.Update([]registrar.Worker{startOf(0, firstStart, 8, false), startOf(1, firstStart, 1, false)}, nil)
		qt.Assert(t, outcomeOf(p, newRequest()), qt.Equals, "w1")
	}
}

// Pattern: all workers of a service are replaced while the list cannot be read. Guards
// against calls that are refused although their workers still serve, and against calls that
// are lost when the workers exit.
func TestAllWorkersLeave(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration // Since the announcements.
		other string        // The state of a worker that stays, or "".
		hedge bool
		want  string
	}{
		{"at once", 0, "", false, "w0"},
		{"shortly before the grace ends", leavingGrace - time.Millisecond, "", false, "w0"},
		{"after the grace", leavingGrace, "", false, "no-worker"},
		{"a hedge", 0, "", true, ""},
		{"another worker stays", 0, "usable", false, "w1"},
		{"another worker stays and has no capacity", time.Millisecond, "full", false, "w0"},
		{"another worker stays and has no capacity, after the grace", leavingGrace, "full", false, "overload"},
		{"another worker stays and is paused", 0, "paused", false, "w0"},
		{"the list has it as draining", 0, "listed", false, "no-worker"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				members := []registrar.Worker{startOf(0, firstStart, 1, test.other == "listed")}
				if test.other != "" && test.other != "listed" {
					members = append(members, startOf(1, firstStart, 1, false))
				}
				p := newLeavingPool(members...)
				reportAll(p, 0, 1)
				p.RecordAnnouncement(members[0], drainer.SignalHealthCheck)
				time.Sleep(test.after)
				if test.other == "full" {
					p.RecordReport(p.Find("w1"), tracker.NewReport(3, 9, 3, 1, p.Now()))
				}
				if test.other == "paused" {
					p.BackOff(p.Find("w1"))
				}
				if test.hedge {
					_, ok := p.TryHedge(context.Background(), newRequest().AsHedge())
					qt.Assert(t, ok, qt.IsFalse)
					return
				}
				qt.Assert(t, outcomeOf(p, newRequest()), qt.Equals, test.want)
			})
		})
	}
}

// Guards against a worker that goes on announcing its stop and gets calls: where starts
// cannot be told apart, an announcement counts for a minute, and each one anew.
func TestAnnouncementOfAnUnknownStart(t *testing.T) {
	tests := []struct {
		name string
		at   []time.Duration // When the worker announces its stop.
		want string
	}{
		{"once, a while ago", []time.Duration{0}, "w0"},
		{"again", []time.Duration{0, 2 * time.Minute}, "no-worker"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				member := startOf(0, 0, 0, false)
				p := newPool([]registrar.Worker{member}, limiter.WithPolicy(picker.ReportedLoad{}))
				began := time.Now()
				for _, at := range test.at {
					time.Sleep(time.Until(began.Add(at)))
					p.RecordAnnouncement(member, drainer.SignalAnswer)
				}
				time.Sleep(time.Until(began.Add(2*time.Minute + time.Second)))
				qt.Assert(t, outcomeOf(p, newRequest()), qt.Equals, test.want)
			})
		})
	}
}
