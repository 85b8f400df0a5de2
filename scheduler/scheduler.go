// Package scheduler assigns the calls of a service to workers on one instance per
// region, the scheduler of that service. The scheduler sees every call that is
// in flight in the region, so that instances with equal load data do not send to
// the same worker at once. The services are spread over the instances. An instance
// whose scheduler does not answer assigns the call itself.
package scheduler

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/apportioner"
	"burdocklane/charger"
	"burdocklane/granter"
	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/publisher"
	"burdocklane/recoverer"
	"burdocklane/registrar"
	"burdocklane/tracker"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

const (
	// replyTimeout bounds the wait for a scheduler's first reply.
	replyTimeout = 20 * time.Millisecond
	// queuedTimeout bounds the further wait after a reply that the call is queued.
	queuedTimeout = 60 * time.Millisecond
	// queuedMargin is how much longer than the longest wait for capacity the wait for the
	// reply may last.
	queuedMargin = 20 * time.Millisecond
	// liveCheckInterval is how often the requester of a queued call checks that the scheduler
	// is live.
	liveCheckInterval = 100 * time.Millisecond
	// remoteTimeout and remoteQueuedTimeout are those of a scheduler of another region.
	remoteTimeout       = 40 * time.Millisecond
	remoteQueuedTimeout = queuedTimeout + remoteTimeout - replyTimeout
	// timeoutBackoff is how long no requests go to a scheduler after a timeout.
	timeoutBackoff = 300 * time.Millisecond
	// expiryGrace is how long after a call's deadline a slot stays taken at most, if
	// no completion message arrives.
	expiryGrace     = 200 * time.Millisecond
	sweepInterval   = 100 * time.Millisecond
	maxDatagramSize = 2 << 10
	// socketErrorPause is the pause after a datagram could not be received: the error may
	// last.
	socketErrorPause  = 10 * time.Millisecond
	receiveBufferSize = 256 << 10
)

var (
	requestsTotal  = metrics.NewCounter("burdocklane_rulings_asked_total")
	timeoutsTotal  = metrics.NewCounter("burdocklane_rulings_silent_total")
	assignedTotal  = metrics.NewCounter(`burdocklane_rulings_given_total{word="assigned"}`)
	withdrawnTotal = metrics.NewCounter("burdocklane_assignments_withdrawn_total")
	rejectedTotal  = metrics.NewCounter(`burdocklane_rulings_given_total{word="denied"}`)
)

// Scheduler requests assignments from the schedulers of other instances, and
// assigns workers to the calls that they send requests for.
type Scheduler struct {
	self       registrar.Instance
	selfHash   uint32
	publisher  *publisher.Publisher
	live       func() []registrar.Instance
	log        zerolog.Logger
	socket     *net.UDPConn
	view       atomic.Pointer[view]
	lastNumber atomic.Uint32
	pending    sync.Map // From call number to *pendingRequest.
	backoff    sync.Map // From instance ID to the time until which it gets no requests.
	grants     sync.Map // From callID to *grant.
	limits     *limits
	queued     sync.Map // From callID to the context.CancelFunc that ends its wait.
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// grant is a worker's slot that is held for a call of another instance. This
// instance took the slot itself, or the scheduler of another region assigned it.
type grant struct {
	pool     *limiter.Pool
	worker   *tracker.Worker
	complete func(limiter.CallOutcome)
	expires  time.Time
}

// Option sets one property of a Scheduler.
type Option func(*Scheduler)

// WithLimitTolerance sets how far all instances together may exceed a rate limit. By
// default they may not.
func WithLimitTolerance(t apportioner.Tolerance) Option {
	return func(s *Scheduler) { s.limits = newLimits(s, t) }
}

// New listens on the instance's port for assignment requests. The function live
// returns the coordinators of the region that are alive.
func New(self registrar.Instance, p *publisher.Publisher, live func() []registrar.Instance, log zerolog.Logger, opts ...Option) (*Scheduler, error) {
	address, err := net.ResolveUDPAddr("udp4", self.SchedulerAddress())
	if err != nil {
		return nil, errors.Wrap(err, "resolve the address for assignment requests")
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for assignment requests")
	}
	socket.SetReadBuffer(receiveBufferSize) //nolint:errcheck // The default size works as well.
	ctx, cancel := context.WithCancel(context.Background())
	s := &Scheduler{
		self: self, selfHash: registrar.Hash(self.ID()), publisher: p, live: live, log: log,
		socket: socket, ctx: ctx, cancel: cancel,
	}
	s.view.Store(&view{})
	s.limits = newLimits(s, apportioner.Tolerance{})
	for _, opt := range opts {
		opt(s)
	}
	s.goroutines.Go(s.receive)
	s.goroutines.Go(s.sweep)
	s.goroutines.Go(s.limits.run)
	return s, nil
}

// Close stops the scheduler, waits for the assignments in progress and releases
// all slots.
func (s *Scheduler) Close() {
	s.cancel()
	s.socket.Close()
	s.goroutines.Wait()
	s.grants.Range(func(key, _ any) bool {
		s.release(key.(callID), limiter.OutcomeNone)
		return true
	})
}

func (s *Scheduler) send(message any, to *net.UDPAddr) {
	data, err := encode(message)
	if err != nil {
		s.log.Error().Err(err).Msg("datagram could not be made")
		return
	}
	if _, err := s.socket.WriteToUDP(data, to); err != nil {
		s.log.Debug().Err(err).Msg("datagram could not be sent")
	}
}

func (s *Scheduler) receive() {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, from, err := s.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Debug().Err(err).Msg("datagram could not be received")
			time.Sleep(socketErrorPause)
			continue
		}
		recoverer.Do(s.log, "scheduler datagram", func() { s.handle(buffer[:n], from) }) //nolint:errcheck // Logged.
	}
}

