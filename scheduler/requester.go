package scheduler

import (
	"context"
	"net"
	"slices"
	"time"

	"burdocklane/charger"
	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/registrar"
	"burdocklane/sleeper"
)

var (
	localTimeouts  = timeouts{reply: replyTimeout, queued: queuedTimeout}
	remoteTimeouts = timeouts{reply: remoteTimeout, queued: remoteQueuedTimeout}
)

// Assign returns the worker for a call, which the service's scheduler assigns.
// The pool calls it for each call that needs a slot.
func (s *Scheduler) Assign(ctx context.Context, p *limiter.Pool, request limiter.Request) limiter.Assignment {
	assignment := s.assign(ctx, p, request)
	if !request.IsCharged() {
		return assignment
	}
	if r, ok := assignment.(limiter.Undecided); ok && !r.IsCharged() && request.Tenant().RateLimit().IsLimited() {
		assignment = s.assignBySuccessor(ctx, p, request)
	}
	if r, ok := assignment.(limiter.LimitUnknown); ok && r.IsPending() && sleeper.Sleep(ctx, request.TokenWait()) {
		assignment = s.assign(ctx, p, request)
	}
	switch r := assignment.(type) {
	case limiter.Undecided:
		if !r.IsCharged() && !s.limits.admitLocally(request.Tenant()) {
			return limitUnknown()
		}
	case limiter.LimitUnknown:
		if s.limits.admitLocally(request.Tenant()) {
			return s.assign(ctx, p, request.Uncharged())
		}
	}
	return assignment
}

// assignBySuccessor requests an assignment from the instance that would be the service's
// scheduler without the present one, which does not answer: it can charge the call to the
// rate limit of its tenant.
func (s *Scheduler) assignBySuccessor(ctx context.Context, p *limiter.Pool, request limiter.Request) limiter.Assignment {
	live := s.live()
	successor, ok := registrar.RendezvousOwner(live, string(p.Service()), schedulerOf(live, p, s.self).ID())
	switch {
	case !ok || s.inBackoff(successor) || !request.Regions().Allows(s.self.Locality().Region()):
		return limiter.Undecided{}
	case successor.ID() == s.self.ID():
		return s.assignLocally(ctx, p, request)
	}
	return s.sendRequest(ctx, p, request, successor, localTimeouts)
}

// assign requests an assignment from the scheduler of this instance's region, or those of
// the regions that may process the call.
func (s *Scheduler) assign(ctx context.Context, p *limiter.Pool, request limiter.Request) limiter.Assignment {
	if request.Regions().IsRestricted() {
		return s.assignConfined(ctx, p, request)
	}
	return s.assignInRegion(ctx, p, request)
}

// assignInRegion returns the worker that the scheduler of this instance's region assigns.
func (s *Scheduler) assignInRegion(ctx context.Context, p *limiter.Pool, request limiter.Request) limiter.Assignment {
	scheduler, _ := s.deciderIn(s.self.Locality().Region(), p)
	if scheduler.ID() == s.self.ID() {
		return s.assignLocally(ctx, p, request)
	}
	if s.inBackoff(scheduler) {
		return limiter.Undecided{}
	}
	return s.sendRequest(ctx, p, request, scheduler, localTimeouts)
}

// assignLocally assigns a worker to a call of this instance, which is itself the
// scheduler.
func (s *Scheduler) assignLocally(ctx context.Context, p *limiter.Pool, request limiter.Request) limiter.Assignment {
	switch v := s.limits.charge(request).(type) {
	case charger.OverLimit:
		return limiter.NewOverLimit(v.RetryAfter())
	case charger.Short:
		return limiter.NewLimitUnknown(v.RetryAfter(), v.IsPending())
	case charger.Charged:
		assignment := s.assignCharged(ctx, p, request.Uncharged())
		if _, ok := assignment.(limiter.Rejected); ok {
			s.limits.charger.Refund(v)
		}
		return assignment
	}
	return limiter.Undecided{}
}

// assignCharged assigns a worker to a call that counts against no limit any more.
func (s *Scheduler) assignCharged(ctx context.Context, p *limiter.Pool, request limiter.Request) limiter.Assignment {
	granted, decision := p.TryGrant(request.LocalOnly())
	switch decision.(type) {
	case picker.Send:
		return limiter.NewHeldSlot(granted)
	case picker.Refuse:
		return limiter.NewChargedUndecided()
	case picker.Wait:
	}
	if request.NoWait() {
		return limiter.Rejected{}
	}
	return s.awaitCapacity(ctx, p, request)
}

