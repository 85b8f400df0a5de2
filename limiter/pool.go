package limiter

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/budgeter"
	"burdocklane/descriptor"
	"burdocklane/drainer"
	"burdocklane/picker"
	"burdocklane/registrar"
	"burdocklane/sharer"
	"burdocklane/tracker"
)

const (
	defaultQueueLimit = 1024
	// stackBufferSize is the number of candidates up to which a decision needs
	// no heap allocation.
	stackBufferSize = 64
	// headroom is multiplied with the mean number of calls in flight. The
	// result, divided evenly among the workers, bounds the limit of each
	// worker in case it reports too many slots.
	headroom = 1.5
	// inFlightSmoothing is the divisor of a new sample in the moving average
	// of calls in flight.
	inFlightSmoothing = 32
	// maxAcquireAttempts bounds how often picking is repeated after another
	// call took the picked slot first.
	maxAcquireAttempts = 8
	// maxEjectedDivisor bounds the share of workers that may be ejected at
	// once, as 1/n.
	maxEjectedDivisor = 2
	// distanceCount is the number of possible distances between two
	// localities: 0 within a zone, 1 within a region, 2 between regions.
	distanceCount = 3
	// overflowWaitFactor times the mean latency is how long a call waits for
	// one of the instance's own slots before it may overflow.
	overflowWaitFactor = 0.5
	// remoteShare is the share of calls that may overflow into another region.
	remoteShare = 0.1
	// distanceLatencyPrior is added to the mean latency to estimate that of
	// workers in another region, and half of it for another zone, until a call
	// has been answered there.
	distanceLatencyPrior = 20 * time.Millisecond
)

// workerSet is the immutable list of a service's workers. A request loads it
// once.
type workerSet struct {
	workers          []*tracker.Worker
	local            []*tracker.Worker // Those of the instance's region.
	slots            int
	localSlots       int // Without those of evacuated zones.
	workersWithShare int // Workers at which the instance has a slot.
	hasEvacuated     bool
	holding          holding
}

// Pool admits calls to the workers of one service.
type Pool struct {
	service    descriptor.ServiceName
	policy     picker.Policy
	queueLimit int
	self       registrar.Instance
	started    time.Time
	rng        *rand.Rand

	workerSet         atomic.Pointer[workerSet]
	roundRobinCounter atomic.Uint64
	meanLatency       atomic.Int64
	baseLatency       sync.Map                    // Maps a class's target to an *atomic.Int64, its mean latency at normal speed.
	latencyByDistance [distanceCount]atomic.Int64 // Mean latency by distance.
	congestionFactor  atomic.Int64                // How much slower congested workers are, in thousandths.
	remoteBudget      *budgeter.AttemptBudget
	waiting           atomic.Int32
	meanInFlight      atomic.Int64 // Moving average of the calls in flight, in thousandths.
	inFlight          atomic.Int32 // Calls in flight.

	ranksCalls atomic.Bool  // The queue is ordered by rank.
	meanWork   atomic.Int64 // Moving average of the expected work of queued calls.
	shares     sharer.Shares
	kinds      sharer.Kinds
	patience   sync.Map     // Maps a patienceKey to its *patience.
	refusedAt  atomic.Int64 // When a call was last refused for lack of room.

	mutex sync.Mutex // Guards queue; never held while a call runs.
	queue *queue

	assigner      Assigner
	demand        chan SlotDemand
	probeRequests chan<- *Pool
	ledger        *drainer.Ledger
	leavingGrace  time.Duration
	coldTolerance ColdTolerance
	coldLimit     atomic.Pointer[coldLimit] // Or nil if cold workers are not limited.
}

// Option configures a Pool.
type Option func(*Pool)

// WithPolicy sets the policy that picks workers. The default is
// picker.SharedSlots.
func WithPolicy(p picker.Policy) Option { return func(pool *Pool) { pool.policy = p } }

// WithQueueLimit sets the maximum number of queued calls.
func WithQueueLimit(calls int) Option { return func(p *Pool) { p.queueLimit = calls } }

// WithRand sets the source of randomness, which must be safe for concurrent
// use. The default is the runtime's generator.
func WithRand(rng *rand.Rand) Option { return func(p *Pool) { p.rng = rng } }

