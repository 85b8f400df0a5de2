package publisher

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/budgeter"
	"burdocklane/classifier"
	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/registrar"
	"burdocklane/retrier"
)

// RevisionError reports a configuration that is not newer than the one in
// force.
type RevisionError struct {
	have descriptor.Revision
	got  descriptor.Revision
}

// Have returns the revision in force.
func (e *RevisionError) Have() descriptor.Revision { return e.have }

// Got returns the revision that was turned down.
func (e *RevisionError) Got() descriptor.Revision { return e.got }

// Error implements error.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("revision %d is not newer than %d, which is in force", e.got, e.have)
}

// Publisher swaps snapshots.
type Publisher struct {
	current atomic.Pointer[Snapshot]
	self    registrar.Instance
	options []limiter.Option
	retries Retries
	observe func(descriptor.Deployment)

	mutex   sync.Mutex // Guards the writers' side only.
	changed chan struct{}
}

// Retries is how many extra attempts the fleet may make for each service: a
// share of the calls, and a number of attempts in reserve. Each instance takes
// an even part of the reserve.
type Retries struct {
	share   float64
	reserve float64
}

// NewRetries returns the fleet's budget of extra attempts.
func NewRetries(share, reserve float64) Retries { return Retries{share: share, reserve: reserve} }

// Option sets one property of a Publisher.
type Option func(*Publisher)

// WithPoolOptions sets the options of the pools that are made for services.
func WithPoolOptions(opts ...limiter.Option) Option {
	return func(p *Publisher) { p.options = opts }
}

// WithRetries sets the fleet's budget of extra attempts for each service. The
// default bounds each instance by itself.
func WithRetries(r Retries) Option { return func(p *Publisher) { p.retries = r } }

// WithObserver sets who is told of each configuration just before it comes into
// force. It must not call the Publisher but for Current.
func WithObserver(observe func(descriptor.Deployment)) Option {
	return func(p *Publisher) { p.observe = observe }
}

// New returns a Publisher for the instance with an empty snapshot in force.
func New(self registrar.Instance, opts ...Option) *Publisher {
	p := &Publisher{self: self, changed: make(chan struct{}), observe: func(descriptor.Deployment) {}}
	for _, opt := range opts {
		opt(p)
	}
	p.current.Store(&Snapshot{index: classifier.NewIndex(descriptor.Deployment{})})
	return p
}

// Current returns the snapshot in force.
func (p *Publisher) Current() *Snapshot { return p.current.Load() }

// Changed returns a channel that is closed when the next snapshot is in force.
func (p *Publisher) Changed() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.changed
}

// PublishDeployment puts a configuration in force. The error is a
// *RevisionError if its revision is not larger than the one in force.
func (p *Publisher) PublishDeployment(d descriptor.Deployment, source string) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	old := p.current.Load()
	if d.Revision() <= old.deployment.Revision() {
		return &RevisionError{have: old.deployment.Revision(), got: d.Revision()}
	}
	next := *old
	next.deployment = d
	next.index = classifier.NewIndex(d)
	next.since = time.Now()
	next.source = source
	next.lanes = p.lanesFor(old, d)
	p.observe(d)
	p.swap(&next)
	return nil
}

// PublishList puts a list of the fleet in force. An older list is ignored.
func (p *Publisher) PublishList(list registrar.List) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	old := p.current.Load()
	if list.Version() < old.list.Version() {
		return
	}
	next := *old
	next.list = list
	p.swap(&next)
}

// lanesFor keeps the lanes of services that stay.
func (p *Publisher) lanesFor(old *Snapshot, d descriptor.Deployment) map[descriptor.ServiceName]*Lane {
	lanes := make(map[descriptor.ServiceName]*Lane, len(d.Services()))
	for _, service := range d.Services() {
		lane := old.lanes[service.Name()]
		if lane == nil {
			lane = &Lane{pool: limiter.New(service.Name(), p.self, p.options...), budget: p.newBudget()}
		}
		lanes[service.Name()] = lane
	}
	return lanes
}

func (p *Publisher) newBudget() *budgeter.Share {
	if p.retries.share == 0 {
		return budgeter.NewShare(retrier.BudgetShare)
	}
	return budgeter.NewEmptyShare(p.retries.share)
}

// swap puts the fleet into the pools, then the snapshot in force; the caller
// holds the mutex.
func (p *Publisher) swap(next *Snapshot) {
	byService := make(map[descriptor.ServiceName][]registrar.Worker, len(next.lanes))
	for _, w := range next.list.Workers() {
		byService[w.Service()] = append(byService[w.Service()], w)
	}
	for name, lane := range next.lanes {
		lane.pool.Update(byService[name], next.list.Instances())
		if instances := len(next.list.Instances()); p.retries.reserve > 0 && instances > 0 {
			lane.budget.SetMost(p.retries.reserve / float64(instances))
		}
	}
	p.current.Store(next)
	close(p.changed)
	p.changed = make(chan struct{})
}
