// Package limiter admits calls to the slots of a service's workers: a call is
// granted a slot, waits for one, or is refused as not run.
package limiter

import (
	"strconv"
	"time"

	"burdocklane/picker"
	"burdocklane/registrar"
	"burdocklane/tracker"
)

// Reason says why a call was refused. In every case it has not run.
type Reason string

// Reasons of a Refused admission.
const (
	ReasonNoWorker  Reason = "no-worker"
	ReasonQueueFull Reason = "queue-full"
	ReasonOverload  Reason = "overload"
	ReasonDeadline  Reason = "deadline"
	ReasonCancelled Reason = "cancelled"
)

// Ask is one request for a slot.
type Ask struct {
	caller   string
	target   time.Duration
	deadline time.Time
	avoid    []registrar.WorkerID
	lending  bool
	onTime   time.Time
	from     option[registrar.Place]
	onBehalf bool
	near     bool
	spare    bool
	second   bool
}

// AskOption sets one property of an Ask.
type AskOption func(*Ask)

// WithCaller names the caller, so that one caller's calls do not overtake the
// others' by their number.
func WithCaller(caller string) AskOption { return func(a *Ask) { a.caller = caller } }

// WithAvoid names workers that earlier attempts were sent to.
func WithAvoid(workers ...registrar.WorkerID) AskOption {
	return func(a *Ask) { a.avoid = workers }
}

// ForPeer marks an ask on behalf of a peer: it waits behind all own calls.
func ForPeer() AskOption { return func(a *Ask) { a.lending = true } }

// NewAsk returns an ask of a class with the target latency, which is of no use
// after the deadline.
func NewAsk(target time.Duration, deadline time.Time, opts ...AskOption) Ask {
	a := Ask{target: target, deadline: deadline}
	for _, opt := range opts {
		opt(&a)
	}
	return a
}

// OnTimeUntil returns a of a call that is on time if it is answered by then.
func (a Ask) OnTimeUntil(at time.Time) Ask {
	a.onTime = at
	return a
}

// Near returns a that only takes workers of the region.
func (a Ask) Near() Ask {
	a.near = true
	return a
}

// OnBehalf returns a of a call that another instance sends.
func (a Ask) OnBehalf() Ask {
	a.onBehalf = true
	return a
}

// From returns a of a call that is sent from another place than the pool's own.
func (a Ask) From(place registrar.Place) Ask {
	a.from = option[registrar.Place]{value: place, set: true}
	return a
}

// option is a value that may be absent.
type option[T any] struct {
	value T
	set   bool
}

// Target returns the class's target.
func (a Ask) Target() time.Duration { return a.target }

// OnTime returns until when an answer is on time.
func (a Ask) OnTime() time.Time { return a.onTime }

// Deadline returns when the call is of no use any more.
func (a Ask) Deadline() time.Time { return a.deadline }

// Avoided returns the workers that earlier attempts were sent to.
func (a Ask) Avoided() []registrar.WorkerID { return a.avoid }

// Spare tells whether the call must take nobody's room.
func (a Ask) Spare() bool { return a.spare }

// late tells whether an answer can no longer be on time.
func (a *Ask) late() bool { return time.Until(a.onTime) <= 0 }

// Hurried returns a that takes nobody's room, without use after it would be
// late, if that is still to come.
func (a Ask) Hurried() Ask {
	if !a.late() {
		a.deadline = a.onTime
	}
	a.spare = true
	return a
}

// Second returns a of a second attempt beside a first one: it is hurried, and may
// come late if nothing else needs the room.
func (a Ask) Second() Ask {
	a = a.Hurried()
	a.second = true
	return a
}

// IsSecond tells whether the call already has an attempt under way.
func (a Ask) IsSecond() bool { return a.second }

func (a *Ask) avoids(id registrar.WorkerID) bool {
	for _, worker := range a.avoid {
		if worker == id {
			return true
		}
	}
	return false
}

// Admission is the answer to an Ask: Granted or Refused.
type Admission interface{ admission() }

// Granted is the right to send one call to a worker. Release gives it back.
type Granted struct {
	pool   *Pool
	worker *tracker.Worker
	loan   *Loan
	target time.Duration
	waited time.Duration
	seen   Seen
	// overflow marks a slot beyond the instance's own.
	overflow bool
	// onBehalf marks a slot that a call of another instance uses.
	onBehalf bool
	assigned *assignment
}

// Refused says why no slot was granted.
type Refused struct {
	reason Reason
	waited time.Duration
	seen   Seen
}

func (Granted) admission() {}
func (Refused) admission() {}

// Worker returns the worker to send to.
func (g Granted) Worker() *tracker.Worker { return g.worker }

// Waited returns how long the call waited for the slot.
func (g Granted) Waited() time.Duration { return g.waited }

// Borrowed tells whether a peer lent the slot.
func (g Granted) Borrowed() bool { return g.loan != nil }

// Overflowed tells whether the slot is beyond the instance's own.
func (g Granted) Overflowed() bool { return g.overflow }

// Assigned tells whether another instance decided.
func (g Granted) Assigned() bool { return g.assigned != nil }

// Seen returns what the decision was made from.
func (g Granted) Seen() Seen { return g.seen }

// Release gives the slot back; it must be called once.
func (g Granted) Release() {
	if g.onBehalf {
		g.worker.AddLent(-1)
	}
	g.pool.release(g.worker, g.loan)
	if g.assigned != nil {
		g.assigned.done(Finding(g.assigned.finding.Load()))
	}
}

// Reason says why the call was refused.
func (r Refused) Reason() Reason { return r.reason }

// Waited returns how long the call waited before it was refused.
func (r Refused) Waited() time.Duration { return r.waited }

// Seen returns what the decision was made from.
func (r Refused) Seen() Seen { return r.seen }

// Seen sums up the candidates of a decision, for the decision log.
type Seen struct {
	total    int32
	usable   int32
	free     int32
	queued   int32
	inFlight int32
	chosen   picker.Load // What was known of the chosen worker, if it reports.
	expected time.Duration
}

// Expected returns the time that the call was expected to take, or 0.
func (s Seen) Expected() time.Duration { return s.expected }

// String returns the counts in a fixed form for logs and explain.
func (s Seen) String() string {
	const usualBytes = 160
	b := make([]byte, 0, usualBytes)
	if s.total != 0 || s.expected == 0 { // Else another instance has weighed the candidates.
		b = s.appendCounts(b)
	}
	if s.expected == 0 {
		return string(b)
	}
	if len(b) > 0 {
		b = append(b, ' ')
	}
	b = s.chosen.AppendText(b)
	b = append(b, " expected="...)
	return string(append(b, s.expected.Round(time.Millisecond).String()...))
}

func (s Seen) appendCounts(b []byte) []byte {
	counts := [...]struct {
		name  string
		count int32
	}{{"total=", s.total}, {" usable=", s.usable}, {" free=", s.free}, {" in-flight=", s.inFlight}, {" queued=", s.queued}}
	for _, c := range counts {
		b = strconv.AppendInt(append(b, c.name...), int64(c.count), 10)
	}
	return b
}