// handle answers or applies a datagram.
func (s *Scheduler) handle(data []byte, from *net.UDPAddr) {
	message, err := decode(data)
	if err != nil {
		s.log.Debug().Err(err).Msg("datagram is not readable")
		return
	}
	switch m := message.(type) {
	case *assignmentRequest:
		s.handleRequest(*m, from)
	case *assignmentReply:
		s.handleReply(*m)
	case *completion:
		s.handleCompletion(*m)
	case granter.Request:
		if reply, ok := s.limits.answer(m); ok {
			s.send(reply, from)
		}
	case granter.Reply:
		s.limits.receive(m)
	}
}

// handleRequest answers an assignment request of another instance.
func (s *Scheduler) handleRequest(m assignmentRequest, from *net.UDPAddr) {
	v := s.current()
	service := v.services[m.Service]
	if service == nil {
		s.send(assignmentReply{Kind: kindReply, Status: statusUnknownService, Call: m.Call}, from)
		return
	}
	request := service.toPool(m, v).OnBehalfOfPeer()
	// Distances count from the requester's zone if it is in this region. A call of
	// another region may go to any worker here.
	if locality, ok := v.localities[m.Call.Requester]; ok && locality.Region() == s.self.Locality().Region() {
		request = request.FromLocality(locality)
	}
	charge, ok := s.chargeRemote(m, request, from)
	if !ok {
		return
	}
	request = request.Uncharged()
	granted, decision := service.pool.TryGrant(request.LocalOnly())
	switch decision.(type) {
	case picker.Send:
		s.grantSlot(m, service, limiter.NewHeldSlot(granted), charge, from)
		return
	case picker.Refuse:
		s.reject(m, charge, 0, from)
		return
	case picker.Wait:
	}
	if m.Flags.has(flagSpare) {
		s.reject(m, charge, 0, from)
		return
	}
	s.send(assignmentReply{
		Kind: kindReply, Status: statusQueued, Call: m.Call,
		RetryAfterMs: clampMilliseconds(service.pool.MaxWait(request)),
	}, from)
	ctx, cancel := context.WithCancel(s.ctx)
	s.queued.Store(m.Call, cancel)
	s.goroutines.Go(func() {
		defer s.forgetQueued(m.Call)
		recoverer.Do(s.log, "queued assignment", func() { //nolint:errcheck // Logged.
			s.grantQueued(ctx, m, service, s.awaitCapacity(ctx, service.pool, request), charge, from)
		})
	})
}

// chargeRemote charges a call of another instance to its tenant's rate limit. It answers the
// request and returns false if that is not possible.
func (s *Scheduler) chargeRemote(m assignmentRequest, request limiter.Request, from *net.UDPAddr) (charge charger.Charged, ok bool) {
	reply := assignmentReply{Kind: kindReply, Status: statusLimitUnknown, Call: m.Call}
	if m.Flags.has(flagCharged) && request.Tenant() == nil { // The requester has another configuration.
		s.send(reply, from)
		return charge, false
	}
	switch v := s.limits.charge(request).(type) {
	case charger.Charged:
		return v, true
	case charger.OverLimit:
		reply.Status, reply.RetryAfterMs = statusOverLimit, clampMilliseconds(v.RetryAfter())
	case charger.Short:
		reply.RetryAfterMs = clampMilliseconds(v.RetryAfter())
		if v.IsPending() {
			reply.Status = statusLimitPending
		}
	}
	s.send(reply, from)
	return charge, false
}

