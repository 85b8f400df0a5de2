// Package apportioner divides what a tenant's rate limit admits, and the tolerance on top
// of it, among those that admit calls without asking each other.
package apportioner

import (
	"math"
	"time"

	"burdocklane/descriptor"
)

// Parts of the tolerance. What is left covers instances whose lists of the fleet differ,
// for a while, in more than the calculation assumes.
const (
	// ownerShare is added to the tokens of the owner: reserve tokens to those that may be
	// unused at once, and the rest to those that a new owner starts with.
	ownerShare = 0.75
	// localShare is admitted by instances that reach no scheduler.
	localShare = 0.15
)

// The reserve is held in advance by the schedulers, so that a call finds a token.
const (
	// reserveTokens are one or two for each of a dozen schedulers.
	reserveTokens = 15
	// reserveTime is the time for whose calls the schedulers hold tokens.
	reserveTime = 500 * time.Millisecond
)

// heldShare is the part of a limit's capacity that the schedulers may hold together.
const heldShare = 0.6

// oneShare is the part of a limit's capacity that one of many schedulers may hold. One of a
// few may hold twice its equal part.
const (
	oneShare  = 0.5
	oneFactor = 2.0
)

// Tolerance is how far all instances together may exceed a rate limit: in any window by a
// share of what the limit admits in it, and by a number of calls. The zero value is none.
type Tolerance struct {
	window time.Duration
	share  float64
	calls  float64
}

// defaultWindow applies if there is no tolerance.
const defaultWindow = 5 * time.Second

// NewTolerance returns the tolerance.
func NewTolerance(window time.Duration, share, calls float64) Tolerance {
	return Tolerance{window: window, share: share, calls: calls}
}

// Window returns the length of the window.
func (t Tolerance) Window() time.Duration {
	if t.window <= 0 {
		return defaultWindow
	}
	return t.window
}

// excess returns the number of calls in a window by which a limit may be exceeded.
func (t Tolerance) excess(l descriptor.RateLimit) float64 {
	return t.share*(l.PerSecond()*t.Window().Seconds()+l.Burst()) + t.calls
}

// Bound returns how many calls all instances together may admit in a window.
func (t Tolerance) Bound(l descriptor.RateLimit) float64 {
	return l.PerSecond()*t.Window().Seconds() + l.Burst() + t.excess(l)
}

// Parts is a rate limit divided among those that admit calls.
type Parts struct {
	perSecond float64
	capacity  float64
	held      float64
	initial   float64
	local     int
}

// Divide returns the parts of a limit. Without a tolerance, nothing is admitted without a
// token, and the capacity is that of the limit.
func Divide(l descriptor.RateLimit, t Tolerance) Parts {
	excess := t.excess(l)
	needed := reserveTokens + max(l.PerSecond()*reserveTime.Seconds()-l.Burst(), 0)
	reserve := min(needed, ownerShare*excess)
	// A bucket that holds less than one token never admits a call.
	capacity := max(l.Burst()+reserve, 1)
	return Parts{
		perSecond: l.PerSecond(),
		capacity:  capacity,
		held:      max(heldShare*capacity, 1),
		initial:   ownerShare*excess - reserve,
		local:     int(math.Floor(localShare * excess)),
	}
}

// PerSecond returns the rate at which tokens are added.
func (p Parts) PerSecond() float64 { return p.perSecond }

// Capacity returns the number of unused tokens at most, wherever they are.
func (p Parts) Capacity() float64 { return p.capacity }

// Held returns how many of the unused tokens the schedulers may hold together.
func (p Parts) Held() float64 { return p.held }

// HeldByOne returns how many of the unused tokens one of the schedulers may hold.
func (p Parts) HeldByOne(schedulers int) float64 {
	if schedulers == 0 {
		return 0
	}
	return max(p.capacity*min(max(oneShare, oneFactor/float64(schedulers)), heldShare), 1)
}

// Initial returns the number of tokens that a new owner starts with.
func (p Parts) Initial() float64 { return p.initial }

// Local returns the number of calls that the instances without a scheduler may admit
// together in a window.
func (p Parts) Local() int { return p.local }

// LocalOf returns how many of the local calls belong to the instance with the rank among
// all instances, which starts at 0.
func (p Parts) LocalOf(rank, instances int) int {
	if instances <= 0 {
		return 0
	}
	calls := p.local / instances
	if rank < p.local%instances {
		calls++
	}
	return calls
}
