package gossiper

import (
	"sync/atomic"
	"time"

	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/tracker"
)

// target is a worker of the region that health checks and gossip cover.
type target struct {
	worker *tracker.Worker
	pool   *limiter.Pool
	path   string
	hash   uint32
	state  *state
	// refresh is the target interval between load reports.
	refresh time.Duration
}

// refreshIntervalFor returns the target interval between load reports of the workers of a
// service whose shortest target is given.
func refreshIntervalFor(shortestTarget time.Duration) time.Duration {
	interval := time.Duration(refreshTargetShare * float64(shortestTarget))
	return min(max(interval, refreshInterval), maxRefreshInterval)
}

// state is kept across changes of the snapshot.
type state struct {
	checking    atomic.Bool  // A check is in progress.
	unreachable atomic.Bool  // The last check got no answer, which has not been sent yet.
	sentReport  atomic.Int64 // The time of the last report that was sent.
	calls       atomic.Int32 // The number of calls that was last sent.
	condition   atomic.Int32 // The condition that was last sent to all coordinators.
	coldUntil   atomic.Int64 // The end of the worker's warm-up by the checks of this instance.
}

// checkDue reports whether the worker needs a check: its report is old, the worker
// is not about to stop, and its address has not gone to another worker.
func (t *target) checkDue() bool {
	now := t.pool.Now()
	return t.path != "" && t.worker.ReportAge(now) >= t.refresh-recheckMargin && t.worker.LeavingFor(now) == 0
}

// recordWarmup records what a check of this instance says of the worker's warm-up. It reports
// whether the worker has turned cold and gets fewer calls for it. Only own checks are passed
// on to peers: instances that repeat each other would keep a worker cold for ever.
func (t *target) recordWarmup(left time.Duration) bool {
	now := t.pool.Now()
	wasCold := t.state.coldUntil.Swap(int64(now+left)) > int64(now)
	t.pool.RecordWarmup(t.worker, left)
	return !wasCold && t.pool.IsColdLimited(t.worker)
}

// takeUpdate returns what this instance itself has observed of the worker since the
// last call, and false if there is nothing new.
func (t *target) takeUpdate() (record, bool) {
	calls := t.worker.OwnInFlight()
	r := record{Worker: t.hash, Calls: clampUint8(calls)}
	fresh := t.state.calls.Swap(calls) != calls
	if t.state.unreachable.Swap(false) {
		r.Flags |= flagUnreachable
		return r, true
	}
	report, ok := t.worker.Report()
	if ok && !report.IsFromPeer() && int64(report.At()) > t.state.sentReport.Load() {
		t.state.sentReport.Store(int64(report.At()))
		r.setReport(report, t.pool.Now())
		fresh = true
	}
	if t.worker.Unhealthy() {
		r.Flags |= flagUnhealthy
	}
	if int64(t.pool.Now()) < t.state.coldUntil.Load() {
		r.Flags |= flagCold
	}
	return r, fresh
}

// Conditions of a worker.
const (
	conditionNormal = int32(iota)
	conditionSlow
	conditionCold
	conditionUnhealthy
	conditionUnreachable
)

func (r record) condition() int32 {
	switch {
	case r.Flags&flagUnreachable != 0:
		return conditionUnreachable
	case r.Flags&flagUnhealthy != 0:
		return conditionUnhealthy
	case r.Flags&flagCold != 0:
		return conditionCold
	case float64(r.SlowdownPercent) >= picker.SlowdownThreshold*percent:
		return conditionSlow
	}
	return conditionNormal
}

// changed reports whether the record's condition differs from the last one. A worker
// that did not answer always counts as changed.
func (t *target) changed(r record) bool {
	if r.Flags == 0 {
		return false
	}
	condition := r.condition()
	return t.state.condition.Swap(condition) != condition || condition == conditionUnreachable
}

// apply updates the worker by a record that a peer has sent.
func (t *target) apply(sender uint32, r record) {
	t.worker.SetPeerCalls(sender, int32(r.Calls), t.pool.Now())
	if r.Flags&flagUnreachable != 0 {
		t.pool.BackOff(t.worker)
		return
	}
	if r.Flags&flagCold != 0 {
		t.pool.RecordPeerCold(t.worker)
	}
	if r.Flags&flagReport != 0 && t.pool.RecordReport(t.worker, r.report(t.pool.Now())) {
		t.worker.SetUnhealthy(r.Flags&flagUnhealthy != 0)
	}
}
