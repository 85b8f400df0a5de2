// Package conductor runs one instance on the users' platform: it lays the
// pipelines of calls and of changes before the platform's adapter.
package conductor

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/arbiter"
	"burdocklane/asserter"
	"burdocklane/checker"
	"burdocklane/dispatcher"
	"burdocklane/follower"
	"burdocklane/informer"
	"burdocklane/limiter"
	"burdocklane/listener"
	"burdocklane/parser"
	"burdocklane/picker"
	adapter "burdocklane/platform"
	"burdocklane/publisher"
	"burdocklane/recorder"
	"burdocklane/registrant"
	"burdocklane/registrar"
	"burdocklane/relayer"
	"burdocklane/sender"
	"burdocklane/storer"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// memoryShare is the part of the memory limit that the heap may fill.
	memoryShare = 0.6
	// collectPercent is how much the heap may grow between two collections, in
	// percent of what is in use: instances have more processor than memory.
	collectPercent = 50
	// notice is how long an instance that is to stop takes connections, while
	// the platform's balancer turns away from it.
	notice = 2500 * time.Millisecond
	// stopSlack is left of the time to stop for closing what is not a call.
	stopSlack = 500 * time.Millisecond
	// heldBytes of an answer are read before any of it is passed on.
	heldBytes = 64 << 10
	// upstreamIdle is shorter than the workers' own idle timeout.
	upstreamIdle   = 8 * time.Second
	connectTimeout = 300 * time.Millisecond
	// budgetUse is the part of the fleet's retry budget that is spent.
	budgetUse = 0.85
	// firstWait is how long the callers' port waits for the first configuration.
	firstWait     = time.Second
	readyTimeout  = 5 * time.Second
	recentKept    = 256
	decisionsKept = 1024
	// relayPatience is the part of the time for a change that a watch or a relay has
	// to show one that other peers know: a little more than the longest pause
	// between two watches of the store.
	relayPatience = 0.3
	// linesKept log lines wait for an output that does not take them.
	linesKept = 1024
)

var linesLost = metrics.NewCounter("burdocklane_log_lines_lost_total")

// Conductor is a running instance.
type Conductor struct {
	settings   adapter.Settings
	log        zerolog.Logger
	lines      io.Closer
	asserter   *asserter.Asserter
	recorder   *recorder.Recorder
	publisher  *publisher.Publisher
	dispatcher *dispatcher.Dispatcher
	sender     *sender.Sender
	handler    *listener.Handler
	listener   *listener.Listener
	store      *storer.Remote
	closeStore func()
	directory  *adapter.Directory
	follower   *follower.Follower
	chooser    *relayer.Chooser
	relay      *relayer.Relay
	registrant *registrant.Registrant
	informer   *informer.Informer
	arbiter    atomic.Pointer[arbiter.Arbiter]
	ready      *http.Server
	serving    sync.WaitGroup
	listed     atomic.Bool
	leaving    atomic.Bool
}

// New starts an instance that logs to the output.
func New(settings adapter.Settings, output io.Writer) (*Conductor, error) {
	if settings.MemoryBytes() > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes())))
	}
	debug.SetGCPercent(collectPercent)
	lines := diode.NewWriter(output, linesKept, 0, func(missed int) { linesLost.Add(missed) })
	log := recorder.NewLog(lines, zerolog.InfoLevel, settings.Instance())
	log.Info().Str("region", settings.Place().Region()).Str("zone", settings.Place().Zone()).Msg("instance starts")
	c := &Conductor{settings: settings, log: log, lines: lines}
	c.layCalls()
	if err := c.layChanges(); err != nil {
		c.Close() //nolint:errcheck // The first error tells more.
		return nil, err
	}
	if err := c.open(); err != nil {
		c.Close() //nolint:errcheck // The first error tells more.
		return nil, err
	}
	log.Info().Str("callers", c.listener.Address()).Msg("instance is open")
	return c, nil
}

func (c *Conductor) self() registrar.Instance {
	return registrar.NewInstance(c.settings.Instance(), c.settings.Peers(), "", c.settings.Place(), false).
		WithRulings(c.settings.Rulings()).WithPower(c.settings.Power())
}

// layCalls puts the filters of a call in a row.
func (c *Conductor) layCalls() {
	c.asserter = asserter.New(c.log)
	c.recorder = recorder.New(c.log, recorder.WithBuffer(decisionsKept), recorder.WithRecent(recentKept))
	c.publisher = publisher.New(c.self(),
		publisher.WithPoolOptions(limiter.WithPolicy(picker.ReportedLoad{}), limiter.WithDecider(c.decide)),
		publisher.WithRetries(publisher.NewRetries(budgetUse*c.settings.RetryShare(), budgetUse*c.settings.RetryExtra())))
	c.sender = sender.New(
		sender.WithConnectTimeout(connectTimeout),
		sender.WithIdleTimeout(upstreamIdle),
		sender.WithHeldBytes(heldBytes),
		sender.WithEcho(adapter.HeaderRequestID))
	c.dispatcher = dispatcher.New(c.publisher, c.recorder, c.asserter)
}

