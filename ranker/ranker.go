// Package ranker decides which calls are served first when a service has too little room
// for all, which may wait, and which are refused at once. It is pure: it has no clock,
// network or locks, and allocates nothing.
//
// The order is that of apparent tardiness cost (Vepsalainen and Morton, 1987): a call is
// worth more the higher its priority, the less work it needs and the sooner it has to
// start. In logarithms that is one point in time for each call, which does not change
// while the call waits.
package ranker

import (
	"math"
	"time"
)

const (
	// priorityWeight is how many calls of a priority count as much as one of the next
	// higher priority.
	priorityWeight = 4
	// maxPriority is the lowest priority that is told from the one before it, so that no
	// call is ranked behind others for ever.
	maxPriority = 8
	// lateWeight is the weight of a call that cannot meet its target any more.
	lateWeight = 1.0 / 8
	// lookAhead times the mean work is how much sooner a call has to start to go before one
	// of e times its weight. The longer it is, the less the calls that have waited for long
	// take from those that are worth more.
	lookAhead = 3
	// precedence is how far the calls of a starved kind are ranked before others.
	precedence = time.Minute
	// workMargin times the expected work is what a call is given to meet its target: some
	// calls need more work than others.
	workMargin = 1.3
	// maxLead bounds how far the calls of a tenant that has been served more than its
	// share are ranked behind those of others.
	maxLead = time.Second
)

var (
	priorityCost = math.Log(priorityWeight)
	lateCost     = -math.Log(lateWeight)
)

// Call is what the order depends on. Times are relative to the moment of the decision.
type Call struct {
	priority      int
	untilTarget   time.Duration
	untilDeadline time.Duration
	work          time.Duration
	lead          time.Duration
	starved       bool
}

// NewCall returns a call that is expected to occupy a worker for the given work. Priority
// 0 is the highest. If the deadline comes before the target, it takes its place.
func NewCall(priority int, untilTarget, untilDeadline, work time.Duration) Call {
	return Call{
		priority: min(max(priority, 0), maxPriority), work: max(work, 1),
		untilTarget: min(untilTarget, untilDeadline), untilDeadline: untilDeadline,
	}
}

// WithLead returns c as a call of a tenant that has been served more than its share, by
// so much of the room of the service.
func (c Call) WithLead(lead time.Duration) Call {
	c.lead = min(max(lead, 0), maxLead)
	return c
}

// AsStarved returns c as a call of a kind that is served far less often than others.
func (c Call) AsStarved() Call {
	c.starved = true
	return c
}

// Priority returns the priority of the call; 0 is the highest.
func (c Call) Priority() int { return c.priority }

// Work returns for how long the call is expected to occupy a worker.
func (c Call) Work() time.Duration { return c.work }

// Lead returns by how much the tenant of the call has been served more than its share.
func (c Call) Lead() time.Duration { return c.lead }

// IsLate reports whether the call cannot meet its target any more.
func (c Call) IsLate() bool { return c.untilTarget < c.work }

// IsHopeless reports whether the call cannot be answered before its deadline any more.
func (c Call) IsHopeless() bool { return c.untilDeadline < c.work }

// usefulWait returns for how long the call may wait and is still likely to meet its target,
// or its deadline if it cannot meet the target.
func (c Call) usefulWait() time.Duration {
	until := c.untilTarget
	if c.IsLate() {
		until = c.untilDeadline
	}
	return until - time.Duration(workMargin*float64(c.work))
}

// Rank is the place of a call in the order: calls with lower ranks are served first. Ranks
// of one service at different moments can be compared.
type Rank time.Duration

// RankAt returns the place of c in the order. now is the time since a fixed moment, and
// meanWork the mean work of the service's calls.
func (c Call) RankAt(now, meanWork time.Duration) Rank {
	meanWork = max(meanWork, 1)
	cost := float64(c.priority)*priorityCost + math.Log(float64(c.work)/float64(meanWork))
	if c.IsLate() {
		cost += lateCost
	}
	start := now + c.usefulWait() + c.lead
	if c.starved {
		start -= precedence
	}
	return Rank(start + time.Duration(lookAhead*cost*float64(meanWork)))
}

// Before reports whether a call with rank r is served before one with rank other.
func (r Rank) Before(other Rank) bool { return r < other }
