package limiter

import (
	"context"
	"sync/atomic"
	"time"

	"burdocklane/picker"
	"burdocklane/tracker"
)

const (
	// calmGuess is the share of a class's target that a call is taken to need
	// before any has been answered.
	calmGuess = 0.35
	// roomShare is the part of a class's target that a call waits for room: a
	// refusal after that still leaves the caller time to come back.
	roomShare = 0.125
	roomMost  = 50 * time.Millisecond
	// crowdingWeight is the share of a new answer in the moving factor by which
	// crowded workers are slower, which is at most crowdingMost.
	crowdingWeight = 0.02
	crowdingMost   = 3.0
	perThousand    = 1000
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
// If there is no room anywhere, the call waits a little for some, and is then
// refused.
func (p *Pool) acquireReported(ctx context.Context, ask Ask, since time.Time) Admission {
	granted, decision := p.Decide(ask)
	switch decision.(type) {
	case picker.Send:
		return granted
	case picker.Refuse:
		return Refused{reason: ReasonNoWorker, seen: granted.seen}
	case picker.Wait:
	}
	return p.waitForRoom(ctx, ask, since, granted.seen)
}

func (p *Pool) waitForRoom(ctx context.Context, ask Ask, since time.Time, seen Seen) Admission {
	w := &waiter{ask: ask, since: since, ready: make(chan Granted, 1)}
	p.mutex.Lock()
	full := p.queue.own() >= p.queueLimit
	if !full {
		p.queue.add(w, 0)
		p.waiting.Add(1)
	}
	p.mutex.Unlock()
	if full {
		return Refused{reason: ReasonQueueFull, seen: seen}
	}
	p.dispatch()
	patience := time.NewTimer(min(time.Duration(roomShare*float64(ask.target)), roomMost))
	defer patience.Stop()
	select {
	case granted := <-w.ready:
		return p.granted(granted, since, seen)
	case <-ctx.Done():
		return p.leave(w, ReasonCancelled, since, seen)
	case <-patience.C:
		return p.lastChance(w, since, seen)
	}
}

// lastChance sends a call that has waited for room to a worker that is crowded
// or slow, or refuses it.
func (p *Pool) lastChance(w *waiter, since time.Time, seen Seen) Admission {
	p.mutex.Lock()
	removed := p.queue.remove(w)
	p.mutex.Unlock()
	if !removed {
		return p.granted(<-w.ready, since, seen)
	}
	p.waiting.Add(-1)
	worker, decision := p.try(p.reportedPolicy(&w.ask).Urgent(), &w.ask, &seen)
	if _, ok := decision.(picker.Send); !ok {
		return Refused{reason: ReasonOverload, waited: time.Since(since), seen: seen}
	}
	return p.granted(Granted{pool: p, worker: worker, target: w.ask.target, onBehalf: w.ask.onBehalf}, since, seen)
}

func (p *Pool) policyFor(ask *Ask) picker.Policy {
	if !p.reported() {
		return p.policy
	}
	return p.reportedPolicy(ask)
}

func (p *Pool) reportedPolicy(ask *Ask) picker.ReportedLoad {
	policy := picker.NewReportedLoad(time.Until(ask.onTime), max(time.Until(ask.deadline), 1))
	if ask.second {
		policy = policy.Second()
	}
	if ask.second && ask.late() {
		policy = policy.Urgent()
	}
	if ask.near {
		return policy.Near()
	}
	return policy
}

// Reported takes over a worker's report, and looks whether a waiting call can go
// there.
func (p *Pool) Reported(w *tracker.Worker, r tracker.Report) bool {
	taken := w.Reported(r)
	if taken {
		p.dispatch()
	}
	return taken
}

// Calm returns the time that a call takes at a worker that nothing holds up, by
// what was observed, or guessed from the class's target.
func (p *Pool) Calm(target time.Duration) time.Duration {
	if calm, ok := p.calm.Load(target); ok {
		return time.Duration(calm.(*atomic.Int64).Load())
	}
	return time.Duration(calmGuess * float64(target))
}

func (p *Pool) candidate(w *tracker.Worker, mean int64, now time.Duration, ask *Ask) picker.Candidate {
	c := w.Candidate(mean, now, ask.avoids(w.ID()))
	if !p.reported() {
		return c
	}
	if ask.from.set {
		c = c.At(ask.from.value.Distance(w.Member().Place()))
	}
	return c.Loaded(p.load(w, now), p.Calm(ask.target)).Declining(w.DeclinedShare())
}

// load returns what is known of a worker's load.
func (p *Pool) load(w *tracker.Worker, now time.Duration) picker.Load {
	return w.Load(now).Crowding(float64(p.crowding.Load()) / perThousand)
}

// observeLoad learns from an answer of a worker at its usual pace: a class's
// mean latency where nothing holds the call up, and how much slower crowded
// workers are.
func (p *Pool) observeLoad(g Granted, latency time.Duration) {
	if !p.reported() || !g.seen.chosen.AtPace() || !g.worker.Load(p.Now()).AtPace() {
		return
	}
	switch {
	case g.seen.chosen.Calm():
		calm, ok := p.calm.Load(g.target)
		if !ok {
			calm, _ = p.calm.LoadOrStore(g.target, &atomic.Int64{})
		}
		average(calm.(*atomic.Int64), latency)
	case g.seen.chosen.Crowded() && !g.seen.chosen.Full():
		p.observeCrowding(float64(latency) / float64(p.Calm(g.target)))
	}
}

// observeCrowding moves the factor towards one that was seen. A worker that is
// crowded is not faster for it.
func (p *Pool) observeCrowding(factor float64) {
	factor = min(max(factor, 1), crowdingMost)
	old := p.crowding.Load()
	next := (1-crowdingWeight)*float64(old) + crowdingWeight*factor*perThousand
	p.crowding.CompareAndSwap(old, int64(next))
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

// noteChosen keeps what a decision was made from, for the log.
func (p *Pool) noteChosen(seen *Seen, w *tracker.Worker, c picker.Candidate, now time.Duration) {
	if p.reported() {
		seen.chosen, seen.expected = p.load(w, now), time.Duration(c.Latency())
	}
}
