// Package tracker keeps what an instance has itself observed of each worker.
// All state is atomic: calls read and update it without locks.
package tracker

import (
	"math"
	"sync/atomic"
	"time"

	"burdocklane/picker"
	"burdocklane/registrar"
)

const (
	// latencyWeight is the share of a new observation in the moving average.
	latencyWeight = 0.2
	// latencyHalfLife times the service's mean latency is how fast an old
	// observation loses its meaning.
	latencyHalfLife = 50
	// suspectFactor times the mean latency without progress makes a worker suspect.
	suspectFactor = 2.5
	// failuresToEject is the number of failures in a row that ejects a worker.
	failuresToEject = 3
	// errorsToEject is the moving share of failed calls that ejects a worker
	// whose other calls succeed.
	errorsToEject = 0.5
	// forgivenShare is the share of failed calls under which a worker's earlier
	// ejections no longer count.
	forgivenShare = 0.05
	// errorWeight is the share of a new call in the moving share of failed ones.
	errorWeight = 0.15
	perMillion  = 1e6

	ejectionBase   = time.Second
	ejectionMost   = 30 * time.Second
	pauseMost      = 30 * time.Second
	slowStartLimit = 1
	// drainLapse is how long a worker's own word that it is leaving counts, if
	// the platform's list keeps it as live.
	drainLapse     = time.Minute
	fullSpeedSlots = math.MaxInt32 / 2
)

// Worker is the state of one worker. Times are durations since the process
// started, by the monotonic clock.
type Worker struct {
	member       atomic.Pointer[registrar.Worker]
	distance     atomic.Int32
	share        atomic.Int32
	ramp         atomic.Int32
	inFlight     atomic.Int32
	remote       atomic.Int32
	latency      atomic.Int64
	observedAt   atomic.Int64
	progressAt   atomic.Int64
	failures     atomic.Int32
	ejections    atomic.Int32
	ejectedUntil atomic.Int64
	pausedUntil  atomic.Int64
	leavingSince atomic.Int64
	coldUntil    atomic.Int64
	ailing       atomic.Bool
	begun        atomic.Int64 // Calls ever sent.
	lent         atomic.Int32 // Calls in flight that are other instances'.
	errors       atomic.Int64 // Moving share of failed calls, in millionths.
	declines     atomic.Int64 // Moving share of declined calls, in millionths.
	report       atomic.Pointer[Report]
	peers        atomic.Pointer[[]peerCalls]
}

// NewWorker returns the state of a worker that has not been used. If cold, its
// limit starts at one and doubles with each limit's worth of good answers.
func NewWorker(member registrar.Worker, distance int, cold bool) *Worker {
	w := &Worker{}
	w.ramp.Store(fullSpeedSlots)
	if cold {
		w.ramp.Store(slowStartLimit)
	}
	w.Update(member, distance)
	return w
}

// Update takes over what the platform's list says of the worker.
func (w *Worker) Update(member registrar.Worker, distance int) {
	w.member.Store(&member)
	w.distance.Store(int32(distance))
}

// Member returns the worker as the platform last listed it.
func (w *Worker) Member() registrar.Worker { return *w.member.Load() }

// Address returns the worker's host:port.
func (w *Worker) Address() string { return w.member.Load().Address() }

// ID returns the identity of the worker.
func (w *Worker) ID() registrar.WorkerID { return w.member.Load().ID() }

// Distance returns the steps between the instance and the worker.
func (w *Worker) Distance() int { return int(w.distance.Load()) }

// SetShare sets how many of the worker's slots belong to this instance.
func (w *Worker) SetShare(slots int) { w.share.Store(int32(slots)) }

// Share returns how many of the worker's slots belong to this instance.
func (w *Worker) Share() int { return int(w.share.Load()) }

// Limit returns the share, lowered while the worker is cold or sheds load.
func (w *Worker) Limit() int32 { return min(w.share.Load(), w.ramp.Load()) }

// InFlight returns the instance's own calls at the worker.
func (w *Worker) InFlight() int32 { return w.inFlight.Load() }

