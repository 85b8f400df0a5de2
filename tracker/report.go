package tracker

import (
	"math"
	"time"

	"burdocklane/picker"
)

// Report is what a worker said of its load at a time, measured like all times
// of a Worker.
type Report struct {
	running int32
	waiting int32
	slots   int32
	pace    float64
	at      time.Duration
	begun   int64 // Calls that this instance had begun there until then.
	heard   bool  // By a peer, not by this instance itself.
}

// NewReport returns a report of running and waiting calls, of slots, and of
// the pace, 1 being the usual time for a call.
func NewReport(running, waiting, slots int32, pace float64, at time.Duration) Report {
	return Report{running: running, waiting: waiting, slots: slots, pace: pace, at: at}
}

// Heard returns r as learnt from a peer.
func (r Report) Heard() Report {
	r.heard = true
	return r
}

// IsHeard tells whether the report was learnt from a peer.
func (r Report) IsHeard() bool { return r.heard }

// At returns when the worker was asked.
func (r Report) At() time.Duration { return r.at }

// Running returns the calls that the worker was running.
func (r Report) Running() int32 { return r.running }

// Waiting returns the calls that were waiting at the worker.
func (r Report) Waiting() int32 { return r.waiting }

// Slots returns how many calls the worker can run at once.
func (r Report) Slots() int32 { return r.slots }

// Pace returns the time for a call in proportion to the usual.
func (r Report) Pace() float64 { return r.pace }

// Reported takes over a report unless a later one is known, and returns
// whether it was taken.
func (w *Worker) Reported(r Report) bool {
	r.begun = w.begun.Load()
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

// Load returns what is known of the worker's load.
func (w *Worker) Load(now time.Duration) picker.Load {
	cold := now < time.Duration(w.coldUntil.Load())
	// The calls that were lent are the peers' own.
	seen := w.Own() + max(w.lent.Load(), w.peersCalls(now))
	r := w.report.Load()
	if r == nil {
		return picker.UnknownLoad(int32(w.Member().Slots())).Seen(seen).Cold(cold)
	}
	since := int32(w.begun.Load() - r.begun)
	return picker.NewLoad(r.running, r.waiting, r.slots, r.pace, max(now-r.at, 0)).Since(since).Seen(seen).Cold(cold)
}

// ColdUntil notes until when the worker is slow because it has just started.
func (w *Worker) ColdUntil(at time.Duration) { w.coldUntil.Store(int64(at)) }
