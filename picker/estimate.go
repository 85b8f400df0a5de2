package picker

import (
	"math"
	"strconv"
	"time"
)

const (
	// paceMemory is the time in which what is known of a worker's pace fades:
	// its machine's load changes about that often.
	paceMemory = 500 * time.Millisecond
	// usualPace is the pace to expect of a worker that nothing is known of.
	usualPace = 2.0
	// crowdedShare of a worker's slots in use is where workers start to slow
	// down.
	crowdedShare = 0.8
	// CrowdedFactor is how much slower a worker beyond crowdedShare is taken to be
	// before any has shown it.
	CrowdedFactor = 1.7
	// coldFactor is how much slower a worker is that has just started.
	coldFactor = 2.0
	// calmPace is the pace under which a worker is not slowed by its machine.
	calmPace = 1.5
	// SlowPace is the pace from which a worker is too slow to wait for.
	SlowPace = 3.0
	// longestAge is the age that logs show of a report that there is none of.
	longestAge = time.Hour
)

// Load is what is known of a worker's load: its own report, how old it is, and
// the calls that this instance has sent there since.
type Load struct {
	running  int32
	waiting  int32
	slots    int32
	pace     float64
	age      time.Duration
	since    int32
	seen     int32
	crowding float64
	cold     bool
}

// NewLoad returns the load of a worker that reported running and waiting calls
// and its pace, 1 being the usual time for a call, an age ago.
func NewLoad(running, waiting, slots int32, pace float64, age time.Duration) Load {
	return Load{running: running, waiting: waiting, slots: slots, pace: pace, age: age, crowding: CrowdedFactor}
}

// UnknownLoad returns the load of a worker that has not reported any.
func UnknownLoad(slots int32) Load {
	return Load{slots: slots, pace: usualPace, age: math.MaxInt64, crowding: CrowdedFactor}
}

// Since returns l with the calls sent to the worker since its report.
func (l Load) Since(calls int32) Load {
	l.since = calls
	return l
}

// Seen returns l with the calls that the instances know to be at the worker,
// whatever it reports itself.
func (l Load) Seen(calls int32) Load {
	l.seen = calls
	return l
}

// Crowding returns l of a worker that is slower by the factor beyond the share of
// its slots at which workers start to slow down.
func (l Load) Crowding(factor float64) Load {
	l.crowding = factor
	return l
}

// Cold returns l of a worker that has just started.
func (l Load) Cold(cold bool) Load {
	l.cold = cold
	return l
}

// AppendText appends what is known, for logs. It is written for each attempt, and
// so without fmt.
func (l Load) AppendText(b []byte) []byte {
	b = appendCount(b, "running=", l.running)
	b = appendCount(b, " waiting=", l.waiting)
	b = appendCount(b, " slots=", l.slots)
	b = append(b, " pace="...)
	b = strconv.AppendFloat(b, l.pace, 'f', 2, 64)
	b = append(b, " age="...)
	b = append(b, min(l.age, longestAge).Round(time.Millisecond).String()...)
	b = appendCount(b, " since=", l.since)
	return appendCount(b, " seen=", l.seen)
}

func appendCount(b []byte, name string, count int32) []byte {
	return strconv.AppendInt(append(b, name...), int64(count), 10)
}

// AtPace tells whether the worker is at its usual pace, by a report that has not
// faded.
func (l Load) AtPace() bool { return l.age < paceMemory && l.pace < calmPace }

// Calm tells whether nothing holds one more call up.
func (l Load) Calm() bool { return l.AtPace() && !l.cold && !l.Crowded() }

// Pace returns the pace to expect now: what was reported, fading to the usual.
func (l Load) Pace() float64 {
	weight := math.Exp(-float64(l.age) / float64(paceMemory))
	return usualPace + weight*(l.pace-usualPace)
}

// calls returns how many calls one more would make, by the worker's report and
// what was sent since, or by what the instances know of each other.
func (l Load) calls() float64 {
	return float64(max(l.running+l.waiting+l.since, l.seen, 0) + 1)
}

// Crowded tells whether one more call would slow the worker down.
func (l Load) Crowded() bool { return l.calls() > crowdedShare*float64(max(l.slots, 1)) }

// Full tells whether one more call would have to wait for its turn.
func (l Load) Full() bool { return l.calls() > float64(max(l.slots, 1)) }

// Estimate returns how long a call takes at the worker that takes base when
// nothing holds it up: its pace, and its turn if the slots are taken.
func (l Load) Estimate(base time.Duration) time.Duration {
	slots := float64(max(l.slots, 1))
	each := float64(base) * l.Pace()
	if l.cold {
		each *= coldFactor
	}
	if l.Crowded() {
		each *= l.crowding
	}
	wait := max(l.calls()-slots, 0) / slots * each
	return time.Duration(each + wait)
}
