// Package tracker keeps the state of each worker as this instance observes it. All
// state is atomic: calls read and update it without locks.
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
	// latencyHalfLife times the service's mean latency is the age at which an
	// observation has half its weight.
	latencyHalfLife = 50
	// suspectFactor times the service's mean latency is how long a worker with calls in
	// flight may show no progress before it is suspect.
	suspectFactor = 2.5
	// failuresToEject is the number of consecutive failures that ejects a worker.
	failuresToEject = 3
	// errorRateToEject is the error rate that ejects a worker even if its failures are
	// not consecutive.
	errorRateToEject = 0.5
	// ejectionResetRate is the error rate below which a success resets the number of
	// ejections, and so the time of the next one.
	ejectionResetRate = 0.05
	// rateWeight is the share of a new call in the moving average of a rate.
	rateWeight = 0.15
	perMillion = 1e6

	baseEjectionTime      = time.Second
	maxEjectionTime       = 30 * time.Second
	maxPause              = 30 * time.Second
	slowStartInitialLimit = 1
	// leavingTTL is how long a sign that a worker is about to stop stays valid while the
	// platform's list has it as live: another worker answers at its address, or it has
	// announced that itself and its starts cannot be told apart.
	leavingTTL  = time.Minute
	noRampLimit = math.MaxInt32 / 2
)

// Worker is the state of one worker. Times are durations since the process
// started, by the monotonic clock.
type Worker struct {
	member              atomic.Pointer[registrar.Worker]
	distance            atomic.Int32
	share               atomic.Int32
	rampLimit           atomic.Int32
	inFlight            atomic.Int32
	probedInFlight      atomic.Int32
	latency             atomic.Int64
	observedAt          atomic.Int64
	progressAt          atomic.Int64
	consecutiveFailures atomic.Int32
	ejections           atomic.Int32
	ejectedUntil        atomic.Int64
	pausedUntil         atomic.Int64
	leavingSince        atomic.Int64
	announced           atomic.Bool  // The worker itself has announced that it is about to stop.
	lastResortUntil     atomic.Int64 // Until then, calls that no other worker can take are sent to it.
	coldUntil           atomic.Int64
	coldSince           atomic.Int64
	allowanceFullAt     atomic.Int64 // When the allowance of a cold worker is full again.
	unconfirmedUntil    atomic.Int64
	unhealthy           atomic.Bool
	sent                atomic.Int64 // Calls sent since the start.
	lent                atomic.Int32 // Calls in flight on slots that are lent to other instances.
	errorRate           atomic.Int64 // Moving average of the error rate, in millionths.
	declineRate         atomic.Int64 // Moving average of the rate of declined calls, in millionths.
	report              atomic.Pointer[Report]
	peers               atomic.Pointer[[]peerCalls]
}

// NewWorker returns the state of a worker that has not been used. If cold, it goes
// through slow start: its limit starts at one and doubles with each limit's worth of
// successful calls.
func NewWorker(member registrar.Worker, distance int, cold bool) *Worker {
	w := &Worker{}
	w.rampLimit.Store(noRampLimit)
	if cold {
		w.rampLimit.Store(slowStartInitialLimit)
	}
	w.Update(member, distance)
	return w
}

// Update stores the worker's entry in the platform's list and its distance.
func (w *Worker) Update(member registrar.Worker, distance int) {
	w.member.Store(&member)
	w.distance.Store(int32(distance))
}

// Member returns the worker's last entry in the platform's list.
func (w *Worker) Member() registrar.Worker { return *w.member.Load() }

// Address returns the worker's host:port.
func (w *Worker) Address() string { return w.member.Load().Address() }

// Locality returns the worker's region and availability zone.
func (w *Worker) Locality() registrar.Locality { return w.member.Load().Locality() }

// IsEvacuated reports whether the operator has evacuated the worker's availability zone.
func (w *Worker) IsEvacuated() bool { return w.member.Load().IsEvacuated() }

// ID returns the identity of the worker.
func (w *Worker) ID() registrar.WorkerID { return w.member.Load().ID() }

// Distance returns the distance between the localities of the instance and the
// worker.
func (w *Worker) Distance() int { return int(w.distance.Load()) }

// SetShare sets how many of the worker's slots belong to this instance.
func (w *Worker) SetShare(slots int) { w.share.Store(int32(slots)) }

// Share returns how many of the worker's slots belong to this instance.
func (w *Worker) Share() int { return int(w.share.Load()) }

// Limit returns the share, lowered during slow start and after overload.
func (w *Worker) Limit() int32 { return min(w.share.Load(), w.rampLimit.Load()) }

// InFlight returns the number of calls in flight at the worker through this instance.
func (w *Worker) InFlight() int32 { return w.inFlight.Load() }

