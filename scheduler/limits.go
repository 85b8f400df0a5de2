package scheduler

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/apportioner"
	"burdocklane/charger"
	"burdocklane/descriptor"
	"burdocklane/elector"
	"burdocklane/granter"
	"burdocklane/limiter"
	"burdocklane/recoverer"
	"burdocklane/registrar"
)

const (
	// limitsInUse is how long after its last charged call an instance that is no coordinator
	// keeps asking for tokens.
	limitsInUse = 10 * time.Second
	// unknownRetryAfter is about when a scheduler will be reached again.
	unknownRetryAfter = 300 * time.Millisecond
)

// limits charges calls to the rate limits of their tenants. It connects the charger of this
// instance to the owner of the limits, which may be this instance.
type limits struct {
	scheduler *Scheduler
	tolerance apportioner.Tolerance
	process   uint32
	started   time.Time
	charger   *charger.Charger
	local     *charger.Local
	terms     atomic.Pointer[limitTerms]
	usedAt    atomic.Int64 // When the last call was charged, by the instance's clock.
	refusals  refusalLog

	mutex   sync.Mutex // Guards the fields below.
	owner   *granter.Owner
	elector *elector.Elector
}

func newLimits(s *Scheduler, tolerance apportioner.Tolerance) *limits {
	l := &limits{
		scheduler: s, tolerance: tolerance, process: rand.Uint32(), started: time.Now(),
		charger: charger.New(), local: charger.NewLocal(tolerance.Window()),
		elector: elector.New(0, tolerance.Window()), refusals: refusalLog{log: s.log},
	}
	l.usedAt.Store(-int64(limitsInUse))
	l.owner = granter.New(s.selfHash, l.process)
	l.terms.Store(&limitTerms{})
	return l
}

func (l *limits) now() time.Duration { return time.Since(l.started) }

// charge takes a token for a call. The verdict is Charged if the call needs none.
func (l *limits) charge(request limiter.Request) charger.Verdict {
	if !request.IsCharged() || !request.Tenant().RateLimit().IsLimited() {
		return charger.Charged{}
	}
	now := l.now()
	l.usedAt.Store(int64(now))
	hash := request.Tenant().Hash()
	verdict := l.charger.Charge(now, hash)
	if _, ok := verdict.(charger.Charged); !ok {
		if since, ok := l.refusals.count(now, request.Tenant().Name(), verdict); ok {
			l.refusals.record(now, request.Tenant().Name(), since, verdict, l.charger.State(now, hash), l.ownerID())
		}
	}
	return verdict
}

// admitLocally reports whether a call may pass that could not be charged.
func (l *limits) admitLocally(tenant *descriptor.Tenant) bool {
	if !tenant.RateLimit().IsLimited() {
		return true
	}
	calls := l.current().localCalls(tenant)
	return l.local.Admit(l.now(), tenant.Hash(), calls)
}

// LimitLeft returns how many calls of the tenant this instance may admit now, and false if
// that is unknown: it holds no tokens that are valid.
func (s *Scheduler) LimitLeft(tenant *descriptor.Tenant) (float64, bool) {
	state := s.limits.charger.State(s.limits.now(), tenant.Hash())
	return float64(state.Tokens()), state.IsValid()
}

// limitUnknown rejects a call that could not be charged.
func limitUnknown() limiter.Assignment {
	return limiter.NewLimitUnknown(time.Duration(float64(unknownRetryAfter)*(0.5+rand.Float64())), false)
}

func (l *limits) ownerID() registrar.InstanceID {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	id, _ := l.elector.Owner()
	return l.terms.Load().ids[id]
}

// current returns the terms of the active snapshot.
func (l *limits) current() *limitTerms {
	t := l.terms.Load()
	if snapshot := l.scheduler.publisher.Current(); t.snapshot != snapshot {
		t = newLimitTerms(snapshot, l.scheduler.self, l.tolerance)
		l.terms.Store(t)
	}
	return t
}

