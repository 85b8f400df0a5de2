package tracker

import "time"

// Allowance limits the calls that one instance sends to a cold worker: a token bucket. The
// zero value allows none.
type Allowance struct {
	interval time.Duration // In which one call becomes available.
	burst    float64       // The most calls that can be available.
}

// NewAllowance returns the allowance of perSecond calls, of which burst may follow each other
// at once.
func NewAllowance(perSecond, burst float64) Allowance {
	if perSecond <= 0 || burst < 1 {
		return Allowance{}
	}
	return Allowance{interval: time.Duration(float64(time.Second) / perSecond), burst: burst}
}

// IsEmpty reports whether the allowance never allows a call.
func (a Allowance) IsEmpty() bool { return a.interval <= 0 }

// CallsIn returns how many calls become available in the duration.
func (a Allowance) CallsIn(d time.Duration) float64 {
	if a.IsEmpty() {
		return 0
	}
	return float64(d) / float64(a.interval)
}

// full returns the time from an empty bucket to a full one.
func (a Allowance) full() time.Duration { return time.Duration(a.burst * float64(a.interval)) }

// ExtendCold records that the worker is cold until the given time, or longer if that is
// known. It reports whether the worker was not known to be cold.
func (w *Worker) ExtendCold(until, now time.Duration) bool {
	for {
		old := w.coldUntil.Load()
		if int64(until) <= old || until <= now {
			return false
		}
		begins := old <= int64(now)
		if begins {
			w.coldSince.Store(int64(now))
		}
		if w.coldUntil.CompareAndSwap(old, int64(until)) {
			return begins
		}
	}
}

// EndCold records that the worker is not cold.
func (w *Worker) EndCold() { w.coldUntil.Store(0) }

// IsCold reports whether the worker is warming up, by what is known of it.
func (w *Worker) IsCold(now time.Duration) bool { return int64(now) < w.coldUntil.Load() }

// ColdLeft returns how long the worker stays cold, or 0.
func (w *Worker) ColdLeft(now time.Duration) time.Duration {
	return max(time.Duration(w.coldUntil.Load())-now, 0)
}

// MayCall reports whether the allowance has a call left for the worker. It fills from the time
// since which this instance may use it, and from the time at which the worker became cold.
func (w *Worker) MayCall(a Allowance, since, now time.Duration) bool {
	_, ok := w.afterCall(w.allowanceFullAt.Load(), a, since, now)
	return ok
}

// TakeCall takes a call from the allowance, and returns false if none is left.
func (w *Worker) TakeCall(a Allowance, since, now time.Duration) bool {
	for {
		old := w.allowanceFullAt.Load()
		next, ok := w.afterCall(old, a, since, now)
		if !ok {
			return false
		}
		if w.allowanceFullAt.CompareAndSwap(old, next) {
			return true
		}
	}
}

// afterCall returns the state of the allowance after one more call, and false if none is left.
// The state is the time at which the bucket will be full again (the generic cell rate
// algorithm).
func (w *Worker) afterCall(fullAt int64, a Allowance, since, now time.Duration) (int64, bool) {
	if a.IsEmpty() {
		return 0, false
	}
	began := max(since, time.Duration(w.coldSince.Load()))
	full := max(time.Duration(fullAt), began+a.full())
	if now < full-a.full()+a.interval {
		return 0, false
	}
	return int64(max(full, now) + a.interval), true
}
