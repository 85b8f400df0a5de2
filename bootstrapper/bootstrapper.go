// Package bootstrapper runs one instance on the users' platform. It connects the
// pipeline for calls and the one for configuration and fleet changes to the
// platform's adapter.
package bootstrapper

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/acceptor"
	"burdocklane/asserter"
	"burdocklane/confirmer"
	"burdocklane/descriptor"
	"burdocklane/dispatcher"
	"burdocklane/drainer"
	"burdocklane/fetcher"
	"burdocklane/follower"
	"burdocklane/gossiper"
	"burdocklane/healthchecker"
	"burdocklane/inspector"
	"burdocklane/limiter"
	"burdocklane/listener"
	"burdocklane/parser"
	"burdocklane/picker"
	adapter "burdocklane/platform"
	"burdocklane/previewer"
	"burdocklane/publisher"
	"burdocklane/recorder"
	"burdocklane/registrant"
	"burdocklane/registrar"
	"burdocklane/relayer"
	"burdocklane/scheduler"
	"burdocklane/sender"
	"burdocklane/shedder"
	"burdocklane/storer"
	"burdocklane/verifier"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// heapLimitRatio is the fraction of the instance's memory limit that is set as
	// the limit of the Go runtime.
	heapLimitRatio = 0.6
	// gcPercent is the value of GOGC. It is below Go's default of 100, since
	// instances have more processor time to spare than memory.
	gcPercent = 50
	// drainDelay is how long a stopping instance still accepts connections while the
	// platform's load balancer takes it out of rotation.
	drainDelay = 2500 * time.Millisecond
	// shutdownMargin is the part of the grace period that is kept for closing
	// everything other than calls.
	shutdownMargin = 500 * time.Millisecond
	// answerMargin is how long before the calls in flight are aborted a worker has to end
	// a call that arrives during a planned stop: its answer is still on its way then.
	answerMargin = 100 * time.Millisecond
	// bufferedResponseBytes is the longest response body that is read completely
	// before it is forwarded.
	bufferedResponseBytes = 64 << 10
	// upstreamIdleTimeout has to be shorter than the workers' idle timeout.
	upstreamIdleTimeout = 8 * time.Second
	connectTimeout      = 300 * time.Millisecond
	// retryBudgetUse is the fraction of the fleet's retry budget that is used.
	retryBudgetUse = 0.85
	// leavingGraceRatio is the fraction of the time for draining in which a worker that is
	// about to stop still gets the calls that no other worker can take.
	leavingGraceRatio = 0.5
	// firstConfigurationTimeout is how long the opening of the callers' port waits
	// for the first configuration.
	firstConfigurationTimeout = time.Second
	recentDecisions           = 256
	decisionBuffer            = 1024
	// relayTimeoutRatio is the fraction of the time for propagating a change within
	// which a watch or a relay has to deliver a change that peers already know. It
	// is a little more than the longest pause between two watches of the store.
	relayTimeoutRatio = 0.3
	// logBufferLines is how many log lines are buffered while the output blocks.
	logBufferLines = 1024
)

var lostLogLines = metrics.NewCounter("burdocklane_log_lines_lost_total")

// Process is the running instance: its pipelines, servers and connections.
type Process struct {
	settings     adapter.Settings
	log          zerolog.Logger
	logWriter    io.Closer
	asserter     *asserter.Asserter
	recorder     *recorder.Recorder
	ledger       *drainer.Ledger
	publisher    *publisher.Publisher
	dispatcher   *dispatcher.Dispatcher
	sender       *sender.Sender
	checker      *healthchecker.Checker
	handler      *listener.Handler
	listener     *listener.Listener
	store        *storer.Remote
	closeStore   func()
	directory    *adapter.Directory
	follower     *follower.Follower
	selector     *relayer.Selector
	relay        *relayer.Relay
	registration *registrant.Registrant
	delegate     *registrant.Delegate
	fetcher      *fetcher.Fetcher
	peerClient   *relayer.ConfigurationClient
	confirmer    *confirmer.Confirmer
	applying     sync.Mutex // Serializes configurations of the follower and the fetcher.
	gossiper     *gossiper.Gossiper
	scheduler    atomic.Pointer[scheduler.Scheduler]
	readiness    *acceptor.CheckServer
	// callerShedder and checkShedder bound what callers and readiness checks hold.
	callerShedder *shedder.Shedder
	checkShedder  *shedder.Shedder
	serving       sync.WaitGroup
	hasList       atomic.Bool
	stopping      atomic.Bool
}

