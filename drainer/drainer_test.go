package drainer_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"burdocklane/drainer"
	"burdocklane/registrar"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// Starts of a worker, in Unix milliseconds.
const (
	firstStart  = 1700000000000
	secondStart = 1700000009000
)

var began = time.Unix(1_700_000_100, 0)

// registration returns a registration of the worker "w".
func registration(start, sequence int64, leaving bool) registrar.Worker {
	return registrar.NewWorker("w", "s", "10.0.0.1:1", registrar.NewLocality("r", "z"), 3, leaving).
		WithStart(start, 0).WithSequence(sequence)
}

// standingText returns the standing without its time.
func standingText(s drainer.Standing) string {
	return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", s), "drainer."))
}

func announced(start int64) drainer.Fact {
	return drainer.NewAnnounced(registration(start, 1, false), drainer.SignalAnswer)
}

// Guards against calls to a worker that has announced that it is about to stop, for as long
// as it serves on, and against a new start of it that is kept out.
func TestAnnouncements(t *testing.T) {
	tests := []struct {
		name  string
		facts []drainer.Fact
		start int64
		want  string
	}{
		{"none", nil, firstStart, "open"},
		{"of this start", []drainer.Fact{announced(firstStart)}, firstStart, "leaving"},
		{"twice", []drainer.Fact{announced(firstStart), announced(firstStart)}, firstStart, "leaving"},
		{"of the start before", []drainer.Fact{announced(firstStart)}, secondStart, "open"},
		{"of this start, and then late of the one before", []drainer.Fact{announced(secondStart), announced(firstStart)}, secondStart, "leaving"},
		{"of the start before, and then of this one", []drainer.Fact{announced(firstStart), announced(secondStart)}, secondStart, "leaving"},
		{"of an unknown start, from which the next one cannot be told", []drainer.Fact{announced(0)}, 0, "open"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ledger := drainer.New()
			for _, f := range test.facts {
				ledger.Observe(f, began)
			}
			c.Assert(standingText(ledger.Standing(registration(test.start, 9, false), began)), qt.Equals, test.want)
			if l, ok := ledger.Standing(registration(test.start, 9, false), began).(drainer.Leaving); ok {
				c.Assert(l.Since(), qt.Equals, began)
			}
		})
	}
}

// On-call engineers have to find when and how an instance learnt that a worker is about to
// stop: in one line, not in one for each answer.
func TestAnnouncementIsLoggedOnce(t *testing.T) {
	c := qt.New(t)
	var log bytes.Buffer
	ledger := drainer.New(drainer.WithLog(zerolog.New(&log)))
	for range 3 {
		ledger.Observe(drainer.NewAnnounced(registration(firstStart, 7, false), drainer.SignalHealthCheck), began)
	}
	c.Assert(log.String(), qt.Equals, `{"level":"info","worker":"w","start":1700000000000,"sequence":7,"signal":"health-check",`+
		`"message":"worker has announced that it is about to stop"}`+"\n")
}

// Workers come and go for as long as an instance runs: what it remembers of them has to be
// bounded, and the latest ones count.
func TestLedgerIsBounded(t *testing.T) {
	const workers = 10_000 // More than a ledger holds.
	c := qt.New(t)
	ledger := drainer.New()
	member := func(n int) registrar.Worker {
		id := registrar.WorkerID(fmt.Sprint(n))
		return registrar.NewWorker(id, "s", "10.0.0.1:1", registrar.NewLocality("r", "z"), 3, false).WithStart(firstStart, 0)
	}
	remembered := 0
	for n := range workers {
		ledger.Observe(drainer.NewAnnounced(member(n), drainer.SignalAnswer), began.Add(time.Duration(n)))
	}
	for n := range workers {
		if _, ok := ledger.Standing(member(n), began).(drainer.Leaving); ok {
			remembered++
		}
	}
	c.Assert(remembered, qt.Equals, 8192)
	c.Assert(standingText(ledger.Standing(member(0), began)), qt.Equals, "open")
	c.Assert(standingText(ledger.Standing(member(workers-1), began)), qt.Equals, "leaving")
}
