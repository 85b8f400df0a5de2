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
	"burdocklane/picker"
	"burdocklane/registrar"
	"burdocklane/tracker"
)

const (
	defaultQueueLimit = 1024
	// stackCandidates workers are weighed without an allocation.
	stackCandidates = 64
	// headroom times the usual calls in flight is shared out evenly as the
	// limit of each worker, in case its reported slots are too many.
	headroom = 1.5
	// usualWeight is the divisor of a new value in the usual calls in flight.
	usualWeight = 32
	// acquireRaces bounds how often a lost race for a slot is run again.
	acquireRaces = 8
	// ejectedMost is the share of workers that may rest at once, as 1/n.
	ejectedMost = 2
	// distances is the number of values of registrar.Place.Distance.
	distances = 3
	// spillFactor times the mean latency is how long a call waits for a slot of
	// the instance's own before it overflows.
	spillFactor = 0.5
	// farShare is the share of calls that may overflow into another region.
	farShare = 0.1
	// farPrior is added to the mean latency of workers in other places, as long
	// as no call has been sent there.
	farPrior = 20 * time.Millisecond
)

// roster is the immutable list of a service's workers. Requests load it once.
type roster struct {
	workers []*tracker.Worker
	slots   int
	holding int // Workers of which the instance holds a slot.
}

// Pool admits calls to the workers of one service.
type Pool struct {
	service    descriptor.ServiceName
	policy     picker.Policy
	queueLimit int
	self       registrar.Instance
	started    time.Time
	rng        *rand.Rand

	roster   atomic.Pointer[roster]
	turn     atomic.Uint64
	mean     atomic.Int64
	calm     sync.Map                // From a class's target to its *atomic.Int64, the mean latency at the usual pace.
	near     [distances]atomic.Int64 // Mean latency by distance.
	crowding atomic.Int64            // How much slower crowded workers are, in thousandths.
	far      *budgeter.Share
	waiting  atomic.Int32
	usual    atomic.Int64 // Moving average of the calls in flight, in thousandths.
	held     atomic.Int32 // Calls in flight.

	mutex sync.Mutex // Guards queue, and is never held across a call.
	queue *queue

	decider Decider
	wants   chan Want
	probes  chan<- *Pool
}

// Option sets one property of a Pool.
type Option func(*Pool)

// WithPolicy sets how workers are chosen. The default is picker.SharedSlots.
func WithPolicy(p picker.Policy) Option { return func(pool *Pool) { pool.policy = p } }

// WithQueueLimit sets how many calls may wait at once.
func WithQueueLimit(calls int) Option { return func(p *Pool) { p.queueLimit = calls } }

// WithRand sets the source of random choices, which must be safe for
// concurrent use. The default draws from the runtime.
func WithRand(rng *rand.Rand) Option { return func(p *Pool) { p.rng = rng } }

// WithWants sets the channel on which the pool tells that a call is waiting
// which a peer's idle slot would help. Nothing is sent while it is full.
func WithWants(wants chan Want) Option { return func(p *Pool) { p.wants = wants } }

// WithProbes sets the channel on which a pool with the policy
// picker.ProbePool asks for probes. Nothing is sent while it is full.
func WithProbes(probes chan<- *Pool) Option { return func(p *Pool) { p.probes = probes } }

// runtimeSource draws from the runtime's per-thread generator.
type runtimeSource struct{}

// Uint64 implements rand.Source.
func (runtimeSource) Uint64() uint64 { return rand.Uint64() }

// New returns an empty pool for the service on the instance self.
func New(service descriptor.ServiceName, self registrar.Instance, opts ...Option) *Pool {
	p := &Pool{
		service:    service,
		policy:     picker.SharedSlots{},
		queueLimit: defaultQueueLimit,
		self:       self,
		started:    time.Now(),
		rng:        rand.New(runtimeSource{}),
		queue:      newQueue(),
		far:        budgeter.NewShare(farShare),
	}
	for _, opt := range opts {
		opt(p)
	}
	p.roster.Store(&roster{})
	p.crowding.Store(picker.CrowdedFactor * perThousand)
	return p
}

// Service returns the name of the pool's service.
func (p *Pool) Service() descriptor.ServiceName { return p.service }

// Workers returns the workers now known. The caller must not change the slice.
func (p *Pool) Workers() []*tracker.Worker { return p.roster.Load().workers }

// Slots returns the number of slots that belong to this instance.
func (p *Pool) Slots() int { return p.roster.Load().slots }

// Waiting returns how many of the instance's own calls wait for a slot.
func (p *Pool) Waiting() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.queue.own()
}

// Mean returns the moving average of the service's latency.
func (p *Pool) Mean() time.Duration { return time.Duration(p.mean.Load()) }

// Now returns the time since the pool was made, the clock of its workers.
func (p *Pool) Now() time.Duration { return time.Since(p.started) }