// AddLent changes the number of calls in flight on slots that are lent to other
// instances.
func (w *Worker) AddLent(calls int32) { w.lent.Add(calls) }

// OwnInFlight returns the number of calls in flight that this instance itself has
// sent.
func (w *Worker) OwnInFlight() int32 { return max(w.inFlight.Load()-w.lent.Load(), 0) }

// RecordPeerSuccess records a successful call of another instance.
func (w *Worker) RecordPeerSuccess() {
	w.consecutiveFailures.Store(0)
	w.recordError(0)
}

// SetProbedInFlight stores the number of calls that the worker reported to a probe.
func (w *Worker) SetProbedInFlight(calls int) { w.probedInFlight.Store(int32(calls)) }

// TryAcquire takes a slot if fewer slots than the limit are taken.
func (w *Worker) TryAcquire(now time.Duration, limit int32) bool {
	for {
		current := w.inFlight.Load()
		if current >= limit {
			return false
		}
		if w.inFlight.CompareAndSwap(current, current+1) {
			w.recordStart(current, now)
			return true
		}
	}
}

// Acquire takes a slot regardless of the limit.
func (w *Worker) Acquire(now time.Duration) {
	w.recordStart(w.inFlight.Add(1)-1, now)
}

func (w *Worker) recordStart(before int32, now time.Duration) {
	w.sent.Add(1)
	if before == 0 {
		w.progressAt.Store(int64(now))
	}
}

// Release releases a slot and returns the number of calls that remain in flight.
func (w *Worker) Release(now time.Duration) int32 {
	w.progressAt.Store(int64(now))
	return w.inFlight.Add(-1)
}