// WithSlotDemand sets the channel on which the pool signals that a call is queued
// for which a peer's idle slot would help. Signals are dropped while the
// channel is full.
func WithSlotDemand(demand chan SlotDemand) Option { return func(p *Pool) { p.demand = demand } }

// WithProbeRequests sets the channel on which a pool with the policy picker.ProbePool
// requests probes. Requests are dropped while the channel is full.
func WithProbeRequests(probeRequests chan<- *Pool) Option {
	return func(p *Pool) { p.probeRequests = probeRequests }
}

// WithLedger sets the ledger of the starts of workers, which outlasts their entries in the
// list. By default, the pool has its own.
func WithLedger(l *drainer.Ledger) Option { return func(p *Pool) { p.ledger = l } }

// WithLeavingGrace sets for how long a worker that has announced that it is about to stop
// still gets the calls that no other worker can take. The default is not at all.
func WithLeavingGrace(grace time.Duration) Option { return func(p *Pool) { p.leavingGrace = grace } }

// runtimeSource is a rand.Source backed by the runtime's per-thread generator.
type runtimeSource struct{}

// Uint64 implements rand.Source.
func (runtimeSource) Uint64() uint64 { return rand.Uint64() }

// New returns an empty pool for the service. self is the local instance.
func New(service descriptor.ServiceName, self registrar.Instance, opts ...Option) *Pool {
	p := &Pool{
		service:      service,
		policy:       picker.SharedSlots{},
		queueLimit:   defaultQueueLimit,
		self:         self,
		started:      time.Now(),
		rng:          rand.New(runtimeSource{}),
		queue:        newQueue(),
		remoteBudget: budgeter.NewAttemptBudget(remoteShare),
		ledger:       drainer.New(),

		coldTolerance: NewColdTolerance(1, 0),
	}
	for _, opt := range opts {
		opt(p)
	}
	p.workerSet.Store(&workerSet{})
	p.congestionFactor.Store(picker.DefaultCongestionFactor * perThousand)
	return p
}

// Service returns the name of the pool's service.
func (p *Pool) Service() descriptor.ServiceName { return p.service }

// Workers returns the known workers. The caller must not modify the slice.
func (p *Pool) Workers() []*tracker.Worker { return p.workerSet.Load().workers }

// Slots returns the number of slots in this instance's share.
func (p *Pool) Slots() int { return p.workerSet.Load().slots }

// Waiting returns the number of the instance's own calls in the queue.
func (p *Pool) Waiting() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.queue.ownCount()
}

// MeanLatency returns the moving average of the service's latency.
func (p *Pool) MeanLatency() time.Duration { return time.Duration(p.meanLatency.Load()) }

// Now returns the time since the pool was created, on which the timestamps of
// its workers are based.
func (p *Pool) Now() time.Duration { return time.Since(p.started) }

// Update applies the platform's list. Workers that are still listed keep their
// state; calls in flight at removed workers finish normally. It must not be
// called concurrently.
func (p *Pool) Update(list []registrar.Worker, instances []registrar.Instance) {
	old := p.workerSet.Load()
	known := make(map[registrar.WorkerID]*tracker.Worker, len(old.workers))
	for _, w := range old.workers {
		known[w.ID()] = w
	}
	shares := p.slotShares(list, instances)
	next := &workerSet{workers: make([]*tracker.Worker, 0, len(list)), holding: p.nextHolding(old.holding, instances)}
	for i, member := range list {
		w := p.reuseOrAdd(known, member, len(old.workers) > 0)
		w.SetShare(shares[i])
		next.slots += shares[i]
		next.hasEvacuated = next.hasEvacuated || member.IsEvacuated()
		next.workersWithShare += min(shares[i], 1)
		next.workers = append(next.workers, w)
		if w.Distance() < picker.RemoteDistance {
			next.local = append(next.local, w)
			if !member.IsEvacuated() {
				next.localSlots += member.Slots()
			}
		}
	}
	p.workerSet.Store(next)
	p.dispatch()
}

