package limiter

import (
	"time"

	"burdocklane/tracker"
)

// Admission is the result of requesting a slot: Granted or Refused.
type Admission interface{ admission() }

// Granted is the right to send one call to a worker. It must be released.
type Granted struct {
	pool    *Pool
	worker  *tracker.Worker
	loan    *Loan
	target  time.Duration
	waited  time.Duration
	summary CandidateSummary
	// overflow marks a slot beyond the instance's own share.
	overflow bool
	// onBehalfOfPeer marks a slot that is used by a call of another instance.
	onBehalfOfPeer bool
	// assigned is set if another instance made the assignment.
	assigned *peerAssignment
	// hasColdCall is set if a call of the allowance of a cold worker has been taken.
	hasColdCall bool
}

// Refused says why no slot was granted.
type Refused struct {
	reason     Reason
	waited     time.Duration
	retryAfter time.Duration
	summary    CandidateSummary
}

func (Granted) admission() {}
func (Refused) admission() {}

// Worker returns the worker to send the call to.
func (g Granted) Worker() *tracker.Worker { return g.worker }

// Waited returns how long the call waited for the slot.
func (g Granted) Waited() time.Duration { return g.waited }

// Borrowed reports whether the slot was borrowed from a peer.
func (g Granted) Borrowed() bool { return g.loan != nil }

// Overflowed reports whether the slot is beyond the instance's own share.
func (g Granted) Overflowed() bool { return g.overflow }

// Assigned reports whether another instance chose the worker.
func (g Granted) Assigned() bool { return g.assigned != nil }

// HasColdCall reports whether a call of the allowance of a cold worker has been taken.
func (g Granted) HasColdCall() bool { return g.hasColdCall }

// CandidateSummary returns the summary of the candidates that the decision was based on.
func (g Granted) CandidateSummary() CandidateSummary { return g.summary }

// Release returns the slot. It must be called exactly once.
func (g Granted) Release() {
	if g.onBehalfOfPeer {
		g.worker.AddLent(-1)
	}
	g.pool.release(g.worker, g.loan)
	if g.assigned != nil {
		g.assigned.report(CallOutcome(g.assigned.outcome.Load()))
	}
}

// Reason returns why the call was refused.
func (r Refused) Reason() Reason { return r.reason }

// Waited returns how long the call waited before it was refused.
func (r Refused) Waited() time.Duration { return r.waited }

// RetryAfter returns when the caller may expect to be served, or 0 if that is unknown.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

// CandidateSummary returns the summary of the candidates that the decision was based on.
func (r Refused) CandidateSummary() CandidateSummary { return r.summary }