// grantQueued is grantSlot for a call that was queued, unless its requester has withdrawn
// the request: the token of such a call is given back. If it withdraws while the grant is
// recorded, the withdrawal may have found none.
func (s *Scheduler) grantQueued(ctx context.Context, m assignmentRequest, service *service, assignment limiter.Assignment, charge charger.Charged, to *net.UDPAddr) {
	if ctx.Err() == nil {
		s.grantSlot(m, service, assignment, charge, to)
		if ctx.Err() != nil {
			s.release(m.Call, limiter.OutcomeNone)
		}
		return
	}
	s.limits.charger.Refund(charge)
	switch r := assignment.(type) {
	case limiter.HeldSlot:
		r.Granted().Release()
	case limiter.Assigned:
		r.ReportOutcome(limiter.OutcomeNone)
	}
}

// forgetQueued ends the wait of a queued call, if it still waits.
func (s *Scheduler) forgetQueued(c callID) {
	if cancel, ok := s.queued.LoadAndDelete(c); ok {
		cancel.(context.CancelFunc)()
	}
}

// grantSlot records the grant and replies with the worker, or rejects the request.
func (s *Scheduler) grantSlot(m assignmentRequest, service *service, assignment limiter.Assignment, charge charger.Charged, to *net.UDPAddr) {
	start := time.Now()
	status := statusAssigned
	g := &grant{pool: service.pool, expires: time.Now().Add(time.Duration(m.DeadlineLeftMs)*time.Millisecond + expiryGrace)}
	switch r := assignment.(type) {
	case limiter.HeldSlot:
		g.worker = r.Granted().Worker()
		status = assignedStatus(r.Granted().HasColdCall())
		g.complete = func(f limiter.CallOutcome) {
			service.pool.RecordOutcome(r.Granted(), f, time.Since(start))
			r.Granted().Release()
		}
	case limiter.Assigned:
		g.worker, g.complete = r.Worker(), r.ReportOutcome
		status = assignedStatus(r.HasColdCall())
	case limiter.Rejected:
		s.reject(m, charge, r.RetryAfter(), to)
		return
	default:
		s.reject(m, charge, 0, to)
		return
	}
	s.grants.Store(m.Call, g)
	assignedTotal.Inc()
	s.send(assignmentReply{
		Kind: kindReply, Status: status, Call: m.Call,
		Worker: registrar.Hash(g.worker.ID()), Load: newLoadReport(g.worker, service.pool.Now()),
	}, to)
}

func assignedStatus(hasColdCall bool) replyStatus {
	if hasColdCall {
		return statusAssignedCold
	}
	return statusAssigned
}

// reject rejects the call for lack of capacity, and gives its token back. It may be served
// after retryAfter, if that is known.
func (s *Scheduler) reject(m assignmentRequest, charge charger.Charged, retryAfter time.Duration, to *net.UDPAddr) {
	rejectedTotal.Inc()
	s.limits.charger.Refund(charge)
	s.send(assignmentReply{Kind: kindReply, Status: statusRejected, Call: m.Call, RetryAfterMs: clampMilliseconds(retryAfter)}, to)
}

// handleCompletion releases the slot of a call and applies the outcome and the load
// report of its worker.
func (s *Scheduler) handleCompletion(m completion) {
	s.forgetQueued(m.Call)
	if found, ok := s.grants.Load(m.Call); ok {
		g := found.(*grant)
		m.Load.apply(g.pool, g.worker)
	}
	s.release(m.Call, limiter.CallOutcome(m.Finding))
}

func (s *Scheduler) release(c callID, outcome limiter.CallOutcome) {
	if found, ok := s.grants.LoadAndDelete(c); ok {
		found.(*grant).complete(outcome)
	}
}

// sweep releases the slots of calls whose completion message has not arrived in time.
func (s *Scheduler) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-ticker.C:
			recoverer.Do(s.log, "sweep of grants", func() { s.releaseExpired(now) }) //nolint:errcheck // Logged.
		}
	}
}

func (s *Scheduler) releaseExpired(now time.Time) {
	s.grants.Range(func(key, value any) bool {
		if now.After(value.(*grant).expires) {
			s.release(key.(callID), limiter.OutcomeNone)
		}
		return true
	})
}
