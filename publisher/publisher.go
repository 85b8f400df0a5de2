package publisher

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/authenticator"
	"burdocklane/budgeter"
	"burdocklane/classifier"
	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/registrar"
	"burdocklane/retrier"
)

// RevisionError reports a configuration that is not newer than the active one.
type RevisionError struct {
	have descriptor.Revision
	got  descriptor.Revision
}

// Active returns the active revision.
func (e *RevisionError) Active() descriptor.Revision { return e.have }

// Rejected returns the rejected revision.
func (e *RevisionError) Rejected() descriptor.Revision { return e.got }

// Error implements error.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("revision %d is not newer than the active revision %d", e.got, e.have)
}

// ContentError reports a configuration that has the revision of the active one and
// other content, although the store has not gone back to an older copy since.
type ContentError struct {
	revision descriptor.Revision
	era      int64
}

// Error implements error.
func (e *ContentError) Error() string {
	return fmt.Sprintf("revision %d has other content than the active one, which was read in era %d of the store or a later one", e.revision, e.era)
}

// Publisher builds snapshots from configurations and lists, and makes them active.
type Publisher struct {
	current     atomic.Pointer[Snapshot]
	self        registrar.Instance
	poolOptions []limiter.Option
	retryBudget RetryBudget
	observe     func(descriptor.Deployment)

	mutex     sync.Mutex // Serializes writers, and guards the fields below. Readers use current.
	activeEra int64      // The latest era of the store in which the active configuration was read.
	changed   chan struct{}
}

// RetryBudget is the fleet's budget of extra attempts for each service: a ratio of the
// calls, and a burst of attempts that the instances divide evenly.
type RetryBudget struct {
	ratio float64
	burst float64
}

// NewRetryBudget returns the fleet's budget of extra attempts.
func NewRetryBudget(ratio, burst float64) RetryBudget { return RetryBudget{ratio: ratio, burst: burst} }

// Option sets one property of a Publisher.
type Option func(*Publisher)

// WithPoolOptions sets the options of the pools of services.
func WithPoolOptions(opts ...limiter.Option) Option {
	return func(p *Publisher) { p.poolOptions = opts }
}

// WithRetryBudget sets the fleet's budget of extra attempts for each service. By default,
// each instance has a budget of its own.
func WithRetryBudget(r RetryBudget) Option { return func(p *Publisher) { p.retryBudget = r } }

// WithObserver sets a function that gets each configuration just before it becomes
// active. The function must not call any method of the Publisher except Current.
func WithObserver(observe func(descriptor.Deployment)) Option {
	return func(p *Publisher) { p.observe = observe }
}

// New returns a Publisher for the instance. Its first snapshot is empty.
func New(self registrar.Instance, opts ...Option) *Publisher {
	p := &Publisher{self: self, changed: make(chan struct{}), observe: func(descriptor.Deployment) {}}
	for _, opt := range opts {
		opt(p)
	}
	p.current.Store(&Snapshot{index: classifier.NewIndex(descriptor.Deployment{}), authenticator: authenticator.NewIndex(nil)})
	return p
}

// Current returns the active snapshot.
func (p *Publisher) Current() *Snapshot { return p.current.Load() }

// Changed returns a channel that is closed when the next snapshot is active.
func (p *Publisher) Changed() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.changed
}

// PublishDeployment makes a configuration active. The error is a *RevisionError if
// its revision is smaller than the active one, or has the same content. With other
// content, the same revision becomes active if it is of a later era of the store;
// otherwise the error is a *ContentError.
func (p *Publisher) PublishDeployment(d descriptor.Deployment, source string) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	old := p.current.Load()
	if isSame(d, old.deployment) {
		p.activeEra = max(p.activeEra, d.Origin().Era())
	}
	if err := p.checkIsNewer(d, old.deployment); err != nil {
		return err
	}
	p.activeEra = d.Origin().Era()
	next := *old
	next.deployment = d
	next.index = classifier.NewIndex(d)
	next.authenticator = authenticator.NewIndex(d.Tenants())
	next.tenantsByHash = tenantsByHash(d)
	next.activeSince = time.Now()
	next.source = source
	next.serviceStates = p.serviceStatesFor(old, d)
	p.observe(d)
	p.swap(&next)
	return nil
}

// checkIsNewer returns an error unless a configuration replaces the active one. The
// caller holds the mutex.
func (p *Publisher) checkIsNewer(d, active descriptor.Deployment) error {
	isOlder := d.Revision() < active.Revision() || d.Revision() == 0
	switch {
	case isOlder || isSame(d, active):
		return &RevisionError{have: active.Revision(), got: d.Revision()}
	case d.Revision() == active.Revision() && d.Origin().Era() <= p.activeEra:
		return &ContentError{revision: d.Revision(), era: p.activeEra}
	}
	return nil
}

func isSame(a, b descriptor.Deployment) bool {
	return a.Revision() == b.Revision() && a.Origin().SameContent(b.Origin())
}

// PublishList makes a list of the fleet active. An older list is ignored.
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

// serviceStatesFor returns the states of the services of a configuration. It keeps
// those of services that are also in the old snapshot.
func (p *Publisher) serviceStatesFor(old *Snapshot, d descriptor.Deployment) map[descriptor.ServiceName]*ServiceState {
	ranked := d.RankedServices()
	serviceStates := make(map[descriptor.ServiceName]*ServiceState, len(d.Services()))
	for _, service := range d.Services() {
		state := old.serviceStates[service.Name()]
		if state == nil {
			state = &ServiceState{pool: limiter.New(service.Name(), p.self, p.poolOptions...), budget: p.newBudget()}
		}
		state.pool.SetWarmup(service.Warmup())
		state.pool.SetRanksCalls(ranked[service.Name()])
		serviceStates[service.Name()] = state
	}
	return serviceStates
}

func (p *Publisher) newBudget() *budgeter.AttemptBudget {
	if p.retryBudget.ratio == 0 {
		return budgeter.NewAttemptBudget(retrier.BudgetShare)
	}
	return budgeter.NewEmptyAttemptBudget(p.retryBudget.ratio)
}

// swap updates the pools from the list of the fleet and then makes the snapshot
// active. The caller holds the mutex.
func (p *Publisher) swap(next *Snapshot) {
	byService := make(map[descriptor.ServiceName][]registrar.Worker, len(next.serviceStates))
	for _, w := range next.list.Workers() {
		byService[w.Service()] = append(byService[w.Service()], w)
	}
	for name, state := range next.serviceStates {
		state.pool.Update(byService[name], next.list.Instances())
		if instances := len(next.list.Instances()); p.retryBudget.burst > 0 && instances > 0 {
			state.budget.SetBurst(p.retryBudget.burst / float64(instances))
		}
	}
	p.current.Store(next)
	close(p.changed)
	p.changed = make(chan struct{})
}