// slotShares returns this instance's share of the slots of each worker. A
// policy based on reported load does not use shares and may use every slot.
func (p *Pool) slotShares(list []registrar.Worker, instances []registrar.Instance) []int {
	if p.usesReportedLoad() {
		slots := make([]int, len(list))
		for i, member := range list {
			slots[i] = member.Slots()
		}
		return slots
	}
	return Shares(list, instances, p.self)
}

// reuseOrAdd returns the known state of the listed worker, or a new one if the
// worker is unknown or has a new incarnation.
func (p *Pool) reuseOrAdd(known map[registrar.WorkerID]*tracker.Worker, member registrar.Worker, cold bool) *tracker.Worker {
	distance := p.self.Locality().Distance(member.Locality())
	w := known[member.ID()]
	if w == nil || !w.Member().SameIncarnation(member) {
		w = tracker.NewWorker(member, distance, cold)
		p.markCold(w, member.ColdFor())
		p.applyStanding(w, member)
	} else {
		p.applyEntry(w, member)
		if w.Member().Leaving() && !member.Leaving() {
			w.ClearLeaving()
		}
	}
	w.Update(member, distance)
	if member.Leaving() {
		w.MarkLeaving(p.Now())
	}
	return w
}

// applyStanding applies what is known of the start of a worker that has just been listed:
// the list may have lost it before.
func (p *Pool) applyStanding(w *tracker.Worker, member registrar.Worker) {
	switch s := p.ledger.Standing(member, time.Now()).(type) {
	case drainer.Leaving:
		w.Announce(p.Now()-time.Since(s.Since()), p.leavingGrace)
	case drainer.Unconfirmed:
		w.SetUnconfirmedUntil(p.Now() + time.Until(s.Until()))
	case drainer.Open, drainer.Outdated:
	}
}

// Acquire grants a slot at once or after queueing for one, or refuses the
// call.
func (p *Pool) Acquire(ctx context.Context, req Request) Admission {
	arrival := time.Now()
	p.requestProbes()
	p.remoteBudget.Deposit()
	if reason, ok := p.hasNoWorkerLeft(&req); ok {
		return Refused{reason: reason}
	}
	var summary CandidateSummary
	if p.usesReportedLoad() {
		aged := p.aged(req)
		p.learnTimeout(&req)
		return p.noteRefusal(p.acquireAssigned(ctx, aged, arrival))
	}
	if p.waiting.Load() == 0 || !picker.Bounded(p.policy) {
		granted, decision := p.pickAndAcquire(p.policy, &req, &summary)
		switch decision.(type) {
		case picker.Send:
			granted.summary = summary
			return granted
		case picker.Refuse:
			return Refused{reason: ReasonNoWorker, summary: summary}
		case picker.Wait:
		}
	}
	return p.waitForSlot(ctx, req, arrival, summary)
}

func (p *Pool) requestProbes() {
	if _, ok := p.policy.(picker.ProbePool); !ok || p.probeRequests == nil {
		return
	}
	select {
	case p.probeRequests <- p:
	default:
	}
}

func (p *Pool) completeGrant(g Granted, arrival time.Time, summary CandidateSummary) Granted {
	g.waited, g.summary = time.Since(arrival), summary
	return g
}

func (p *Pool) release(worker *tracker.Worker, loan *Loan) {
	if loan != nil {
		p.releaseLoan(loan)
		return
	}
	p.releaseSlot(worker)
	p.dispatch()
}

// observeLatency adds the latency of a successful answer to the moving
// averages of the service and of the worker's distance.
func (p *Pool) observeLatency(latency time.Duration, distance int) {
	updateMean(&p.meanLatency, latency)
	updateMean(&p.latencyByDistance[distance], latency)
}

func updateMean(mean *atomic.Int64, latency time.Duration) {
	const weight = 0.05
	old := mean.Load()
	if old == 0 {
		mean.CompareAndSwap(0, int64(latency))
		return
	}
	mean.CompareAndSwap(old, int64((1-weight)*float64(old)+weight*float64(latency)))
}

// Find returns the worker with the ID, or nil.
func (p *Pool) Find(id registrar.WorkerID) *tracker.Worker {
	workers := p.workerSet.Load().workers
	at := slices.IndexFunc(workers, func(w *tracker.Worker) bool { return w.ID() == id })
	if at < 0 {
		return nil
	}
	return workers[at]
}