// run exchanges messages with the owner while a tenant has a limit and this instance is a
// coordinator or charges calls.
func (l *limits) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	urgent := false
	var applied *limitTerms
	for {
		changed := l.scheduler.publisher.Changed()
		t := l.current()
		if t != applied {
			l.charger.SetTenants(t.capacities())
			applied = t
		}
		if wait, ok := l.advance(t, &urgent); ok {
			timer.Reset(wait)
		} else {
			timer.Stop()
		}
		select {
		case <-l.scheduler.ctx.Done():
			return
		case <-changed:
		case <-l.charger.Urgent():
			urgent = true
		case <-timer.C:
		}
	}
}

// advance sends what is due, and returns when it has to be called next. It returns false
// if there is nothing to do until something changes.
func (l *limits) advance(t *limitTerms, urgent *bool) (wait time.Duration, ok bool) {
	inUse := l.now()-time.Duration(l.usedAt.Load()) < limitsInUse
	if len(t.parts) == 0 || !t.isMember && !inUse {
		return 0, false
	}
	recoverer.Do(l.scheduler.log, "requests for tokens", func() { l.sendDue(t, urgent) }) //nolint:errcheck // Logged.
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.elector.Wait(l.now(), *urgent), true
}

func (l *limits) sendDue(t *limitTerms, urgent *bool) {
	now := l.now()
	l.mutex.Lock()
	before, _ := l.elector.Owner()
	actions := l.elector.Next(now, t.candidates, *urgent)
	after, _ := l.elector.Owner()
	l.mutex.Unlock()
	if before != after {
		l.scheduler.log.Info().Str("owner", string(t.ids[after])).Str("before", string(t.ids[before])).Msg("owner of the rate limits is chosen")
	}
	for _, action := range actions {
		switch a := action.(type) {
		case elector.Search:
			l.send(t, a.Candidate(), granter.NewRequest(l.scheduler.selfHash, l.process, 0))
		case elector.Vote:
			*urgent = false
			demands := l.charger.Collect(now, a.Epoch(), maxDemands, l.isScheduler(t))
			l.send(t, a.Owner(), granter.NewRequest(l.scheduler.selfHash, l.process, a.Number(), a.Option(), granter.WithDemands(demands)))
		}
	}
}

// isScheduler reports whether this instance schedules any service, and so needs tokens for
// the next calls.
func (l *limits) isScheduler(t *limitTerms) bool {
	live, self := l.scheduler.live(), l.scheduler.self
	for _, state := range t.snapshot.ServiceStates() {
		if schedulerOf(live, state.Pool(), self).ID() == self.ID() {
			return true
		}
	}
	return false
}

// send sends a request to an owner, or handles it if that is this instance.
func (l *limits) send(t *limitTerms, to uint32, r granter.Request) {
	if to == l.scheduler.selfHash {
		if reply, ok := l.answer(r); ok {
			l.receive(reply)
		}
		return
	}
	if address := t.addresses[to]; address != nil {
		l.scheduler.send(r, address)
	}
}

// answer answers a request as the owner.
func (l *limits) answer(r granter.Request) (granter.Reply, bool) {
	t := l.current()
	l.mutex.Lock()
	wasConfirmed := l.owner.Confirmed()
	reply, ok := l.owner.Handle(l.now(), r, granter.NewTerms(t.members, t.partsOf))
	isConfirmed, share := l.owner.Confirmed(), l.owner.Share()
	l.mutex.Unlock()
	if wasConfirmed != isConfirmed {
		l.scheduler.log.Info().Bool("confirmed", isConfirmed).Float64("share", share).Int("coordinators", len(t.members)).Msg("ownership of the rate limits has changed")
	}
	return reply, ok
}

// receive takes a reply of an owner.
func (l *limits) receive(r granter.Reply) {
	now := l.now()
	l.mutex.Lock()
	sentAt, ok := l.elector.Receive(now, r)
	l.mutex.Unlock()
	if ok {
		l.charger.Apply(now, sentAt, r)
	}
}
