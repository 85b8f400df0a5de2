// Package limiter admits calls to the slots of a service's workers: a call is
// granted a slot, waits for one, or is refused as not run.
package limiter

import (
	"time"

	"burdocklane/registrar"
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
