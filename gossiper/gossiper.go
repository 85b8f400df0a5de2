// Package gossiper keeps the load data of a region's workers fresh. The region's
// coordinators divide the health checks of the workers among themselves and gossip
// the results by datagrams.
package gossiper

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/descriptor"
	"burdocklane/healthchecker"
	"burdocklane/publisher"
	"burdocklane/recoverer"
	"burdocklane/registrar"
	"burdocklane/storer"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

const (
	// refreshInterval is the shortest target interval between load reports of a worker.
	refreshInterval = 50 * time.Millisecond
	// maxRefreshInterval is the longest one. A worker's load changes within some hundred
	// milliseconds.
	maxRefreshInterval = 3 * refreshInterval
	// refreshTargetShare is the interval as a share of the shortest target of the
	// worker's service: what counts is how much of the target a wrong choice costs. The
	// worker that is chosen is checked once more before the call is sent.
	refreshTargetShare = 0.3
	// tickInterval is how often updates are sent and due checks are started.
	tickInterval = refreshInterval / 2
	// recheckMargin is how long before the end of its refresh interval a worker is due
	// for a check.
	recheckMargin = tickInterval / 2
	// heartbeatInterval is how often every coordinator gets a datagram, even if there
	// are no updates for it.
	heartbeatInterval = 2 * refreshInterval
	// idleTickInterval is how often an instance that is no coordinator checks which
	// coordinators are alive: a third of the time after which one counts as dead.
	idleTickInterval = peerTimeout / 3
	// peerTimeout is how long a coordinator may be silent before others take over
	// the checks of its workers.
	peerTimeout     = 6 * refreshInterval
	maxDatagramSize = 8 << 10
	// socketErrorPause is the pause after a datagram could not be received: the error may
	// last.
	socketErrorPause = 10 * time.Millisecond
	// remoteTicks is the number of ticks between datagrams to another region.
	remoteTicks      = 20
	maxLocalDistance = 1 // Distance between availability zones of a region.
)

var (
	sentTotal     = metrics.NewCounter("burdocklane_datagrams_sent_total")
	receivedTotal = metrics.NewCounter("burdocklane_datagrams_received_total")
)

// RevisionHooks connects the gossip of the store's revision to the store's client: current
// returns the revision that this instance has, and observed gets the revision of
// each received datagram, which may be later. configuration returns the version of the
// configuration in force, and later gets the peers that have a later one.
type RevisionHooks struct {
	current       func() storer.Revision
	observed      func(storer.Revision)
	configuration func() descriptor.Revision
	later         func(peer registrar.Instance, version descriptor.Revision)
}

// NewRevisionHooks returns the hooks that read the store's revision and observe the revisions
// of peers.
func NewRevisionHooks(current func() storer.Revision, observed func(storer.Revision)) RevisionHooks {
	return RevisionHooks{
		current: current, observed: observed,
		configuration: func() descriptor.Revision { return 0 },
		later:         func(registrar.Instance, descriptor.Revision) {},
	}
}

// WithConfiguration returns the hooks that also compare versions of the configuration:
// current returns the one in force, or 0, and later gets each datagram of a peer that
// names a later one. It must not block.
func (h RevisionHooks) WithConfiguration(current func() descriptor.Revision, later func(peer registrar.Instance, version descriptor.Revision)) RevisionHooks {
	h.configuration, h.later = current, later
	return h
}

// Gossiper runs health checks and exchanges datagrams with other instances.
type Gossiper struct {
	self          registrar.Instance
	hash          uint32
	publisher     *publisher.Publisher
	hooks         RevisionHooks
	checker       *healthchecker.Checker
	log           zerolog.Logger
	socket        *net.UDPConn
	started       time.Time
	view          atomic.Pointer[view]
	liveInstances atomic.Pointer[[]registrar.Instance]
	heartbeatAt   time.Duration // Used by the run goroutine alone, as is roleTable.
	roleTable     *roleTable
	heard         atomic.Pointer[peerRevision]
	lastSeen      sync.Map // From an instance's hash to *atomic.Int64, when it was last known to be alive.
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup
}

