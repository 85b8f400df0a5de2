package ranker

import "time"

const (
	// lateWaitShare of the target, up to maxLateWait, is how long a call waits that cannot
	// meet its target: after that its caller still has time to come back.
	lateWaitShare = 0.125
	maxLateWait   = 50 * time.Millisecond
	// minReturn is the shortest time after which a refused caller is told to come back.
	minReturn = 20 * time.Millisecond
	// returnShare is the share of the time left to the deadline within which a refused
	// caller is told to come back: later ones don't wait that long.
	returnShare = 1.0 / 3
	// maxReturn is the longest time within which a refused caller is told to come back, or
	// twice the expected wait if that is longer.
	maxReturn = 10 * time.Second
)

// Room is the room that a service has: the calls that would be served before a new one,
// and the mean interval at which waiting calls have lately got a slot.
type Room struct {
	ahead    int
	interval time.Duration
}

// NewRoom returns the room of a service.
func NewRoom(ahead int, interval time.Duration) Room { return Room{ahead: ahead, interval: interval} }

// Ahead returns the number of calls that would be served before a new one.
func (r Room) Ahead() int { return r.ahead }

// Wait returns how long a new call is expected to wait for a slot.
func (r Room) Wait() time.Duration { return time.Duration(r.ahead+1) * r.interval }

// Verdict says what to do with a call for which no slot is free: Wait, WaitBriefly or
// Refuse.
type Verdict interface{ verdict() }

// Wait says that the call may wait for a slot until it can't meet its target any more.
type Wait struct{}

// WaitBriefly says that the call can't meet its target, and may wait a little for a slot
// that no other call needs.
type WaitBriefly struct{}

// Refuse says that the call can't be served in time.
type Refuse struct{}

func (Wait) verdict()        {}
func (WaitBriefly) verdict() {}
func (Refuse) verdict()      {}

// Decide returns the verdict for a call. How long it may wait is MaxWait. A call that can
// meet its target but is not expected to get a slot by then is refused at once: it would only
// return later to the same queue.
func Decide(c Call, r Room) Verdict {
	switch {
	case c.IsHopeless():
		return Refuse{}
	case c.IsLate():
		return WaitBriefly{}
	case r.Wait() > c.usefulWait():
		return Refuse{}
	}
	return Wait{}
}

// MaxWait returns how long a call with the given target waits for a slot at most.
func (c Call) MaxWait(target time.Duration) time.Duration {
	wait := c.usefulWait()
	if c.IsLate() {
		wait = min(wait, LateWait(target))
	}
	return max(wait, 0)
}

// LateWait returns how long a call waits for capacity that can't meet its target.
func LateWait(target time.Duration) time.Duration {
	return min(time.Duration(lateWaitShare*float64(target)), maxLateWait)
}

// ReturnAfter returns when the caller of a refused call is told to come back: not before
// the calls that wait now are expected to have been served, and within a third of the time
// that it has left, up to maxReturn. spread, from 0 to 1, is random, so that callers don't
// return all at once.
func ReturnAfter(wait, left time.Duration, spread float64) time.Duration {
	latest := min(time.Duration(returnShare*float64(left)), max(maxReturn, 2*wait))
	earliest := min(max(wait, minReturn), latest/2)
	return max(earliest+time.Duration(spread*float64(latest-earliest)), 0)
}