// RecordSuccess records a successful call and its latency.
func (w *Worker) RecordSuccess(latency, now time.Duration) {
	w.consecutiveFailures.Store(0)
	if w.recordError(0) < ejectionResetRate {
		w.ejections.Store(0)
	}
	w.observe(latency, now)
	if rampLimit := w.rampLimit.Load(); rampLimit < noRampLimit && w.inFlight.Load()+1 >= rampLimit {
		next := rampLimit + 1
		if next > w.share.Load() {
			next = noRampLimit
		}
		w.rampLimit.CompareAndSwap(rampLimit, next)
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

// RecordFailure records a failed call and returns the ejection time, or 0. Consecutive
// failures or a high error rate eject the worker for a time that doubles with each
// ejection. After it, the worker starts again with a limit of one.
func (w *Worker) RecordFailure(now time.Duration) time.Duration {
	errorRate := w.recordError(1)
	if w.consecutiveFailures.Add(1) < failuresToEject && errorRate < errorRateToEject {
		return 0
	}
	return w.eject(now)
}

// recordError adds a call to the error rate and returns the rate.
func (w *Worker) recordError(failed float64) float64 {
	updateRate(&w.declineRate, 0)
	return updateRate(&w.errorRate, failed)
}

// RecordDecline records that the worker declined a call.
func (w *Worker) RecordDecline() { updateRate(&w.declineRate, 1) }

// DeclineRate returns the moving average of the rate of calls that the worker
// declined.
func (w *Worker) DeclineRate() float64 { return float64(w.declineRate.Load()) / perMillion }

// updateRate adds a call to the moving average of a rate and returns the average.
func updateRate(rate *atomic.Int64, sample float64) float64 {
	for {
		old := rate.Load()
		next := (1-rateWeight)*float64(old)/perMillion + rateWeight*sample
		if rate.CompareAndSwap(old, int64(next*perMillion)) {
			return next
		}
	}
}

// RecordUnreachable records that the worker accepts no connection, which ejects it at
// once. It returns the ejection time.
func (w *Worker) RecordUnreachable(now time.Duration) time.Duration { return w.eject(now) }

// eject ejects the worker and returns the ejection time, or 0 if the worker is
// ejected already: the failures of calls that were sent before count as one ejection.
func (w *Worker) eject(now time.Duration) time.Duration {
	w.consecutiveFailures.Store(failuresToEject - 1)
	w.rampLimit.Store(slowStartInitialLimit)
	until := w.ejectedUntil.Load()
	if until > int64(now) {
		return 0
	}
	ejection := min(baseEjectionTime<<min(w.ejections.Load(), 5), maxEjectionTime)
	if w.ejectedUntil.CompareAndSwap(until, int64(now+ejection)) {
		w.ejections.Add(1)
	}
	return ejection
}

// RecordOverload records that the worker refused a call for overload. It halves the limit, and
// pauses the worker if retryAfter is positive. It returns the pause.
func (w *Worker) RecordOverload(retryAfter, now time.Duration) time.Duration {
	w.rampLimit.Store(max(w.Limit()/2, slowStartInitialLimit))
	if retryAfter <= 0 {
		return 0
	}
	pause := min(retryAfter, maxPause)
	w.pausedUntil.Store(int64(now + pause))
	return pause
}

// Pause pauses the worker: no calls are sent to it for the given time.
func (w *Worker) Pause(pause, now time.Duration) { w.pausedUntil.Store(int64(now + pause)) }

// SetUnconfirmedUntil stores until when the worker gets no calls before it has answered a
// health check; 0 if it has.
func (w *Worker) SetUnconfirmedUntil(until time.Duration) { w.unconfirmedUntil.Store(int64(until)) }

// IsUnconfirmed reports whether the worker gets no calls before it has answered a health
// check.
func (w *Worker) IsUnconfirmed(now time.Duration) bool { return int64(now) < w.unconfirmedUntil.Load() }

// SetUnhealthy stores whether a health check found the worker unhealthy.
func (w *Worker) SetUnhealthy(unhealthy bool) { w.unhealthy.Store(unhealthy) }

// Unhealthy reports whether the last health check, by this instance or a peer, found
// the worker unhealthy.
func (w *Worker) Unhealthy() bool { return w.unhealthy.Load() }

// Announce records that this start of the worker has announced that it is about to stop.
// That is final if its starts can be told apart. For the grace it serves as a last resort.
func (w *Worker) Announce(now, grace time.Duration) {
	if w.announced.CompareAndSwap(false, true) && grace > 0 {
		w.lastResortUntil.Store(int64(now + grace))
	}
	w.MarkLeaving(now)
}

// HasAnnounced reports whether this start of the worker has announced that it is about to
// stop.
func (w *Worker) HasAnnounced() bool { return w.announced.Load() }

// MarkLeaving records that the worker is about to stop, by the platform's list or since
// another worker answers at its address.
func (w *Worker) MarkLeaving(now time.Duration) {
	since := w.leavingSince.Load()
	if since != 0 && !w.leavingExpired(since, now) {
		return
	}
	w.leavingSince.CompareAndSwap(since, max(int64(now), 1))
}

// leavingExpired reports whether the sign that the worker is about to stop has expired
// while the list has the worker as live: it may have restarted at the same address.
func (w *Worker) leavingExpired(since int64, now time.Duration) bool {
	return !w.member.Load().Leaving() && !w.LeavesForGood() && int64(now)-since > int64(leavingTTL)
}

// LeavesForGood reports whether this start of the worker has announced that it is about to
// stop, and the next start can be told from it.
func (w *Worker) LeavesForGood() bool { return w.announced.Load() && w.member.Load().Started() != 0 }

// ClearLeaving clears the record that the worker is about to stop, when it is listed as live
// again. A final announcement stays.
func (w *Worker) ClearLeaving() {
	if !w.LeavesForGood() {
		w.announced.Store(false)
		w.leavingSince.Store(0)
	}
}

// LeavingFor returns for how long the worker has been known to be about to stop, or 0.
func (w *Worker) LeavingFor(now time.Duration) time.Duration {
	since := w.leavingSince.Load()
	if since == 0 || w.leavingExpired(since, now) {
		return 0
	}
	return now - time.Duration(since)
}

// ExpectedLatency returns the expected latency of a call in nanoseconds: the moving average
// of the worker, which decays to the mean of its service with its age.
func (w *Worker) ExpectedLatency(mean int64, now time.Duration) int64 {
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

// State returns the worker's state, given the mean latency of its service in
// nanoseconds.
func (w *Worker) State(mean int64, now time.Duration) picker.State {
	switch {
	case w.leaving(now):
		if int64(now) < w.lastResortUntil.Load() && !w.member.Load().Leaving() {
			return picker.LastResort
		}
		return picker.Leaving
	case w.pausedUntil.Load() > int64(now):
		return picker.Paused
	case w.ejectedUntil.Load() > int64(now):
		return picker.Ejected
	case w.unhealthy.Load(), w.stalled(mean, now), w.IsUnconfirmed(now):
		return picker.Suspect
	}
	return picker.Usable
}

func (w *Worker) leaving(now time.Duration) bool {
	since := w.leavingSince.Load()
	return since != 0 && !w.leavingExpired(since, now)
}

func (w *Worker) stalled(mean int64, now time.Duration) bool {
	if mean == 0 || w.inFlight.Load() == 0 {
		return false
	}
	return float64(int64(now)-w.progressAt.Load()) > suspectFactor*float64(mean)
}

// Candidate returns the worker as a candidate for the picker.
func (w *Worker) Candidate(mean int64, now time.Duration, avoid bool) picker.Candidate {
	return picker.MakeCandidate(w.inFlight.Load(), w.Limit(), w.ExpectedLatency(mean, now),
		int(w.distance.Load()), w.State(mean, now), avoid, w.probedInFlight.Load())
}
