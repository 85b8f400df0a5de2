// Package informer keeps what is known of the workers' load fresh. The
// instances of a region divide the status checks of its workers among
// themselves, and tell each other by datagrams what they have learnt.
package informer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/checker"
	"burdocklane/publisher"
	"burdocklane/registrar"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

const (
	// period is how often a worker's load is to be learnt anew.
	period = 50 * time.Millisecond
	// turnTime is how often what is new is told.
	turnTime = period / 2
	// freshAge is the age up to which a report needs no check yet.
	freshAge = period - turnTime/2
	// quietMost is how long an instance that has nothing new to tell is silent.
	quietMost = 2 * period
	// peerSilence is how long a peer may be silent before its workers are
	// checked by others.
	peerSilence  = 6 * period
	mostDatagram = 8 << 10
	// farEvery turns a peer of another region is told how far the store is.
	farEvery      = 20
	regionalSteps = 1 // Of registrar.Place.Distance.
)

var (
	sentTotal     = metrics.NewCounter("burdocklane_datagrams_sent_total")
	receivedTotal = metrics.NewCounter("burdocklane_datagrams_received_total")
)

// News is where the store's revision is known from, and who is to be told when
// a peer knows of a later one.
type News struct {
	revision func() int64
	behind   func(int64)
}

// NewNews returns the source of the revision and the listener for later ones.
func NewNews(revision func() int64, behind func(int64)) News {
	return News{revision: revision, behind: behind}
}

// Informer makes checks and exchanges datagrams.
type Informer struct {
	self      registrar.Instance
	hash      uint32
	publisher *publisher.Publisher
	news      News
	checker   *checker.Checker
	log       zerolog.Logger
	socket    *net.UDPConn
	started   time.Time
	view      atomic.Pointer[view]
	alive     atomic.Pointer[[]registrar.Instance]
	toldAt    time.Duration // Used by the run goroutine alone, as are the duties.
	duties    *duties
	known     atomic.Int64 // The latest revision of the store that was heard of.
	heard     sync.Map     // From an instance's hash to *atomic.Int64, when it was last heard.
	cancel    context.CancelFunc
	running   sync.WaitGroup
}

// New opens the instance's port for datagrams and starts an Informer.
func New(self registrar.Instance, p *publisher.Publisher, c *checker.Checker, news News, log zerolog.Logger) (*Informer, error) {
	address, err := net.ResolveUDPAddr("udp4", self.Peers())
	if err != nil {
		return nil, errors.Wrap(err, "address for datagrams")
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for datagrams")
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &Informer{
		self: self, hash: registrar.Hash(string(self.ID())), publisher: p, news: news, checker: c, log: log,
		socket: socket, started: time.Now(), duties: &duties{}, cancel: cancel,
	}
	i.view.Store(&view{})
	i.alive.Store(&[]registrar.Instance{self})
	i.running.Go(func() { i.run(ctx) })
	i.running.Go(i.receive)
	return i, nil
}

// Close ends the checks and waits for them.
func (i *Informer) Close() {
	i.cancel()
	i.socket.Close()
	i.running.Wait()
}

// Live returns the members of the region's council that have been heard of late,
// or this instance alone if there are none. The caller must not change the slice.
func (i *Informer) Live() []registrar.Instance { return *i.alive.Load() }

func (i *Informer) now() time.Duration { return time.Since(i.started) }

func (i *Informer) run(ctx context.Context) {
	ticker := time.NewTicker(turnTime)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			v := i.current()
			i.check(ctx, v)
			if v.member {
				i.tell(v)
			}
			if v.member && turn%farEvery == 0 {
				i.tellFar(v)
			}
		}
	}
}

// current returns the view of the snapshot in force.
func (i *Informer) current() *view {
	v := i.view.Load()
	if snapshot := i.publisher.Current(); v.snapshot != snapshot {
		v = newView(snapshot, i.self, v)
		i.view.Store(v)
	}
	return v
}

// check asks the workers that fall to this instance and whose reports are old.
func (i *Informer) check(ctx context.Context, v *view) {
	if live := i.live(v); !i.duties.hold(v, live) {
		i.duties = newDuties(v, live)
		i.showLive(live)
	}
	for n, t := range v.targets {
		if i.duties.of[n].owner != i.hash || !t.due() {
			continue
		}
		if t.state.busy.CompareAndSwap(false, true) {
			i.running.Go(func() {
				defer t.state.busy.Store(false)
				i.learn(ctx, t, i.checker.Check(ctx, t.worker.Member(), t.path))
			})
		}
	}
}

// live returns the members of the council that have been heard of late. An
// instance that hears of none is a council by itself.
func (i *Informer) live(v *view) []peer {
	oldest := int64(i.now() - peerSilence)
	live := make([]peer, 0, len(v.council)+1)
	for _, p := range v.council {
		if at, ok := i.heard.Load(p.hash); ok && at.(*atomic.Int64).Load() > oldest {
			live = append(live, p)
		}
	}
	if v.member || len(live) == 0 {
		live = append(live, peer{hash: i.hash, instance: i.self})
	}
	return live
}

func (i *Informer) showLive(live []peer) {
	instances := make([]registrar.Instance, 0, len(live))
	for _, p := range live {
		instances = append(instances, p.instance)
	}
	i.alive.Store(&instances)
}

func (i *Informer) learn(ctx context.Context, t *target, health checker.Health) {
	if ctx.Err() != nil {
		return
	}
	var reading checker.Reading
	switch h := health.(type) {
	case checker.Well:
		reading = h.Load()
		t.worker.SetAiling(false)
	case checker.Ill:
		reading = h.Load()
		t.worker.SetAiling(true)
	case checker.Away:
		i.log.Debug().Err(h.Err()).Str("worker", string(t.worker.ID())).Msg("worker did not answer a status check")
		t.state.away.Store(true)
		t.pool.Away(t.worker)
		return
	case checker.Misplaced:
		i.log.Info().Str("worker", string(t.worker.ID())).Str("found", string(h.ID())).Msg("address belongs to another worker")
		t.pool.Draining(t.worker)
		return
	}
	if load, ok := reading.Load(); ok {
		t.pool.Reported(t.worker, load.Report(t.pool.Now()))
	}
}
