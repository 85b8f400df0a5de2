package limiter

import (
	"time"

	"burdocklane/picker"
	"burdocklane/tracker"
)

const (
	// calmGuess is the share of a class's target that a call is taken to need
	// before any has been answered.
	calmGuess = 0.35
	// shedPause is how long a worker that declined a call without naming a time
	// is left alone.
	shedPause = 100 * time.Millisecond
	// awayPause is how long a worker that cannot be reached is left alone: a few
	// status checks.
	awayPause = 300 * time.Millisecond
)

// reported tells whether workers are chosen by their own reports.
func (p *Pool) reported() bool {
	_, ok := p.policy.(picker.ReportedLoad)
	return ok
}

// acquireReported grants a slot at the worker that is expected to answer first.
// A call that no worker can answer in time is refused at once.
func (p *Pool) acquireReported(ask *Ask) Admission {
	var seen Seen
	worker, decision := p.try(p.policyFor(ask), ask, &seen)
	switch decision.(type) {
	case picker.Send:
		return Granted{pool: p, worker: worker, seen: seen}
	case picker.Wait:
		return Refused{reason: ReasonOverload, seen: seen}
	}
	return Refused{reason: ReasonNoWorker, seen: seen}
}

func (p *Pool) policyFor(ask *Ask) picker.Policy {
	if !p.reported() {
		return p.policy
	}
	within := time.Until(ask.deadline)
	if ask.within > 0 {
		within = min(within, ask.within)
	}
	return picker.NewReportedLoad(max(within, 1))
}

// Calm returns the time that a call takes at a worker that nothing holds up, by
// what was observed, or guessed from the class's target.
func (p *Pool) Calm(target time.Duration) time.Duration {
	if calm := p.calm.Load(); calm > 0 {
		return time.Duration(calm)
	}
	return time.Duration(calmGuess * float64(target))
}

func (p *Pool) candidate(w *tracker.Worker, mean int64, now time.Duration, ask *Ask) picker.Candidate {
	c := w.Candidate(mean, now, ask.avoids(w.ID()))
	if !p.reported() {
		return c
	}
	return c.Expecting(w.Load(now).Estimate(p.Calm(ask.target)))
}

// observeCalm adds an answer to the mean latency at the usual pace.
func (p *Pool) observeCalm(w *tracker.Worker, latency time.Duration) {
	if !p.reported() {
		return
	}
	pace := max(w.Load(p.Now()).Pace(), 1)
	average(&p.calm, time.Duration(float64(latency)/pace))
}

// Outlook returns the time that a call usually takes and the pace to expect of
// the worker now; false if the pool does not know.
func (p *Pool) Outlook(w *tracker.Worker, target time.Duration) (usual time.Duration, pace float64, known bool) {
	if !p.reported() {
		return p.Mean(), 1, false
	}
	return p.Calm(target), w.Load(p.Now()).Pace(), true
}

// Away notes that the worker did not answer a status check, or took no
// connection: nothing is sent there for a while.
func (p *Pool) Away(w *tracker.Worker) { w.Rest(awayPause, p.Now()) }
