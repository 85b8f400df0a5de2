// Package picker chooses the worker for one attempt of a call. It is a pure
// function of plain values: it uses no clock, network or locks.
package picker

import "time"

// Decision is the result of a pick: Send, Wait or Refuse.
type Decision interface{ decision() }

// Send selects a candidate for the attempt.
type Send struct{ index int32 }

// Wait says that there are usable candidates, but none has capacity for the
// call.
type Wait struct{}

// Refuse says that no candidate is usable.
type Refuse struct{}

func (Send) decision()   {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// Index returns the index of the selected candidate.
func (s Send) Index() int { return int(s.index) }

// State says whether a candidate may be used.
type State uint8

const (
	// Usable candidates take calls.
	Usable State = iota
	// Suspect candidates are late with a call in flight or report themselves
	// as unhealthy. They are used if no other candidate has a free slot.
	Suspect
	// Ejected candidates failed repeatedly and get no calls, unless too many
	// are ejected.
	Ejected
	// Paused candidates get no calls for a while, because they are overloaded
	// or unreachable.
	Paused
	// Leaving candidates take no new calls.
	Leaving
	// LastResort candidates are about to stop, and get calls only if no other
	// candidate is usable.
	LastResort
	// Excluded candidates must not get the call, whatever the state of the others.
	Excluded
	// Spent candidates take the call a little later, as their allowance is spent.
	Spent
)

// String returns the name of s in logs.
func (s State) String() string {
	return [...]string{"usable", "suspect", "ejected", "paused", "leaving", "last-resort", "excluded", "spent"}[s]
}

// Candidate is what the instance knows of one worker.
type Candidate struct {
	inFlight      int32
	limit         int32
	latency       int64
	distance      uint8
	state         State
	avoid         bool
	congested     bool
	saturated     bool
	declineShare  float32
	reportedCalls int32
}

// CandidateOption sets an optional property of a Candidate.
type CandidateOption func(*Candidate)

// WithState sets the state of the worker.
func WithState(s State) CandidateOption { return func(c *Candidate) { c.state = s } }

// WithDistance sets the distance between the localities of the instance and
// the worker.
func WithDistance(d int) CandidateOption { return func(c *Candidate) { c.distance = uint8(d) } }

// WithAvoid marks a worker that an earlier attempt of the call was sent to.
func WithAvoid(avoid bool) CandidateOption { return func(c *Candidate) { c.avoid = avoid } }

// WithReportedCalls sets the number of calls that the worker last reported.
func WithReportedCalls(calls int32) CandidateOption {
	return func(c *Candidate) { c.reportedCalls = calls }
}

// NewCandidate returns a candidate with the instance's own calls in flight,
// its limit for the worker, and the expected latency in nanoseconds.
func NewCandidate(inFlight, limit int32, latency int64, opts ...CandidateOption) Candidate {
	c := Candidate{inFlight: inFlight, limit: limit, latency: latency}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}

// MakeCandidate is NewCandidate without options, whose closures would allocate
// on the request path.
func MakeCandidate(inFlight, limit int32, latency int64, distance int, state State, avoid bool, reportedCalls int32) Candidate {
	return Candidate{
		inFlight: inFlight, limit: limit, latency: latency,
		distance: uint8(distance), state: state, avoid: avoid, reportedCalls: reportedCalls,
	}
}

// InFlight returns the number of the instance's own calls at the worker.
func (c Candidate) InFlight() int32 { return c.inFlight }

// Limit returns the maximum number of the instance's calls at the worker.
func (c Candidate) Limit() int32 { return c.limit }

// Latency returns the expected latency in nanoseconds.
func (c Candidate) Latency() int64 { return c.latency }

// State returns whether the worker may be used.
func (c Candidate) State() State { return c.state }

// Remote reports whether the worker is in another region.
func (c Candidate) Remote() bool { return c.distance >= RemoteDistance }

// AsExcluded returns c as a candidate that must not get the call.
func (c Candidate) AsExcluded() Candidate {
	c.state = Excluded
	return c
}

// AsSpent returns c as a candidate whose allowance is spent, unless it is not usable anyway.
func (c Candidate) AsSpent() Candidate {
	if routable(c.state) {
		c.state = Spent
	}
	return c
}

// Readmitted returns c as usable if it was ejected.
func (c Candidate) Readmitted() Candidate {
	if c.state == Ejected {
		c.state = Usable
	}
	return c
}

// AsLastResort returns c as usable if it may serve as a last resort.
func (c Candidate) AsLastResort() Candidate {
	if c.state == LastResort {
		c.state = Usable
	}
	return c
}

// AtDistance returns c with another distance.
func (c Candidate) AtDistance(distance int) Candidate {
	c.distance = uint8(distance)
	return c
}

// WithLoad returns c with the latency to expect under the worker's load.
func (c Candidate) WithLoad(l Load, base time.Duration) Candidate {
	c.latency, c.congested, c.saturated = int64(l.ExpectedLatency(base)), l.Congested(), l.Saturated()
	return c
}

// WithDeclineShare returns c with the share of calls that the worker declines.
func (c Candidate) WithDeclineShare(share float64) Candidate {
	c.declineShare = float32(share)
	return c
}

// Capped returns c with its limit lowered to at most maxCalls.
func (c Candidate) Capped(maxCalls int32) Candidate {
	c.limit = min(c.limit, maxCalls)
	return c
}
