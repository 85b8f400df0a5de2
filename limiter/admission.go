package limiter

import (
	"time"

	"burdocklane/tracker"
)

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