// layChanges puts the filters of a change in a row.
func (c *Conductor) layChanges() error {
	c.directory = adapter.NewDirectory(c.settings, c.log)
	c.store, c.closeStore = adapter.NewStore(c.settings.Store(), c.settings.ChangeTime())
	var err error
	c.registrant, err = registrant.New(c.store, adapter.InstancePrefix, c.self(), c.log)
	if err != nil {
		return err
	}
	revision := func() int64 { return c.follower.Revision() }
	c.chooser = relayer.NewChooser(c.self(), revision, func() []registrar.Instance { return c.informer.Live() })
	c.relay, err = relayer.New(c.settings.Peers(), func() bool { return c.follower.IsDirect() }, c.log)
	if err != nil {
		return err
	}
	c.follower = follower.New(c.store, adapter.WatchedPrefix, c.learn, c.log, follower.WithRelays(follower.NewRelays(
		c.chooser.Wanted, c.chooser.Next, c.chooser.Failed, time.Duration(relayPatience*float64(c.settings.ChangeTime())))))
	c.informer, err = informer.New(c.self(), c.publisher,
		checker.New(c.sender, adapter.HeaderWorker, adapter.HeaderLoad),
		informer.NewNews(c.follower.Revision, c.follower.Behind), c.log)
	if err != nil {
		return err
	}
	a, err := arbiter.New(c.self(), c.publisher, c.informer.Live, c.log)
	if err != nil {
		return err
	}
	c.arbiter.Store(a)
	c.follower.Start()
	return nil
}

// decide asks the region's arbiter, once there is one.
func (c *Conductor) decide(ctx context.Context, p *limiter.Pool, ask limiter.Ask) limiter.Ruling {
	if a := c.arbiter.Load(); a != nil {
		return a.Decide(ctx, p, ask)
	}
	return limiter.Undecided{}
}

// learn puts what the store holds in force.
func (c *Conductor) learn(usable []storer.Pair, stored storer.Page) {
	list, changed := c.directory.Read(usable)
	c.registrant.Seen(usable)
	c.relayed(list, stored)
	if changed != nil {
		if err := c.publisher.PublishDeployment(*changed, "store"); err != nil {
			c.log.Warn().Err(err).Msg("an older configuration was ignored")
		} else {
			c.log.Info().Int64("revision", int64(changed.Revision())).Msg("configuration is in force")
		}
	}
	c.publisher.PublishList(list)
	if !c.listed.Swap(true) {
		c.log.Info().Int("workers", len(list.Workers())).Int("instances", len(list.Instances())).Msg("first list of the fleet")
	}
}

// relayed hands the keys on, if this instance is a relay.
func (c *Conductor) relayed(list registrar.List, stored storer.Page) {
	if !c.chooser.Learn(list.Instances()) {
		c.relay.Hide()
		return
	}
	c.relay.Show(stored)
}

// open serves callers, and the platform's question whether it may send them.
func (c *Conductor) open() error {
	c.awaitFirst()
	limits := parser.DefaultLimits(parser.WithCallerBounds(c.publisher.Current().Deployment().Bounds()),
		parser.WithDrainTimeout(c.settings.Grace()-notice-stopSlack))
	c.handler = listener.NewHandler(c.dispatcher, c.publisher, c.sender, c.asserter, limits, listener.WithDialect(adapter.Dialect()))
	var err error
	if c.listener, err = listener.New(c.settings.Callers(), c.handler, limits); err != nil {
		return err
	}
	socket, err := net.Listen("tcp", c.settings.Ready())
	if err != nil {
		return errors.Wrap(err, "listen for readiness")
	}
	router := mux.NewRouter()
	router.HandleFunc(adapter.ReadyPath, c.answerReady).Methods(http.MethodGet)
	router.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	c.ready = &http.Server{Handler: router, ReadHeaderTimeout: readyTimeout}
	c.serving.Go(func() {
		c.ready.Serve(socket) //nolint:errcheck // Always ErrServerClosed.
	})
	return nil
}

// awaitFirst waits a little for the first configuration, whose bounds the
// callers' port takes over.
func (c *Conductor) awaitFirst() {
	timer := time.NewTimer(firstWait)
	defer timer.Stop()
	for !c.publisher.Current().Ready() {
		select {
		case <-c.publisher.Changed():
		case <-timer.C:
			return
		}
	}
}

func (c *Conductor) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !c.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (c *Conductor) isReady() bool {
	return !c.leaving.Load() && c.publisher.Current().Ready() && c.listed.Load()
}

// Reload takes note of the settings file after a change. What this instance is
// and where it listens stays as it was at the start; a file that cannot be read
// changes nothing.
func (c *Conductor) Reload(settings adapter.Settings, err error) {
	if err != nil {
		c.log.Error().Err(err).Msg("settings are not readable; those in force stay")
		return
	}
	c.log.Info().Bool("same-address", settings.Callers() == c.settings.Callers()).Msg("settings were read again")
}

// Close shuts the instance down gracefully. The error tells of calls that had
// to be cut.
func (c *Conductor) Close() error {
	c.leaving.Store(true)
	c.log.Info().Int64("in-flight", c.dispatcher.InFlight()).Msg("instance stops")
	var err error
	if c.listener != nil {
		c.handler.Drain()
		time.Sleep(notice)
		err = c.listener.Close()
	}
	if c.follower != nil {
		c.follower.Close()
	}
	if c.relay != nil {
		c.relay.Close()
	}
	if c.chooser != nil {
		c.chooser.Close()
	}
	if a := c.arbiter.Load(); a != nil {
		a.Close()
	}
	if c.informer != nil {
		c.informer.Close()
	}
	if c.registrant != nil {
		c.registrant.Close()
	}
	c.dispatcher.Close()
	c.sender.Close()
	if c.ready != nil {
		c.ready.Close()
		c.serving.Wait()
	}
	c.closeStore()
	c.recorder.Close()
	c.log.Info().Err(err).Msg("instance is closed")
	if closeErr := c.lines.Close(); err == nil {
		return closeErr
	}
	return err
}