// AddLent changes the number of calls in flight that are other instances'.
func (w *Worker) AddLent(calls int32) { w.lent.Add(calls) }

// Own returns the calls in flight that this instance has sent itself.
func (w *Worker) Own() int32 { return max(w.inFlight.Load()-w.lent.Load(), 0) }

// Fine notes a good answer to another instance's call.
func (w *Worker) Fine() {
	w.failures.Store(0)
	w.noteError(0)
}

// SetRemote stores the number of calls that a probe found at the worker.
func (w *Worker) SetRemote(calls int) { w.remote.Store(int32(calls)) }

// TryAcquire takes a slot if fewer than the limit are taken.
func (w *Worker) TryAcquire(now time.Duration, limit int32) bool {
	for {
		current := w.inFlight.Load()
		if current >= limit {
			return false
		}
		if w.inFlight.CompareAndSwap(current, current+1) {
			w.noteStart(current, now)
			return true
		}
	}
}

// Acquire takes a slot whatever the limit.
func (w *Worker) Acquire(now time.Duration) {
	w.noteStart(w.inFlight.Add(1)-1, now)
}

func (w *Worker) noteStart(before int32, now time.Duration) {
	w.begun.Add(1)
	if before == 0 {
		w.progressAt.Store(int64(now))
	}
}

// Release gives a slot back and returns the calls that are left in flight.
func (w *Worker) Release(now time.Duration) int32 {
	w.progressAt.Store(int64(now))
	return w.inFlight.Add(-1)
}

// Succeeded notes a good answer and its latency.
func (w *Worker) Succeeded(latency, now time.Duration) {
	w.failures.Store(0)
	if w.noteError(0) < forgivenShare {
		w.ejections.Store(0)
	}
	w.observe(latency, now)
	if ramp := w.ramp.Load(); ramp < fullSpeedSlots && w.inFlight.Load()+1 >= ramp {
		next := ramp + 1
		if next > w.share.Load() {
			next = fullSpeedSlots
		}
		w.ramp.CompareAndSwap(ramp, next)
	}
}

func (w *Worker) observe(latency, now time.Duration) {
	old := w.latency.Load()
	next := int64(latency)
	if old > 0 {
		next = int64((1-latencyWeight)*float64(old) + latencyWeight*float64(latency))
	}
	w.latency.Store(next)
	w.observedAt.Store(int64(now))
}

// Failed notes a failure of the worker and returns how long the worker rests.
// After several failures in a row it is ejected for a time that doubles, and
// comes back with a single slot.
func (w *Worker) Failed(now time.Duration) time.Duration {
	share := w.noteError(1)
	if w.failures.Add(1) < failuresToEject && share < errorsToEject {
		return 0
	}
	return w.eject(now)
}

// noteError adds a call to the moving share of failed ones and returns it.
func (w *Worker) noteError(failed float64) float64 {
	moveShare(&w.declines, 0)
	return moveShare(&w.errors, failed)
}

// Declined notes that the worker declined a call.
func (w *Worker) Declined() { moveShare(&w.declines, 1) }

// DeclinedShare returns the moving share of calls that the worker declined.
func (w *Worker) DeclinedShare() float64 { return float64(w.declines.Load()) / perMillion }

// moveShare adds a call to a moving share of calls and returns it.
func moveShare(share *atomic.Int64, counts float64) float64 {
	for {
		old := share.Load()
		next := (1-errorWeight)*float64(old)/perMillion + errorWeight*counts
		if share.CompareAndSwap(old, int64(next*perMillion)) {
			return next
		}
	}
}

// Unreachable notes that the worker takes no connection, which ejects it at
// once, and returns how long it rests.
func (w *Worker) Unreachable(now time.Duration) time.Duration { return w.eject(now) }

