package scheduler

import (
	"context"
	"math"
	"net"
	"slices"
	"time"

	"burdocklane/limiter"
	"burdocklane/registrar"
	"burdocklane/tracker"
)

func newAssignmentRequest(c callID, p *limiter.Pool, request limiter.Request) assignmentRequest {
	m := assignmentRequest{
		Kind: kindRequest, Flags: flagsOf(request), Priority: uint8(min(max(request.Priority(), 0), math.MaxUint8)),
		Call: c, Service: registrar.Hash(p.Service()),
		TargetMs:       clampMilliseconds(request.Target()),
		TargetLeftMs:   clampMilliseconds(time.Until(request.TargetDeadline())),
		DeadlineLeftMs: clampMilliseconds(time.Until(request.Deadline())),
	}
	if tenant := request.Tenant(); tenant != nil {
		m.Tenant = tenant.Hash()
	}
	for i, id := range request.Avoided() {
		if i < maxAvoided {
			m.Avoid[i] = registrar.Hash(id)
		}
	}
	return m
}

func flagsOf(request limiter.Request) requestFlags {
	return requestFlags(0).setIf(flagSpare, request.NoWait()).setIf(flagHedge, request.IsHedge()).
		setIf(flagConfined, request.Regions().IsRestricted()).setIf(flagCharged, request.IsCharged())
}

// pendingRequest is an assignment request that waits for its reply.
type pendingRequest struct {
	requester  *Scheduler
	pool       *limiter.Pool
	constraint limiter.Constraint
	scheduler  registrar.Instance
	address    *net.UDPAddr
	callID     callID
	replies    chan assignmentReply // At most two: that the call is queued, then the result.
}

// timeouts bound the wait for a scheduler.
type timeouts struct {
	reply  time.Duration // For the first reply.
	queued time.Duration // For the further wait after a reply that the call is queued.
}

// await waits for the scheduler's reply. On a timeout or cancellation it withdraws
// the request, because an assignment may still be on its way.
func (r *pendingRequest) await(ctx context.Context, t timeouts) limiter.Assignment {
	timer := time.NewTimer(t.reply)
	defer timer.Stop()
	var until time.Time // When the wait of a queued call ends.
	for {
		select {
		case reply := <-r.replies:
			if reply.Status != statusQueued {
				return r.assignmentOf(reply)
			}
			wait := max(t.queued, reply.retryAfter()+queuedMargin)
			until = time.Now().Add(wait)
			timer.Reset(min(wait, liveCheckInterval))
		case <-ctx.Done():
			r.withdraw()
			return limiter.Rejected{}
		case <-timer.C:
			if left := time.Until(until); left > 0 && r.isSchedulerLive() {
				timer.Reset(min(left, liveCheckInterval))
				continue
			}
			r.recordTimeout()
			r.withdraw()
			return limiter.Undecided{}
		}
	}
}

// assignmentOf returns the assignment that a reply holds.
func (r *pendingRequest) assignmentOf(reply assignmentReply) limiter.Assignment {
	switch reply.Status {
	case statusAssigned, statusAssignedCold:
		return r.resolve(reply)
	case statusUnknownService:
		return limiter.Undecided{}
	case statusOverLimit:
		return limiter.NewOverLimit(reply.retryAfter())
	case statusLimitUnknown, statusLimitPending:
		return limiter.NewLimitUnknown(reply.retryAfter(), reply.Status == statusLimitPending)
	}
	return limiter.NewRejected(reply.retryAfter())
}

// isSchedulerLive reports whether the scheduler is not known to have ended. Of other
// regions that is unknown.
func (r *pendingRequest) isSchedulerLive() bool {
	if r.scheduler.Locality().Region() != r.requester.self.Locality().Region() {
		return true
	}
	return slices.ContainsFunc(r.requester.live(), func(i registrar.Instance) bool { return i.ID() == r.scheduler.ID() })
}

// withdraw releases the slot that may have been assigned in the meantime.
func (r *pendingRequest) withdraw() {
	r.requester.send(completion{Kind: kindCompletion, Call: r.callID}, r.address)
}

func (r *pendingRequest) recordTimeout() {
	timeoutsTotal.Inc()
	r.requester.backoff.Store(r.scheduler.ID(), time.Now().Add(timeoutBackoff))
	r.requester.log.Info().Str("arbiter", string(r.scheduler.ID())).Str("service", string(r.pool.Service())).Msg("scheduler did not answer")
}

// resolve looks up the worker that the scheduler assigned. It withdraws the
// request if the worker is unknown here, about to stop or must not get the call.
func (r *pendingRequest) resolve(reply assignmentReply) limiter.Assignment {
	var worker *tracker.Worker
	if service := r.requester.current().services[registrar.Hash(r.pool.Service())]; service != nil {
		worker = service.workersByHash[reply.Worker]
	}
	if worker == nil || r.pool.IsClosed(worker) || r.pool.Exclude(worker, r.constraint) != limiter.NotExcluded {
		withdrawnTotal.Inc()
		r.withdraw()
		return limiter.NewChargedUndecided()
	}
	reply.Load.apply(r.pool, worker)
	assigned := limiter.NewAssigned(worker, func(f limiter.CallOutcome) {
		m := completion{Kind: kindCompletion, Finding: uint8(f), Call: reply.Call, Worker: reply.Worker}
		if report, ok := worker.Report(); ok && !report.IsFromPeer() {
			m.Load = newLoadReport(worker, r.pool.Now())
		}
		r.requester.send(m, r.address)
	})
	if reply.Status == statusAssignedCold {
		return assigned.WithColdCall()
	}
	return assigned
}