// New opens the instance's port for datagrams and starts the health checks and the
// exchange.
func New(self registrar.Instance, p *publisher.Publisher, c *healthchecker.Checker, hooks RevisionHooks, log zerolog.Logger) (*Gossiper, error) {
	address, err := net.ResolveUDPAddr("udp4", self.PeerAddress())
	if err != nil {
		return nil, errors.Wrap(err, "resolve the address for datagrams")
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for datagrams")
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &Gossiper{
		self: self, hash: registrar.Hash(string(self.ID())), publisher: p, hooks: hooks, checker: c, log: log,
		socket: socket, started: time.Now(), roleTable: &roleTable{}, cancel: cancel,
	}
	i.view.Store(&view{})
	i.liveInstances.Store(&[]registrar.Instance{self})
	i.goroutines.Go(func() { i.run(ctx) })
	i.goroutines.Go(i.receive)
	return i, nil
}

// Close stops the checks and the exchange, and waits for those in progress.
func (i *Gossiper) Close() {
	i.cancel()
	i.socket.Close()
	i.goroutines.Wait()
}

// LiveCoordinators returns the region's live coordinators, or this instance alone if there are
// none. The caller must not change the slice.
func (i *Gossiper) LiveCoordinators() []registrar.Instance { return *i.liveInstances.Load() }

func (i *Gossiper) now() time.Duration { return time.Since(i.started) }

func (i *Gossiper) run(ctx context.Context) {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		recoverer.Do(i.log, "gossip tick", func() { i.tick(ctx, tick) }) //nolint:errcheck // Logged.
		timer.Reset(nextTick(i.view.Load().isCoordinator, len(*i.liveInstances.Load())))
	}
}

// tick starts the health checks that are due, and sends what is new.
func (i *Gossiper) tick(ctx context.Context, number int) {
	v := i.current()
	i.check(ctx, v)
	if !v.isCoordinator {
		return
	}
	i.sendUpdates(v)
	if number%remoteTicks == 0 {
		i.sendRevision(v)
	}
}

// nextTick returns the time until the next tick. An instance that is no coordinator has
// nothing to check or to send as long as it sees live coordinators; without any, it acts
// as one.
func nextTick(isCoordinator bool, live int) time.Duration {
	if isCoordinator || live <= 1 {
		return tickInterval
	}
	return idleTickInterval
}

// current returns the view of the active snapshot.
func (i *Gossiper) current() *view {
	v := i.view.Load()
	if snapshot := i.publisher.Current(); v.snapshot != snapshot {
		v = newView(snapshot, i.self, v)
		i.view.Store(v)
	}
	return v
}

// check starts health checks of the workers that this instance owns and whose
// reports are due for a refresh.
func (i *Gossiper) check(ctx context.Context, v *view) {
	if live := i.live(v); !i.roleTable.validFor(v, live) {
		i.roleTable = newRoleTable(v, live)
		i.publishLive(live)
	}
	for n, t := range v.targets {
		if i.roleTable.byTarget[n].owner != i.hash || !t.checkDue() {
			continue
		}
		if t.state.checking.CompareAndSwap(false, true) {
			i.goroutines.Go(func() {
				defer t.state.checking.Store(false)
				recoverer.Do(i.log, "health check", func() { //nolint:errcheck // Logged.
					i.applyCheck(ctx, t, i.checker.Check(ctx, t.worker.Member(), t.path))
				})
			})
		}
	}
}

// live returns the coordinators that have been seen within peerTimeout. An instance
// that sees none acts as the only coordinator.
func (i *Gossiper) live(v *view) []peer {
	oldest := int64(i.now() - peerTimeout)
	live := make([]peer, 0, len(v.coordinators)+1)
	for _, p := range v.coordinators {
		if at, ok := i.lastSeen.Load(p.hash); ok && at.(*atomic.Int64).Load() > oldest {
			live = append(live, p)
		}
	}
	if v.isCoordinator || len(live) == 0 {
		live = append(live, peer{hash: i.hash, instance: i.self})
	}
	return live
}

func (i *Gossiper) publishLive(live []peer) {
	instances := make([]registrar.Instance, 0, len(live))
	for _, p := range live {
		instances = append(instances, p.instance)
	}
	i.liveInstances.Store(&instances)
}

func (i *Gossiper) applyCheck(ctx context.Context, t *target, health healthchecker.Health) {
	if ctx.Err() != nil {
		return
	}
	switch h := health.(type) {
	case healthchecker.Healthy:
		t.worker.SetUnhealthy(false)
	case healthchecker.Unhealthy:
		t.worker.SetUnhealthy(true)
	case healthchecker.Unreachable:
		i.log.Debug().Err(h.Err()).Str("worker", string(t.worker.ID())).Msg("worker did not answer a health check")
		t.state.unreachable.Store(true)
		t.pool.BackOff(t.worker)
		return
	case healthchecker.WrongWorker:
		i.log.Info().Str("worker", string(t.worker.ID())).Str("found", string(h.ID())).Msg("address belongs to another worker")
		t.pool.MarkLeaving(t.worker)
		return
	}
	t.pool.RecordCheck(t.worker, healthchecker.IsHealthy(health), healthchecker.AnnouncesLeaving(health))
	if left, ok := healthchecker.WarmupOf(health); ok && t.recordWarmup(left) {
		i.log.Info().Str("worker", string(t.worker.ID())).Dur("left-ms", left).Msg("worker is cold")
	}
	if load, ok := healthchecker.LoadOf(health); ok {
		t.pool.RecordReport(t.worker, load.Report(t.pool.Now()))
	}
}
