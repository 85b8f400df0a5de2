package tracker

import (
	"math"
	"time"

	"burdocklane/picker"
)

// Report is a worker's load report. Its time is a duration since the start of the
// process, like all times of a Worker.
type Report struct {
	running  int32
	waiting  int32
	slots    int32
	slowdown float64
	at       time.Duration
	sent     int64 // Calls that this instance had sent to the worker before the report arrived.
	fromPeer bool  // Received from a peer, not by a check or a response of this instance.
}

// NewReport returns a report of running and waiting calls, of slots, and of the
// slowdown: the duration of a call in proportion to the usual one, which is 1.
func NewReport(running, waiting, slots int32, slowdown float64, at time.Duration) Report {
	return Report{running: running, waiting: waiting, slots: slots, slowdown: slowdown, at: at}
}

// FromPeer returns r marked as received from a peer.
func (r Report) FromPeer() Report {
	r.fromPeer = true
	return r
}

// IsFromPeer reports whether the report was received from a peer.
func (r Report) IsFromPeer() bool { return r.fromPeer }

// At returns the time of the report.
func (r Report) At() time.Duration { return r.at }

// Running returns the number of calls that the worker was running.
func (r Report) Running() int32 { return r.running }

// Waiting returns the number of calls that were queued at the worker.
func (r Report) Waiting() int32 { return r.waiting }

// Slots returns the number of calls that the worker can run concurrently.
func (r Report) Slots() int32 { return r.slots }

// Slowdown returns the duration of a call in proportion to the usual one.
func (r Report) Slowdown() float64 { return r.slowdown }

// UpdateReport stores a report unless a later one is known. It reports whether it did.
func (w *Worker) UpdateReport(r Report) bool {
	r.sent = w.sent.Load()
	for {
		old := w.report.Load()
		if old != nil && old.at >= r.at {
			return false
		}
		if w.report.CompareAndSwap(old, &r) {
			return true
		}
	}
}

// Report returns the latest report, and false if there is none.
func (w *Worker) Report() (Report, bool) {
	r := w.report.Load()
	if r == nil {
		return Report{}, false
	}
	return *r, true
}

// ReportAge returns the age of the latest report.
func (w *Worker) ReportAge(now time.Duration) time.Duration {
	r := w.report.Load()
	if r == nil {
		return math.MaxInt64
	}
	return now - r.at
}

// Load returns an estimate of the worker's load by its report, the calls that were
// sent since, and the calls that peers have in flight.
func (w *Worker) Load(now time.Duration) picker.Load {
	cold := w.IsCold(now)
	// The calls on lent slots are also among the calls that the peers report.
	seen := w.OwnInFlight() + max(w.lent.Load(), w.peerCallsSum(now))
	r := w.report.Load()
	if r == nil {
		return picker.UnknownLoad(int32(w.Member().Slots())).WithKnownInFlight(seen).WithCold(cold)
	}
	since := int32(w.sent.Load() - r.sent)
	return picker.NewLoad(r.running, r.waiting, r.slots, r.slowdown, max(now-r.at, 0)).WithSentSinceReport(since).WithKnownInFlight(seen).WithCold(cold)
}
