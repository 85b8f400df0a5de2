package retrier

import (
	"time"

	"burdocklane/picker"
)

const (
	// hedgeFactor times the mean latency is the delay of a hedged attempt if the
	// first one's worker reports no load.
	hedgeFactor = 2.5
	// minHedgeDelay is the minimum delay of a hedged attempt at a worker that reports
	// no load. With a shorter one, timer imprecision and scheduling noise would
	// trigger hedges.
	minHedgeDelay = 2 * time.Millisecond
	// lateFactor times the usual latency is when a call counts as late at a worker
	// that reports no slowdown.
	lateFactor = 1.7
	// minLateFactor times the usual latency is the earliest time at which a call may
	// count as late: the latency of ordinary calls varies by that much.
	minLateFactor = 1.25
	// hedgeDurationFactor times the usual latency is the time that a hedged attempt
	// needs in order to meet the latency target.
	hedgeDurationFactor = 1.1
	// recheckInterval is the interval between checks of a worker's reported slowdown.
	recheckInterval = 15 * time.Millisecond
)

// HedgeDecision is the decision whether to start a hedged attempt: [HedgeNow] or [CheckLater].
type HedgeDecision interface{ hedgeDecision() }

// HedgeNow means that the hedged attempt is due now.
type HedgeNow struct{}

// CheckLater means that the hedged attempt is not due and when to check again.
type CheckLater struct{ delay time.Duration }

func (HedgeNow) hedgeDecision()   {}
func (CheckLater) hedgeDecision() {}

// Delay returns how long to wait before the next check.
func (c CheckLater) Delay() time.Duration { return c.delay }

// Estimate describes an attempt in flight: the usual latency of a call, the slowdown
// of its worker, if the worker reports its load, and the time that remains to meet
// the latency target.
type Estimate struct {
	usualLatency time.Duration
	slowdown     float64
	reported     bool
	remaining    time.Duration
}

// NewEstimate returns the estimate for an attempt. A slowdown of 1 is the usual speed;
// reported is whether the worker itself reported it.
func NewEstimate(usualLatency time.Duration, slowdown float64, reported bool, remaining time.Duration) Estimate {
	return Estimate{usualLatency: usualLatency, slowdown: slowdown, reported: reported, remaining: remaining}
}

// hedgeDelay returns the time after the attempt's start at which a hedged attempt is
// due if the worker reports no slowdown: when the attempt is late, or earlier if the
// hedged attempt could otherwise no longer meet the latency target.
func (e Estimate) hedgeDelay(elapsed time.Duration) time.Duration {
	usual := float64(e.usualLatency)
	latestUseful := elapsed + e.remaining - time.Duration(hedgeDurationFactor*usual)
	delay := min(time.Duration(lateFactor*usual), max(latestUseful, time.Duration(minLateFactor*usual)))
	return max(delay, recheckInterval)
}

// Recheck returns the decision to check again after a hedged attempt was due but
// got no slot or no budget.
func Recheck() CheckLater { return CheckLater{delay: recheckInterval} }

// DecideHedge decides whether a hedged attempt is due when the first one has been in
// flight for the elapsed time. It is due at once if the worker reports that it has
// become slow.
func DecideHedge(e Estimate, elapsed time.Duration) HedgeDecision {
	if !e.reported {
		return hedgeAt(max(time.Duration(hedgeFactor*float64(e.usualLatency)), minHedgeDelay), elapsed)
	}
	if e.slowdown >= picker.SlowdownThreshold {
		return HedgeNow{}
	}
	switch s := hedgeAt(e.hedgeDelay(elapsed), elapsed).(type) {
	case CheckLater:
		return CheckLater{delay: min(s.delay, recheckInterval)}
	default:
		return s
	}
}

// hedgeAt returns [HedgeNow] if the delay has elapsed, and otherwise the time that remains.
func hedgeAt(dueAfter, elapsed time.Duration) HedgeDecision {
	if elapsed >= dueAfter {
		return HedgeNow{}
	}
	return CheckLater{delay: dueAfter - elapsed}
}
