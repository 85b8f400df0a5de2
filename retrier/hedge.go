package retrier

import (
	"time"

	"burdocklane/picker"
)

const (
	// hedgeFactor times the mean latency is when a second attempt starts, if
	// nothing is known of the first one's worker.
	hedgeFactor = 2.5
	// hedgeFloor is the shortest delay of a hedged request: below it the
	// precision of timers and the machine's own noise would start them.
	hedgeFloor = 2 * time.Millisecond
	// lateFactor times the usual time is when a call is late at a worker that
	// reports a good pace.
	lateFactor = 1.7
	// leastFactor times the usual time is when a call may be taken for late at all:
	// ordinary calls differ by that much.
	leastFactor = 1.25
	// chanceFactor times the usual time is what a second attempt needs to be on
	// time.
	chanceFactor = 1.1
	// lookAgain is how long after a look at a worker's pace the next one is due.
	lookAgain = 15 * time.Millisecond
)

// HedgeStep says when a second attempt starts beside the first: Hedge or Later.
type HedgeStep interface{ hedgeStep() }

// Hedge says that the second attempt is due.
type Hedge struct{}

// Later says when to look again.
type Later struct{ delay time.Duration }

func (Hedge) hedgeStep() {}
func (Later) hedgeStep() {}

// Delay returns how long to wait before the next look.
func (l Later) Delay() time.Duration { return l.delay }

// Outlook is what is known of an attempt that is under way: the time that a
// call usually takes, the pace of its worker, if the worker reports it, and what
// is left until the answer would be late.
type Outlook struct {
	usual time.Duration
	pace  float64
	known bool
	left  time.Duration
}

// NewOutlook returns the outlook of an attempt; known tells whether the pace,
// 1 being the usual, is the worker's own.
func NewOutlook(usual time.Duration, pace float64, known bool, left time.Duration) Outlook {
	return Outlook{usual: usual, pace: pace, known: known, left: left}
}

// due returns when, after the attempt's start, a second one is due at a worker
// that reports a good pace: while it can still be on time, if that is soon.
func (o Outlook) due(elapsed time.Duration) time.Duration {
	usual := float64(o.usual)
	lastChance := elapsed + o.left - time.Duration(chanceFactor*usual)
	due := min(time.Duration(lateFactor*usual), max(lastChance, time.Duration(leastFactor*usual)))
	return max(due, lookAgain)
}

// LookAgain returns when to look at a refused hedge again.
func LookAgain() Later { return Later{delay: lookAgain} }

// HedgeAfter says whether a second attempt is due when the first has taken the
// given time. A worker's report that it has become slow makes it due at once.
func HedgeAfter(o Outlook, elapsed time.Duration) HedgeStep {
	if !o.known {
		return hedgeAt(max(time.Duration(hedgeFactor*float64(o.usual)), hedgeFloor), elapsed)
	}
	if o.pace >= picker.SlowPace {
		return Hedge{}
	}
	switch s := hedgeAt(o.due(elapsed), elapsed).(type) {
	case Later:
		return Later{delay: min(s.delay, lookAgain)}
	default:
		return s
	}
}

func hedgeAt(due, elapsed time.Duration) HedgeStep {
	if elapsed >= due {
		return Hedge{}
	}
	return Later{delay: due - elapsed}
}
