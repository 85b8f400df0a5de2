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

	"burdocklane/decoder"
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
	// remoteTimeout is replyTimeout for a scheduler of another region.
	remoteTimeout = 40 * time.Millisecond
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
	requestsTotal = metrics.NewCounter("burdocklane_rulings_asked_total")
	timeoutsTotal = metrics.NewCounter("burdocklane_rulings_silent_total")
	assignedTotal = metrics.NewCounter(`burdocklane_rulings_given_total{word="assigned"}`)
	rejectedTotal = metrics.NewCounter(`burdocklane_rulings_given_total{word="denied"}`)
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

// New listens on the instance's port for assignment requests. The function live
// returns the coordinators of the region that are alive.
func New(self registrar.Instance, p *publisher.Publisher, live func() []registrar.Instance, log zerolog.Logger) (*Scheduler, error) {
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
	s.goroutines.Go(s.receive)
	s.goroutines.Go(s.sweep)
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
	data, err := decoder.Append(nil, message)
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
	request := service.toPool(m, v.snapshot).OnBehalfOfPeer()
	// Distances count from the requester's zone if it is in this region. A call of
	// another region may go to any worker here.
	if locality, ok := v.localities[m.Call.Requester]; ok && locality.Region() == s.self.Locality().Region() {
		request = request.FromLocality(locality)
	}
	granted, decision := service.pool.TryGrant(request.LocalOnly())
	switch decision.(type) {
	case picker.Send:
		s.grantSlot(m, service, limiter.NewHeldSlot(granted), from)
		return
	case picker.Refuse:
		s.reject(m, 0, from)
		return
	case picker.Wait:
	}
	if m.Flags.has(flagSpare) {
		s.reject(m, 0, from)
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
			s.grantQueued(ctx, m, service, s.awaitCapacity(ctx, service.pool, request), from)
		})
	})
}

// grantQueued is grantSlot for a call that was queued, unless its requester has withdrawn
// the request.
func (s *Scheduler) grantQueued(ctx context.Context, m assignmentRequest, service *service, assignment limiter.Assignment, to *net.UDPAddr) {
	if ctx.Err() == nil {
		s.grantSlot(m, service, assignment, to)
		return
	}
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
func (s *Scheduler) grantSlot(m assignmentRequest, service *service, assignment limiter.Assignment, to *net.UDPAddr) {
	start := time.Now()
	g := &grant{pool: service.pool, expires: time.Now().Add(time.Duration(m.DeadlineLeftMs)*time.Millisecond + expiryGrace)}
	switch r := assignment.(type) {
	case limiter.HeldSlot:
		g.worker = r.Granted().Worker()
		g.complete = func(f limiter.CallOutcome) {
			service.pool.RecordOutcome(r.Granted(), f, time.Since(start))
			r.Granted().Release()
		}
	case limiter.Assigned:
		g.worker, g.complete = r.Worker(), r.ReportOutcome
	case limiter.Rejected:
		s.reject(m, r.RetryAfter(), to)
		return
	default:
		s.reject(m, 0, to)
		return
	}
	s.grants.Store(m.Call, g)
	assignedTotal.Inc()
	s.send(assignmentReply{
		Kind: kindReply, Status: statusAssigned, Call: m.Call,
		Worker: registrar.Hash(g.worker.ID()), Load: newLoadReport(g.worker, service.pool.Now()),
	}, to)
}

// reject rejects the call, which may be served after retryAfter, if that is known.
func (s *Scheduler) reject(m assignmentRequest, retryAfter time.Duration, to *net.UDPAddr) {
	rejectedTotal.Inc()
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
