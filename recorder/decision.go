// Package recorder writes the decision log, one JSON line per routing decision, and
// keeps the latest decisions in memory for the explain command. It never blocks a
// call: when its buffer is full, lines are dropped and counted.
package recorder

import (
	"fmt"
	"time"

	"burdocklane/descriptor"
	"burdocklane/registrar"

	"github.com/rs/zerolog"
)

// Decision is one routing decision for a call and its reason.
type Decision struct {
	id         string
	at         time.Time
	service    descriptor.ServiceName
	class      descriptor.ClassName
	attempt    int
	choice     string
	reason     string
	worker     registrar.WorkerID
	candidates fmt.Stringer
	waited     time.Duration
	took       time.Duration
	status     int
	target     time.Duration
	err        error
	revision   descriptor.Revision // Or 0 if no WithConfiguration was given.
	activeFor  time.Duration
}

// DecisionOption sets one property of a Decision.
type DecisionOption func(*Decision)

// WithClass sets the service and class of the call.
func WithClass(s descriptor.ServiceName, c descriptor.ClassName) DecisionOption {
	return func(d *Decision) { d.service, d.class = s, c }
}

// WithAttempt sets the number of the attempt, starting at 1, and its worker.
func WithAttempt(attempt int, worker registrar.WorkerID) DecisionOption {
	return func(d *Decision) { d.attempt, d.worker = attempt, worker }
}

// WithCandidates sets the summary of the candidate workers that the decision was based on.
func WithCandidates(candidates fmt.Stringer) DecisionOption {
	return func(d *Decision) { d.candidates = candidates }
}

// WithTimes sets how long the call waited for a slot and how long it has taken so
// far.
func WithTimes(waited, took time.Duration) DecisionOption {
	return func(d *Decision) { d.waited, d.took = waited, took }
}

// WithStatus sets the status of the response; zero means that there was none.
func WithStatus(status int) DecisionOption { return func(d *Decision) { d.status = status } }

// WithTarget sets the latency target of the call.
func WithTarget(target time.Duration) DecisionOption { return func(d *Decision) { d.target = target } }

// WithError sets the error of the attempt, or nil.
func WithError(err error) DecisionOption { return func(d *Decision) { d.err = err } }

// WithConfiguration sets the revision of the configuration that the decision was based on,
// and for how long it has been active.
func WithConfiguration(r descriptor.Revision, activeFor time.Duration) DecisionOption {
	return func(d *Decision) { d.revision, d.activeFor = r, activeFor }
}

// NewDecision returns a decision for the call with the given request ID.
func NewDecision(id string, at time.Time, choice, reason string, opts ...DecisionOption) Decision {
	d := Decision{id: id, at: at, choice: choice, reason: reason}
	for _, opt := range opts {
		opt(&d)
	}
	return d
}

// ID returns the request ID of the call.
func (d Decision) ID() string { return d.id }

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (d Decision) MarshalZerologObject(e *zerolog.Event) {
	e.Str("request-id", d.id).
		Time("at", d.at).
		Str("choice", d.choice).
		Str("reason", d.reason)
	if d.service != "" {
		e.Str("service", string(d.service)).Str("class", string(d.class))
	}
	if d.attempt > 0 {
		e.Int("attempt", d.attempt).Str("worker", string(d.worker))
	}
	if d.candidates != nil {
		e.Stringer("candidates", d.candidates)
	}
	if d.status != 0 {
		e.Int("status", d.status)
	}
	if d.err != nil {
		e.Str("error", d.err.Error())
	}
	if d.revision != 0 {
		e.Int64("revision", int64(d.revision)).Int64("active-ms", d.activeFor.Milliseconds())
	}
	if d.target > 0 {
		e.Int64("target-ms", d.target.Milliseconds())
	}
	e.Float64("waited-ms", milliseconds(d.waited))
	e.Float64("took-ms", milliseconds(d.took))
}

// milliseconds returns d in milliseconds, rounded to a tenth.
func milliseconds(d time.Duration) float64 {
	const tenth = 100 * time.Microsecond
	return float64(d.Round(tenth)/tenth) / 10
}
