// Package picker chooses the worker for one attempt of a call. It takes plain
// values and gives a plain value: no clock, no network, no locks.
package picker

import "time"

// Decision is what a policy says of a call: one of Send, Wait or Refuse.
type Decision interface{ decision() }

// Send chooses a candidate for the attempt.
type Send struct{ index int32 }

// Wait says that every usable candidate is at its limit.
type Wait struct{}

// Refuse says that no candidate can be used at all.
type Refuse struct{}

func (Send) decision()   {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// Index returns the position of the chosen worker among the candidates.
func (s Send) Index() int { return int(s.index) }

// State tells whether a candidate may be used.
type State uint8

const (
	// Usable candidates take calls.
	Usable State = iota
	// Suspect candidates are late with a call in flight; they are used when no
	// other has a free slot.
	Suspect
	// Ejected candidates failed repeatedly and rest, unless too many do.
	Ejected
	// Paused candidates asked for no calls for a while.
	Paused
	// Leaving candidates take no new calls.
	Leaving
)

// String returns the word of s in logs.
func (s State) String() string {
	return [...]string{"usable", "suspect", "ejected", "paused", "leaving"}[s]
}

// Candidate is what the instance itself has seen of one worker.
type Candidate struct {
	inFlight int32
	limit    int32
	latency  int64
	distance uint8
	state    State
	avoid    bool
	crowded  bool
	full     bool
	declines float32
	remote   int32
}

// CandidateOption sets one property of a Candidate.
type CandidateOption func(*Candidate)

// WithState sets whether the candidate may be used.
func WithState(s State) CandidateOption { return func(c *Candidate) { c.state = s } }

// WithDistance sets the distance of the worker, as registrar.Place counts it.
func WithDistance(d int) CandidateOption { return func(c *Candidate) { c.distance = uint8(d) } }

// WithAvoid marks a worker that an earlier attempt of the call was sent to.
func WithAvoid(avoid bool) CandidateOption { return func(c *Candidate) { c.avoid = avoid } }

// WithRemote sets the number of calls that the worker itself last reported.
func WithRemote(calls int32) CandidateOption { return func(c *Candidate) { c.remote = calls } }

// NewCandidate returns a candidate with the instance's own calls in flight,
// its limit for the worker, and the expected latency in nanoseconds.
func NewCandidate(inFlight, limit int32, latency int64, opts ...CandidateOption) Candidate {
	c := Candidate{inFlight: inFlight, limit: limit, latency: latency}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}

// MakeCandidate is NewCandidate without options, for the path of a request,
// where closures would allocate.
func MakeCandidate(inFlight, limit int32, latency int64, distance int, state State, avoid bool, remote int32) Candidate {
	return Candidate{
		inFlight: inFlight, limit: limit, latency: latency,
		distance: uint8(distance), state: state, avoid: avoid, remote: remote,
	}
}

// InFlight returns the instance's own calls at the worker.
func (c Candidate) InFlight() int32 { return c.inFlight }

// Limit returns the instance's limit of calls at the worker.
func (c Candidate) Limit() int32 { return c.limit }

// Latency returns the expected latency in nanoseconds.
func (c Candidate) Latency() int64 { return c.latency }

// State tells whether the worker may be used.
func (c Candidate) State() State { return c.state }

// Far tells whether the worker is in another region.
func (c Candidate) Far() bool { return c.distance >= farDistance }

// Readmitted returns c as usable if it was ejected.
func (c Candidate) Readmitted() Candidate {
	if c.state == Ejected {
		c.state = Usable
	}
	return c
}

// At returns c at another distance.
func (c Candidate) At(distance int) Candidate {
	c.distance = uint8(distance)
	return c
}

// Loaded returns c with the latency to expect by the worker's load.
func (c Candidate) Loaded(l Load, base time.Duration) Candidate {
	c.latency, c.crowded, c.full = int64(l.Estimate(base)), l.Crowded(), l.Full()
	return c
}

// Declining returns c of a worker that declines the given share of calls.
func (c Candidate) Declining(share float64) Candidate {
	c.declines = float32(share)
	return c
}

// Capped returns c with a limit of at most the given calls.
func (c Candidate) Capped(most int32) Candidate {
	c.limit = min(c.limit, most)
	return c
}
