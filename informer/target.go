package informer

import (
	"sync/atomic"

	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/tracker"
)

// target is a worker of the region.
type target struct {
	worker *tracker.Worker
	pool   *limiter.Pool
	path   string
	hash   uint32
	state  *state
}

// state is what outlives a change of the snapshot.
type state struct {
	busy  atomic.Bool  // A check is under way.
	away  atomic.Bool  // The last check had no answer, which is still to be told.
	told  atomic.Int64 // The time of the last report that was told.
	calls atomic.Int32 // The calls that were last told.
	mood  atomic.Int32 // The mood that everybody was last told.
}

// due tells whether the worker is to be checked: its report is old, and it is
// neither leaving nor has its address gone to another worker.
func (t *target) due() bool {
	now := t.pool.Now()
	return t.path != "" && t.worker.ReportAge(now) >= freshAge && t.worker.LeavingFor(now) == 0
}

// news returns what is new of the worker, if this instance learnt it itself.
func (t *target) news() (record, bool) {
	calls := t.worker.Own()
	r := record{Worker: t.hash, Calls: small(calls)}
	fresh := t.state.calls.Swap(calls) != calls
	if t.state.away.Swap(false) {
		r.Flags |= flagAway
		return r, true
	}
	report, ok := t.worker.Report()
	if ok && !report.IsHeard() && int64(report.At()) > t.state.told.Load() {
		t.state.told.Store(int64(report.At()))
		r.setReport(report, t.pool.Now())
		fresh = true
	}
	if t.worker.Ailing() {
		r.Flags |= flagAil
	}
	return r, fresh
}

// Moods of a worker.
const (
	moodCalm = int32(iota)
	moodSlow
	moodUnwell
	moodAway
)

func (r record) mood() int32 {
	switch {
	case r.Flags&flagAway != 0:
		return moodAway
	case r.Flags&flagAil != 0:
		return moodUnwell
	case float64(r.Percent) >= picker.SlowPace*percent:
		return moodSlow
	}
	return moodCalm
}

// turned tells whether the record shows another mood than the last one did.
func (t *target) turned(r record) bool {
	if r.Flags == 0 {
		return false
	}
	mood := r.mood()
	return t.state.mood.Swap(mood) != mood || mood == moodAway
}

// hear takes over a peer's word.
func (t *target) hear(sender uint32, r record) {
	t.worker.HearCalls(sender, int32(r.Calls), t.pool.Now())
	if r.Flags&flagAway != 0 {
		t.pool.Away(t.worker)
		return
	}
	if r.Flags&flagReport != 0 && t.pool.Reported(t.worker, r.report(t.pool.Now())) {
		t.worker.SetAiling(r.Flags&flagAil != 0)
	}
}