// awaitCapacity waits for capacity in the region and, in parallel, requests an
// assignment from a scheduler of another region. It returns the slot that it gets
// first. If it gets both, it keeps the local one and releases the other.
func (s *Scheduler) awaitCapacity(ctx context.Context, p *limiter.Pool, request limiter.Request) limiter.Assignment {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	local := make(chan limiter.Admission, 1)
	s.goroutines.Go(func() { local <- p.WaitForCapacity(ctx, request.LocalOnly()) })
	remote := make(chan limiter.Assignment, 1)
	s.goroutines.Go(func() { remote <- s.requestRemote(ctx, p, request) })
	select {
	case admission := <-local:
		if granted, ok := admission.(limiter.Granted); ok {
			cancel()
			releaseUnused(<-remote)
			return limiter.NewHeldSlot(granted)
		}
		return assignedOr(<-remote, admission)
	case assignment := <-remote:
		assigned, ok := assignment.(limiter.Assigned)
		if ok {
			cancel()
		}
		admission := <-local
		if granted, ok := admission.(limiter.Granted); ok {
			releaseUnused(assignment)
			return limiter.NewHeldSlot(granted)
		}
		if ok {
			return assigned
		}
		return assignedOr(assignment, admission)
	}
}

// assignedOr returns the assignment of another region, or else a rejection that says when
// the local region expects to have room.
func assignedOr(remote limiter.Assignment, local limiter.Admission) limiter.Assignment {
	if _, ok := remote.(limiter.Assigned); ok {
		return remote
	}
	if refused, ok := local.(limiter.Refused); ok {
		return limiter.NewRejected(refused.RetryAfter())
	}
	return limiter.Rejected{}
}

func releaseUnused(r limiter.Assignment) {
	if assigned, ok := r.(limiter.Assigned); ok {
		assigned.ReportOutcome(limiter.OutcomeNone)
	}
}

// requestRemote requests spare capacity from a scheduler of another region. It asks the
// others one after another if the own region has no usable worker, as the call has no other
// way to be served, and in a pool that ranks calls while the requester surely still waits.
func (s *Scheduler) requestRemote(ctx context.Context, p *limiter.Pool, request limiter.Request) limiter.Assignment {
	until := time.Now().Add(max(queuedTimeout, p.MaxWait(request)) - remoteTimeout)
	for region, candidates := range s.current().coordinators { // Map order: a random region first.
		if !request.Regions().Allows(region) {
			continue
		}
		candidates = slices.DeleteFunc(slices.Clone(candidates), s.inBackoff)
		if len(candidates) == 0 {
			continue
		}
		assignment := s.sendRequest(ctx, p, request.WithoutWaiting(), schedulerOf(candidates, p, candidates[0]), remoteTimeouts)
		if _, ok := assignment.(limiter.Assigned); ok || ctx.Err() != nil {
			return assignment
		}
		if p.HasUsableLocalWorker() && (!p.RanksCalls() || time.Now().After(until)) {
			return assignment
		}
	}
	return limiter.Rejected{}
}

// sendRequest sends a request to a scheduler and waits for its reply.
func (s *Scheduler) sendRequest(ctx context.Context, p *limiter.Pool, request limiter.Request, scheduler registrar.Instance, t timeouts) limiter.Assignment {
	address, err := net.ResolveUDPAddr("udp4", scheduler.SchedulerAddress())
	if err != nil {
		return limiter.Undecided{}
	}
	r := &pendingRequest{
		requester: s, pool: p, constraint: request.Constraint(), scheduler: scheduler, address: address,
		callID: callID{Requester: s.selfHash, Number: s.lastNumber.Add(1)}, replies: make(chan assignmentReply, 2),
	}
	s.pending.Store(r.callID.Number, r)
	defer s.pending.Delete(r.callID.Number)
	requestsTotal.Inc()
	s.send(newAssignmentRequest(r.callID, p, request), address)
	return r.await(ctx, t)
}

// handleReply delivers a reply to the request that waits for it. If none does, the
// scheduler releases the grant at the withdrawal of the request, or when it
// expires.
func (s *Scheduler) handleReply(r assignmentReply) {
	if found, ok := s.pending.Load(r.Call.Number); ok && r.Call.Requester == s.selfHash {
		select {
		case found.(*pendingRequest).replies <- r:
		default:
		}
	}
}

func (s *Scheduler) inBackoff(i registrar.Instance) bool {
	until, ok := s.backoff.Load(i.ID())
	return ok && time.Now().Before(until.(time.Time))
}

// schedulerOf returns the scheduler of the pool's service.
func schedulerOf(instances []registrar.Instance, p *limiter.Pool, fallback registrar.Instance) registrar.Instance {
	if best, ok := registrar.RendezvousOwner(instances, string(p.Service()), ""); ok {
		return best
	}
	return fallback
}