// New starts an instance that writes its log to the output.
func New(settings adapter.Settings, output io.Writer) (*Process, error) {
	if settings.MemoryBytes() > 0 {
		debug.SetMemoryLimit(int64(heapLimitRatio * float64(settings.MemoryBytes())))
	}
	debug.SetGCPercent(gcPercent)
	logWriter := diode.NewWriter(output, logBufferLines, 0, func(lost int) { lostLogLines.Add(lost) })
	log := recorder.NewLogger(logWriter, zerolog.InfoLevel, settings.Instance())
	log.Info().Str("region", settings.Locality().Region()).Str("zone", settings.Locality().Zone()).Msg("instance starts")
	p := &Process{settings: settings, log: log, logWriter: logWriter}
	p.buildCallPipeline()
	if err := p.buildChangePipeline(); err != nil {
		p.Close() //nolint:errcheck // The first error tells more.
		return nil, err
	}
	if err := p.serve(); err != nil {
		p.Close() //nolint:errcheck // The first error tells more.
		return nil, err
	}
	log.Info().Str("callers", p.listener.Address()).Msg("instance is open")
	return p, nil
}

func (p *Process) self() registrar.Instance {
	return registrar.NewInstance(p.settings.Instance(), p.settings.Peers(), "", p.settings.Locality(), false).
		WithSchedulerAddress(p.settings.SchedulerAddress()).WithCPUs(p.settings.CPUs())
}

// buildCallPipeline creates the filters that a call passes through.
func (p *Process) buildCallPipeline() {
	p.asserter = asserter.New(p.log)
	p.recorder = recorder.New(p.log, recorder.WithBufferSize(decisionBuffer), recorder.WithRecentSize(recentDecisions))
	p.ledger = drainer.New(drainer.WithLog(p.log))
	p.publisher = publisher.New(p.self(),
		publisher.WithPoolOptions(limiter.WithPolicy(picker.ReportedLoad{}), limiter.WithAssigner(p.requestAssignment),
			limiter.WithLedger(p.ledger), limiter.WithLeavingGrace(time.Duration(leavingGraceRatio*float64(p.settings.DrainTimeout()))),
			limiter.WithColdTolerance(p.settings.ColdTolerance())),
		publisher.WithRetryBudget(publisher.NewRetryBudget(retryBudgetUse*p.settings.RetryBudgetRatio(), retryBudgetUse*p.settings.RetryBudgetExtra())))
	p.sender = sender.New(
		sender.WithConnectTimeout(connectTimeout),
		sender.WithIdleTimeout(upstreamIdleTimeout),
		sender.WithMaxIdle(shedder.MaxIdleWorkerConnections(p.settings.MaxSockets())),
		sender.WithResponseBuffer(bufferedResponseBytes),
		sender.WithEchoHeader(adapter.HeaderRequestID))
	p.checker = healthchecker.New(p.sender, adapter.HeaderWorkerID, adapter.HeaderLoad, healthchecker.WithLeavingHeader(adapter.HeaderLeaving),
		healthchecker.WithWarmupHeader(adapter.HeaderWarmup))
	p.dispatcher = dispatcher.New(p.publisher, p.recorder, p.asserter, dispatcher.WithVerifier(verifier.New(p.checker)))
}