// eject lets the worker rest. Failures of calls that were sent before count as
// one ejection.
func (w *Worker) eject(now time.Duration) time.Duration {
	w.failures.Store(failuresToEject - 1)
	w.ramp.Store(slowStartLimit)
	until := w.ejectedUntil.Load()
	if until > int64(now) {
		return 0
	}
	rest := min(ejectionBase<<min(w.ejections.Load(), 5), ejectionMost)
	if w.ejectedUntil.CompareAndSwap(until, int64(now+rest)) {
		w.ejections.Add(1)
	}
	return rest
}

// Shed notes that the worker refused a call for overload: its limit is halved,
// and it is paused if it named a time to wait. Shed returns the pause.
func (w *Worker) Shed(retryAfter, now time.Duration) time.Duration {
	w.ramp.Store(max(w.Limit()/2, slowStartLimit))
	if retryAfter <= 0 {
		return 0
	}
	pause := min(retryAfter, pauseMost)
	w.pausedUntil.Store(int64(now + pause))
	return pause
}

// Rest keeps calls away from the worker for a time.
func (w *Worker) Rest(pause, now time.Duration) { w.pausedUntil.Store(int64(now + pause)) }

// SetAiling notes whether the worker itself says that it is not well.
func (w *Worker) SetAiling(ailing bool) { w.ailing.Store(ailing) }

// Ailing tells whether the worker itself says that it is not well.
func (w *Worker) Ailing() bool { return w.ailing.Load() }

// Drain notes that the worker is leaving, by the platform's list or by its own
// word.
func (w *Worker) Drain(now time.Duration) {
	since := w.leavingSince.Load()
	if since != 0 && !w.lapsed(since, now) {
		return
	}
	w.leavingSince.CompareAndSwap(since, max(int64(now), 1))
}

// lapsed tells whether a worker's own word that it is leaving has grown old,
// while the list has it as live: it may have come back at the same address.
func (w *Worker) lapsed(since int64, now time.Duration) bool {
	return !w.member.Load().Leaving() && int64(now)-since > int64(drainLapse)
}

// Stay takes back an earlier Drain, for a worker that is listed as live again.
func (w *Worker) Stay() { w.leavingSince.Store(0) }

// LeavingFor returns for how long the worker has been known to leave, or 0.
func (w *Worker) LeavingFor(now time.Duration) time.Duration {
	since := w.leavingSince.Load()
	if since == 0 || w.lapsed(since, now) {
		return 0
	}
	return now - time.Duration(since)
}

// Expected returns the latency, in nanoseconds, that a call can expect: the
// moving average, which fades to the mean of its service when it grows old.
func (w *Worker) Expected(mean int64, now time.Duration) int64 {
	latency := w.latency.Load()
	if latency == 0 || mean == 0 {
		return mean
	}
	age := now - time.Duration(w.observedAt.Load())
	if age <= 0 {
		return latency
	}
	halfLife := float64(latencyHalfLife * mean)
	weight := halfLife / (halfLife + float64(age))
	return mean + int64(weight*float64(latency-mean))
}

// State tells whether the worker may be used now, given the mean latency of
// its service in nanoseconds.
func (w *Worker) State(mean int64, now time.Duration) picker.State {
	switch {
	case w.leaving(now):
		return picker.Leaving
	case w.pausedUntil.Load() > int64(now):
		return picker.Paused
	case w.ejectedUntil.Load() > int64(now):
		return picker.Ejected
	case w.ailing.Load(), w.stalled(mean, now):
		return picker.Suspect
	}
	return picker.Usable
}

func (w *Worker) leaving(now time.Duration) bool {
	since := w.leavingSince.Load()
	return since != 0 && !w.lapsed(since, now)
}

func (w *Worker) stalled(mean int64, now time.Duration) bool {
	if mean == 0 || w.inFlight.Load() == 0 {
		return false
	}
	return float64(int64(now)-w.progressAt.Load()) > suspectFactor*float64(mean)
}

// Candidate returns the worker as the picker sees it.
func (w *Worker) Candidate(mean int64, now time.Duration, avoid bool) picker.Candidate {
	return picker.MakeCandidate(w.inFlight.Load(), w.Limit(), w.Expected(mean, now),
		int(w.distance.Load()), w.State(mean, now), avoid, w.remote.Load())
}