// Update takes over the platform's list. Workers that stay keep their state;
// workers that are gone finish the calls they hold. It must not be called from
// two goroutines at once.
func (p *Pool) Update(list []registrar.Worker, instances []registrar.Instance) {
	old := p.roster.Load()
	known := make(map[registrar.WorkerID]*tracker.Worker, len(old.workers))
	for _, w := range old.workers {
		known[w.ID()] = w
	}
	shares := p.sharesOf(list, instances)
	next := &roster{workers: make([]*tracker.Worker, 0, len(list))}
	for i, member := range list {
		w := p.keepOrAdd(known, member, len(old.workers) > 0)
		w.SetShare(shares[i])
		next.slots += shares[i]
		next.holding += min(shares[i], 1)
		next.workers = append(next.workers, w)
	}
	p.roster.Store(next)
	p.dispatch()
}

// sharesOf deals the slots out. A policy that does not keep to shares may use
// every slot.
func (p *Pool) sharesOf(list []registrar.Worker, instances []registrar.Instance) []int {
	if p.reported() {
		slots := make([]int, len(list))
		for i, member := range list {
			slots[i] = member.Slots()
		}
		return slots
	}
	return Shares(list, instances, p.self)
}

func (p *Pool) keepOrAdd(known map[registrar.WorkerID]*tracker.Worker, member registrar.Worker, cold bool) *tracker.Worker {
	distance := p.self.Place().Distance(member.Place())
	w := known[member.ID()]
	if w == nil || !w.Member().SameIncarnation(member) {
		w = tracker.NewWorker(member, distance, cold)
		w.ColdUntil(p.Now() + member.ColdFor())
	} else if w.Member().Leaving() && !member.Leaving() {
		w.Stay()
	}
	w.Update(member, distance)
	if member.Leaving() {
		w.Drain(p.Now())
	}
	return w
}

// Acquire grants a slot, at once or when one comes free, or refuses.
func (p *Pool) Acquire(ctx context.Context, ask Ask) Admission {
	since := time.Now()
	p.askForProbes()
	p.far.Deposit()
	var seen Seen
	if p.reported() {
		return p.acquireRuled(ctx, ask, since)
	}
	if p.waiting.Load() == 0 || !picker.Bounded(p.policy) {
		worker, decision := p.try(p.policy, &ask, &seen)
		switch decision.(type) {
		case picker.Send:
			return Granted{pool: p, worker: worker, seen: seen}
		case picker.Refuse:
			return Refused{reason: ReasonNoWorker, seen: seen}
		case picker.Wait:
		}
	}
	return p.wait(ctx, ask, since, seen)
}

func (p *Pool) askForProbes() {
	if _, ok := p.policy.(picker.ProbePool); !ok || p.probes == nil {
		return
	}
	select {
	case p.probes <- p:
	default:
	}
}

// try picks a worker and takes a slot there. A Send decision comes with the
// worker, whose slot is then held.
func (p *Pool) try(policy picker.Policy, ask *Ask, seen *Seen) (*tracker.Worker, picker.Decision) {
	var buffer [stackCandidates]picker.Candidate
	if _, ok := policy.(picker.RoundRobin); ok {
		policy = picker.NewRoundRobin(p.turn.Add(1))
	}
	workers := p.roster.Load().workers
	for range acquireRaces {
		now := p.Now()
		candidates := p.weigh(buffer[:0], workers, ask, now, seen)
		decision := picker.Pick(policy, candidates, p.rng)
		send, ok := decision.(picker.Send)
		if !ok {
			return nil, decision
		}
		worker := workers[send.Index()]
		p.noteChosen(seen, worker, candidates[send.Index()], now)
		limit, bounded := limitOf(policy, candidates[send.Index()])
		if !bounded { // Overflow is bounded by what the picker saw.
			worker.Acquire(now)
		} else if !worker.TryAcquire(now, limit) {
			continue
		}
		if ask.onBehalf {
			worker.AddLent(1)
		}
		p.noteHeld(1)
		return worker, decision
	}
	return nil, picker.Wait{}
}

func (p *Pool) granted(g Granted, since time.Time, seen Seen) Granted {
	g.waited, g.seen = time.Since(since), seen
	return g
}

func (p *Pool) release(worker *tracker.Worker, loan *Loan) {
	if loan != nil {
		p.releaseLoan(loan)
		return
	}
	p.giveBack(worker)
	p.dispatch()
}

// observe adds a good answer's latency to the moving averages of the service
// and of the worker's distance.
func (p *Pool) observe(latency time.Duration, distance int) {
	average(&p.mean, latency)
	average(&p.near[distance], latency)
}

func average(mean *atomic.Int64, latency time.Duration) {
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
	workers := p.roster.Load().workers
	at := slices.IndexFunc(workers, func(w *tracker.Worker) bool { return w.ID() == id })
	if at < 0 {
		return nil
	}
	return workers[at]
}