// buildChangePipeline creates the filters that a change of the configuration or
// the fleet passes through.
func (p *Process) buildChangePipeline() error {
	p.directory = adapter.NewDirectory(p.settings, p.log, adapter.WithLedger(p.ledger))
	p.store, p.closeStore = adapter.NewStore(p.settings.Store(), p.settings.MaxChangeDelay())
	var err error
	revision := func() storer.Revision { return p.follower.Revision() }
	p.selector = relayer.NewSelector(p.self(), revision, func() []registrar.Instance { return p.gossiper.LiveCoordinators() })
	zonePrefix := adapter.ZonePrefix(p.settings.Locality().Zone())
	p.registration, err = registrant.New(p.store, zonePrefix, p.self(), p.log, registrant.WithEnrolment(p.selector.Enroll))
	if err != nil {
		return err
	}
	p.delegate = registrant.NewDelegate(p.store, adapter.InstancePrefix, p.log)
	p.relay, err = relayer.New(p.settings.Peers(), func() bool { return p.follower.FollowsStore() }, p.log,
		relayer.WithEnrolment(p.delegate.Enroll), relayer.WithStoreLost(func() bool { return p.follower.HasLostStore() }))
	if err != nil {
		return err
	}
	catchUpTimeout := time.Duration(relayTimeoutRatio * float64(p.settings.MaxChangeDelay()))
	relays := follower.NewRelays(p.selector.UsesRelays, p.selector.Relays, p.selector.ReportFailure, catchUpTimeout).
		WithFallbacks(p.selector.Fallbacks)
	d := &discovery{self: p.self(), selector: p.selector, register: p.registration.Register}
	p.follower = follower.New(p.store, adapter.WatchedPrefix, p.applyKeys, p.log, follower.WithRelays(relays), follower.WithOnLost(p.relay.Recheck),
		follower.WithDiscovery(follower.NewDiscovery(zonePrefix, d.firstSource)))
	p.peerClient = relayer.NewConfigurationClient()
	p.confirmer = confirmer.New(p.settings.Instance(), p.peerClient.Ask, p.log)
	p.fetcher = fetcher.New(fetcher.NewHooks(p.activeVersion, p.peerClient.Fetch, p.applyFetched), catchUpTimeout, p.log)
	p.gossiper, err = gossiper.New(p.self(), p.publisher,
		p.checker,
		gossiper.NewRevisionHooks(p.follower.Revision, p.follower.NotifyRevision).WithConfiguration(p.activeVersion, p.fetcher.Observe), p.log)
	if err != nil {
		return err
	}
	a, err := scheduler.New(p.self(), p.publisher, p.gossiper.LiveCoordinators, p.log, scheduler.WithLimitTolerance(p.settings.LimitTolerance()))
	if err != nil {
		return err
	}
	p.scheduler.Store(a)
	p.follower.Start()
	return nil
}

// requestAssignment requests an assignment from the region's scheduler. It
// returns Undecided while the instance is still starting.
func (p *Process) requestAssignment(ctx context.Context, pool *limiter.Pool, request limiter.Request) limiter.Assignment {
	if s := p.scheduler.Load(); s != nil {
		return s.Assign(ctx, pool, request)
	}
	return limiter.Undecided{}
}

// limitLeft returns what this instance holds of the tenant's rate limit.
func (p *Process) limitLeft(tenant *descriptor.Tenant) (float64, bool) {
	if s := p.scheduler.Load(); s != nil {
		return s.LimitLeft(tenant)
	}
	return 0, false
}

// deciders returns the schedulers that would be asked for the request.
func (p *Process) deciders(pool *limiter.Pool, request limiter.Request) []scheduler.Decider {
	if s := p.scheduler.Load(); s != nil {
		return s.Deciders(pool, request)
	}
	return nil
}

// serve starts the listener for callers and the server for readiness checks and
// metrics.
func (p *Process) serve() error {
	p.awaitConfiguration()
	limits := parser.DefaultLimits(parser.WithRequestLimits(p.publisher.Current().Deployment().RequestLimits()),
		parser.WithDrainTimeout(p.settings.GracePeriod()-drainDelay-shutdownMargin))
	p.handler = listener.NewHandler(p.dispatcher, p.publisher, p.sender, p.asserter, limits, listener.WithDialect(adapter.Dialect()))
	var err error
	p.callerShedder = shedder.New(shedder.CallerLimits(p.settings.MemoryBytes(), 0, p.settings.MaxSockets()), shedder.WithLog(p.log, "callers"))
	if p.listener, err = listener.New(p.settings.Callers(), p.handler, limits,
		listener.WithInFlight(p.dispatcher.InFlight), listener.WithShedder(p.callerShedder)); err != nil {
		return err
	}
	return p.serveChecks()
}

