package picker

import (
	"math"
	"strconv"
	"time"
)

const (
	// slowdownDecay is the time constant with which a reported slowdown decays
	// to the default: the load of a worker's machine changes about that often.
	slowdownDecay = 500 * time.Millisecond
	// defaultSlowdown is the slowdown to expect of a worker without a recent
	// report.
	defaultSlowdown = 2.0
	// congestionThreshold is the share of a worker's slots in use from which
	// it starts to slow down.
	congestionThreshold = 0.8
	// DefaultCongestionFactor is how much slower a worker beyond
	// congestionThreshold is assumed to be until this has been observed.
	DefaultCongestionFactor = 1.7
	// coldStartFactor is how much slower a recently started worker is.
	coldStartFactor = 2.0
	// maxNormalSlowdown is the slowdown below which a worker counts as running
	// at normal speed.
	maxNormalSlowdown = 1.5
	// SlowdownThreshold is the slowdown from which a worker is too slow to wait for, so
	// that its calls are hedged at once.
	SlowdownThreshold = 3.0
	// maxLoggedAge is the age that logs show if there is no report.
	maxLoggedAge = time.Hour
)

// Load is the known load of a worker: its last report, the age of that report,
// and the calls that this instance has sent there since.
type Load struct {
	running          int32
	waiting          int32
	slots            int32
	slowdown         float64
	age              time.Duration
	sentSinceReport  int32
	knownInFlight    int32
	congestionFactor float64
	cold             bool
}

// NewLoad returns the load of a worker that reported its running and waiting
// calls and its slowdown, with a report of the given age. The slowdown is the
// time of a call in proportion to the usual time.
func NewLoad(running, waiting, slots int32, slowdown float64, age time.Duration) Load {
	return Load{running: running, waiting: waiting, slots: slots, slowdown: slowdown, age: age, congestionFactor: DefaultCongestionFactor}
}

// UnknownLoad returns the load of a worker without a report.
func UnknownLoad(slots int32) Load {
	return Load{slots: slots, slowdown: defaultSlowdown, age: math.MaxInt64, congestionFactor: DefaultCongestionFactor}
}

// WithSentSinceReport returns l with the number of calls sent to the worker since its
// report.
func (l Load) WithSentSinceReport(calls int32) Load {
	l.sentSinceReport = calls
	return l
}

// WithKnownInFlight returns l with the number of calls at the worker that the instances
// know of, independently of its report.
func (l Load) WithKnownInFlight(calls int32) Load {
	l.knownInFlight = calls
	return l
}

// WithCongestionFactor returns l with the factor by which the worker is slower
// beyond congestionThreshold.
func (l Load) WithCongestionFactor(factor float64) Load {
	l.congestionFactor = factor
	return l
}

// WithCold returns l with whether the worker has recently started.
func (l Load) WithCold(cold bool) Load {
	l.cold = cold
	return l
}

// Running returns the running calls of the last report.
func (l Load) Running() int32 { return l.running }

// Waiting returns the waiting calls of the last report.
func (l Load) Waiting() int32 { return l.waiting }

// Slots returns the slots of the last report, or those of the list without one.
func (l Load) Slots() int32 { return l.slots }

// Age returns the age of the last report, and false if there is none.
func (l Load) Age() (time.Duration, bool) { return l.age, l.age != math.MaxInt64 }

// SentSinceReport returns the number of calls sent since the last report.
func (l Load) SentSinceReport() int32 { return l.sentSinceReport }

// KnownInFlight returns the number of calls at the worker that the instances know of.
func (l Load) KnownInFlight() int32 { return l.knownInFlight }

// IsCold reports whether the worker has recently started.
func (l Load) IsCold() bool { return l.cold }

// AppendText appends the load in the format of logs. It does not use fmt,
// because it is called for every attempt.
func (l Load) AppendText(b []byte) []byte {
	b = appendCount(b, "running=", l.running)
	b = appendCount(b, " waiting=", l.waiting)
	b = appendCount(b, " slots=", l.slots)
	b = append(b, " pace="...)
	b = strconv.AppendFloat(b, l.slowdown, 'f', 2, 64)
	b = append(b, " age="...)
	b = append(b, min(l.age, maxLoggedAge).Round(time.Millisecond).String()...)
	b = appendCount(b, " since=", l.sentSinceReport)
	b = appendCount(b, " seen=", l.knownInFlight)
	if l.cold {
		b = append(b, " cold=true"...)
	}
	return b
}

func appendCount(b []byte, name string, count int32) []byte {
	return strconv.AppendInt(append(b, name...), int64(count), 10)
}

// AtNormalSpeed reports whether the worker runs at normal speed according to a
// recent report.
func (l Load) AtNormalSpeed() bool { return l.age < slowdownDecay && l.slowdown < maxNormalSlowdown }

// AtBaseLatency reports whether one more call would not be delayed by a slow,
// recently started or congested worker.
func (l Load) AtBaseLatency() bool { return l.AtNormalSpeed() && !l.cold && !l.Congested() }

// Slowdown returns the slowdown to expect now: the reported one, which decays
// to the default.
func (l Load) Slowdown() float64 {
	weight := math.Exp(-float64(l.age) / float64(slowdownDecay))
	return defaultSlowdown + weight*(l.slowdown-defaultSlowdown)
}

// prospectiveCalls returns the number of calls at the worker including one
// more: by the worker's report and the calls sent since, or by the calls that
// the instances know of, whichever is greater.
func (l Load) prospectiveCalls() float64 {
	return float64(max(l.running+l.waiting+l.sentSinceReport, l.knownInFlight, 0) + 1)
}

// Congested reports whether one more call would slow the worker down.
func (l Load) Congested() bool {
	return l.prospectiveCalls() > congestionThreshold*float64(max(l.slots, 1))
}

// Saturated reports whether one more call would have to queue at the worker.
func (l Load) Saturated() bool { return l.prospectiveCalls() > float64(max(l.slots, 1)) }

// ExpectedLatency returns how long one more call takes at the worker,
// including the time in its queue if all slots are taken. base is the latency
// without any delay.
func (l Load) ExpectedLatency(base time.Duration) time.Duration {
	slots := float64(max(l.slots, 1))
	latency := float64(base) * l.Slowdown()
	if l.cold {
		latency *= coldStartFactor
	}
	if l.Congested() {
		latency *= l.congestionFactor
	}
	wait := max(l.prospectiveCalls()-slots, 0) / slots * latency
	return time.Duration(latency + wait)
}