// serveChecks starts the server for readiness checks and metrics.
func (p *Process) serveChecks() error {
	socket, err := net.Listen("tcp", p.settings.Ready())
	if err != nil {
		return errors.Wrap(err, "listen for readiness")
	}
	router := mux.NewRouter()
	router.HandleFunc(adapter.ReadyPath, p.handleReady).Methods(http.MethodGet)
	router.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	router.HandleFunc(inspector.WherePath, inspector.WhereHandler(previewer.New(p.self(), p.publisher, previewer.WithDeciders(p.deciders), previewer.WithLimitLeft(p.limitLeft)))).Methods(http.MethodGet)
	p.checkShedder = shedder.New(shedder.CheckLimits(p.settings.MemoryBytes(), p.settings.MaxSockets()), shedder.WithLog(p.log, "readiness"))
	p.readiness = acceptor.NewCheckServer(router, p.checkShedder)
	p.serving.Go(func() {
		p.readiness.Serve(socket) //nolint:errcheck // Always ErrServerClosed.
	})
	return nil
}

// awaitConfiguration waits for the first configuration, whose limits apply to the
// callers' port, up to firstConfigurationTimeout.
func (p *Process) awaitConfiguration() {
	timer := time.NewTimer(firstConfigurationTimeout)
	defer timer.Stop()
	for !p.publisher.Current().Ready() {
		select {
		case <-p.publisher.Changed():
		case <-timer.C:
			return
		}
	}
}

func (p *Process) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !p.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *Process) isReady() bool {
	return !p.stopping.Load() && p.publisher.Current().Ready() && p.hasList.Load()
}

// Reload logs the outcome of reading the changed settings file. The identity and
// the addresses of the instance stay as they were at the start; a file that
// cannot be read changes nothing.
func (p *Process) Reload(settings adapter.Settings, err error) {
	if err != nil {
		p.log.Error().Err(err).Msg("settings file cannot be read; the active settings stay")
		return
	}
	p.log.Info().Bool("same-address", settings.Callers() == p.settings.Callers()).Msg("settings were read again")
}

// Close shuts the instance down gracefully. It returns an error if calls had to
// be aborted or the log could not be closed.
func (p *Process) Close() error {
	p.stopping.Store(true)
	p.log.Info().Int64("in-flight", p.dispatcher.InFlight()).Msg("instance stops")
	var err error
	if p.listener != nil {
		p.handler.Drain()
		now := time.Now()
		p.dispatcher.Stop(now.Add(drainDelay), now.Add(p.settings.GracePeriod()-shutdownMargin-answerMargin))
		time.Sleep(drainDelay)
		err = p.listener.Close()
	}
	if p.confirmer != nil {
		p.confirmer.Close()
	}
	if p.follower != nil {
		p.follower.Close()
	}
	if p.fetcher != nil {
		p.fetcher.Close()
		p.peerClient.Close()
	}
	if p.relay != nil {
		p.relay.Close()
	}
	if p.delegate != nil {
		p.delegate.Close()
	}
	if a := p.scheduler.Load(); a != nil {
		a.Close()
	}
	if p.gossiper != nil {
		p.gossiper.Close()
	}
	if p.registration != nil {
		p.registration.Close()
	}
	if p.selector != nil {
		p.selector.Close()
	}
	p.dispatcher.Close()
	p.sender.Close()
	if p.readiness != nil {
		p.readiness.Close()
		p.serving.Wait()
		p.checkShedder.Close()
	}
	if p.callerShedder != nil {
		p.callerShedder.Close()
	}
	p.closeStore()
	p.recorder.Close()
	p.log.Info().Err(err).Msg("instance is closed")
	if closeErr := p.logWriter.Close(); err == nil {
		return closeErr
	}
	return err
}
