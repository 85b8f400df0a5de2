// Package supervisor starts and stops one instance: it builds the pipelines for
// calls and for configuration changes, and shuts them down in order.
package supervisor

import (
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/assembler"
	"burdocklane/asserter"
	"burdocklane/budgeter"
	"burdocklane/descriptor"
	"burdocklane/dispatcher"
	"burdocklane/exchanger"
	"burdocklane/inspector"
	"burdocklane/lender"
	"burdocklane/limiter"
	"burdocklane/listener"
	"burdocklane/lister"
	"burdocklane/parser"
	"burdocklane/picker"
	"burdocklane/prober"
	"burdocklane/publisher"
	"burdocklane/recorder"
	"burdocklane/registrar"
	"burdocklane/sender"
	"burdocklane/shedder"
	"burdocklane/storer"
	"burdocklane/watcher"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

// drainDelay is how long an instance keeps its port open after it has reported
// that it is leaving, so that the platform's load balancer can remove it.
const drainDelay = 500 * time.Millisecond

// answerMargin is how long before the calls in flight are aborted a worker has to end a
// call that arrives during a planned stop: its answer is still on its way then.
const answerMargin = 100 * time.Millisecond

// probesBuffer is the capacity of the channel for probe requests.
const probesBuffer = 256

// Supervisor is a running instance.
type Supervisor struct {
	settings       parser.Settings
	log            zerolog.Logger
	asserter       *asserter.Asserter
	recorder       *recorder.Recorder
	publisher      *publisher.Publisher
	dispatcher     *dispatcher.Dispatcher
	sender         *sender.Sender
	handler        *listener.Handler
	listener       *listener.Listener
	store          *storer.Gateway
	watcher        *watcher.Watcher
	lister         *lister.Lister
	budget         *budgeter.ByteBudget
	lender         *lender.Lender
	prober         *prober.Prober
	exchanger      *exchanger.Exchanger
	measuringBytes atomic.Int64 // Traffic of the connections for measuring.
	inspector      *inspector.Server
	callerShedder  *shedder.Shedder // Bounds what callers hold.
	checkShedder   *shedder.Shedder // Bounds what callers of the admin port hold.
	closeOnce      sync.Once
	closeErr       error
}

type options struct {
	output  io.Writer
	hedging bool
}

// Option sets one property of a Supervisor.
type Option func(*options)

// WithOutput sets the destination of the log. The default is standard error.
func WithOutput(w io.Writer) Option { return func(o *options) { o.output = w } }

// WithoutHedging disables hedged requests.
func WithoutHedging() Option { return func(o *options) { o.hedging = false } }

// New starts an instance. It serves calls as soon as it has a configuration.
func New(settings parser.Settings, opts ...Option) (*Supervisor, error) {
	o := options{output: os.Stderr, hedging: true}
	for _, opt := range opts {
		opt(&o)
	}
	s := &Supervisor{settings: settings, log: newLogger(o.output, settings)}
	s.buildCallPipeline(o)
	if err := s.start(); err != nil {
		s.Close() //nolint:errcheck // The first error is more useful.
		return nil, err
	}
	s.log.Info().Str("callers", s.listener.Address()).Str("admin", s.inspector.Address()).Msg("instance is open")
	return s, nil
}

func (s *Supervisor) start() error {
	if err := s.buildConfigurationPipeline(); err != nil {
		return err
	}
	return s.openPorts()
}

func newLogger(output io.Writer, settings parser.Settings) zerolog.Logger {
	level, err := zerolog.ParseLevel(settings.LogLevel())
	if err != nil {
		level = zerolog.InfoLevel
	}
	return recorder.NewLogger(output, level, settings.Instance())
}

func (s *Supervisor) self() registrar.Instance {
	listen := s.settings.Listen()
	return registrar.NewInstance(s.settings.Instance(), listen.Peers(), listen.Admin(), s.settings.Locality(), false)
}

// buildCallPipeline connects the filters that a call passes through.
func (s *Supervisor) buildCallPipeline(o options) {
	limits := s.settings.Limits()
	var asserterOptions []asserter.Option
	if s.settings.ExitOnViolation() {
		asserterOptions = append(asserterOptions, asserter.WithExit())
	}
	s.asserter = asserter.New(s.log, asserterOptions...)
	s.recorder = recorder.New(s.log)
	waiting := lender.NewWaitingCalls()
	probes := make(chan *limiter.Pool, probesBuffer)
	s.budget = budgeter.NewByteBudget(0)
	s.publisher = publisher.New(s.self(),
		publisher.WithObserver(s.beforeActivation),
		publisher.WithPoolOptions(
			limiter.WithPolicy(policyByName(s.settings.Policy())),
			limiter.WithQueueLimit(limits.MaxQueueLength()),
			limiter.WithSlotDemand(waiting),
			limiter.WithProbeRequests(probes)))
	s.prober = prober.New(probes, s.budget, s.settings.Listen().SourceIP(), &s.measuringBytes)
	s.lender = lender.New(s.self(), waiting, s.publisher, s.budget, s.asserter)
	s.sender = sender.New(
		sender.WithConnectTimeout(limits.ConnectTimeout()),
		sender.WithIdleTimeout(limits.UpstreamIdleTimeout()),
		sender.WithMaxIdle(shedder.MaxIdleWorkerConnections(maxSockets())),
		sender.WithSourceIP(s.settings.Listen().SourceIP()))
	var dispatcherOptions []dispatcher.Option
	if !o.hedging {
		dispatcherOptions = append(dispatcherOptions, dispatcher.WithoutHedging())
	}
	s.dispatcher = dispatcher.New(s.publisher, s.recorder, s.asserter, dispatcherOptions...)
	s.handler = listener.NewHandler(s.dispatcher, s.publisher, s.sender, s.asserter, limits)
}

// beforeActivation is called with each configuration just before it becomes
// active.
func (s *Supervisor) beforeActivation(d descriptor.Deployment) {
	current := s.publisher.Current().Deployment().Revision()
	s.asserter.Check(d.Revision() > current, asserter.MonotonicRevisions, func(e *zerolog.Event) {
		e.Int64("have", int64(current)).Int64("got", int64(d.Revision()))
	})
	s.budget.SetRate(d.MeasurementBudget().BytesPerSecond())
}

// buildConfigurationPipeline connects the filters that a configuration change
// passes through. The exchanger feeds the same watcher as the store, and
// publishes the platform's list.
func (s *Supervisor) buildConfigurationPipeline() error {
	platform := s.settings.Platform()
	s.store = storer.NewGateway(platform.StoreURL())
	a := assembler.New(assembler.NewKeys(platform.KeyPrefix()))
	s.watcher = watcher.New(s.store, a, s.publisher, s.log)
	peerTLS, err := exchanger.NewPeerTLS(s.settings.PeerTLS())
	if err != nil {
		return err
	}
	s.exchanger, err = exchanger.New(s.self(), peerTLS, a, s.watcher, s.publisher,
		exchanger.NewLoanHandlers(s.lender.Grant, s.lender.GiveBack), s.log)
	if err != nil {
		return err
	}
	s.lender.Start(exchanger.NewClient(peerTLS, &s.measuringBytes), peerTLS.Scheme(), s.exchanger.LocalPeers)
	s.lister = lister.New(platform.ListURL(), s.exchanger.SetList, s.log)
	return nil
}

func (s *Supervisor) openPorts() error {
	listen := s.settings.Listen()
	var err error
	memory, sockets := machineMemory(s.settings.Limits()), maxSockets()
	callers := shedder.CallerLimits(memory, int64(s.settings.Limits().MaxConnections()), sockets)
	s.callerShedder = shedder.New(callers, shedder.WithLog(s.log, "callers"))
	s.checkShedder = shedder.New(shedder.CheckLimits(memory, sockets), shedder.WithLog(s.log, "admin"))
	if s.listener, err = listener.New(listen.Callers(), s.handler, s.settings.Limits(), listener.WithShedder(s.callerShedder)); err != nil {
		return err
	}
	s.inspector, err = inspector.New(listen.Admin(), inspector.Sources{}.
		WithInstance(s.self()).
		WithPublisher(s.publisher).
		WithRecorder(s.recorder).
		WithDispatcher(s.dispatcher).
		WithAsserter(s.asserter).
		WithFleet(inspector.NewFleet(s.exchanger, s.lender)).
		WithMeasurementBudget(s.budget, s.measuringBytes.Load).
		WithControlTraffic(s.control).
		WithLastContacts(s.watcher.LastContact, s.lister.LastContact), s.checkShedder)
	return err
}

func (s *Supervisor) control() inspector.ControlTraffic {
	return inspector.NewControlTraffic(s.exchanger.Bytes(), s.store.Bytes(), s.lister.BytesReceived(), s.store.Reads()+s.store.Writes())
}

// policyByName returns the routing policy for its name in the settings.
func policyByName(name string) picker.Policy {
	switch name {
	case parser.PolicyRandom:
		return picker.Random{}
	case parser.PolicyRoundRobin:
		return picker.RoundRobin{}
	case parser.PolicyLeastInFlight:
		return picker.LeastInFlight{}
	case parser.PolicyTwoChoices:
		return picker.TwoChoices{}
	case parser.PolicyProbePool:
		return picker.ProbePool{}
	}
	return picker.SharedSlots{}
}

// Callers returns the address of the port for callers.
func (s *Supervisor) Callers() string { return s.listener.Address() }

// Admin returns the address of the admin port.
func (s *Supervisor) Admin() string { return s.inspector.Address() }

// Publisher returns the publisher of the instance's active configuration.
func (s *Supervisor) Publisher() *publisher.Publisher { return s.publisher }

// Violations returns the number of invariant violations detected.
func (s *Supervisor) Violations() int64 { return s.asserter.Violations() }

// Close shuts the instance down gracefully: it reports that it is not ready,
// waits for the calls in flight, and stops all components. It returns an error
// if calls had to be aborted.
func (s *Supervisor) Close() error {
	s.closeOnce.Do(func() { s.closeErr = s.close() })
	return s.closeErr
}

func (s *Supervisor) close() error {
	err := s.drain()
	if s.lister != nil {
		s.lister.Close()
	}
	s.lender.Close()
	s.prober.Close()
	if s.exchanger != nil {
		s.exchanger.Close()
	}
	s.watcher.Close()
	s.dispatcher.Close()
	if err == nil {
		s.assertNoneInFlight()
	}
	if s.inspector != nil {
		s.inspector.Close()
	}
	if s.callerShedder != nil {
		s.callerShedder.Close()
		s.checkShedder.Close()
	}
	s.sender.Close()
	s.store.Close()
	s.recorder.Close()
	s.log.Info().Err(err).Msg("instance is closed")
	if err != nil {
		return errors.Wrap(err, "close instance")
	}
	return nil
}

// drain rejects new calls and waits for those in flight.
func (s *Supervisor) drain() error {
	if s.inspector != nil {
		s.inspector.MarkLeaving()
	}
	if s.exchanger != nil {
		s.exchanger.Leave()
	}
	s.handler.Drain()
	if s.listener == nil {
		return nil
	}
	lateFrom := time.Now().Add(drainDelay)
	s.dispatcher.Stop(lateFrom, lateFrom.Add(s.settings.Limits().DrainTimeout()-answerMargin))
	time.Sleep(drainDelay)
	return s.listener.Close()
}

// assertNoneInFlight checks that every acquired slot has been released.
func (s *Supervisor) assertNoneInFlight() {
	inFlight := s.dispatcher.InFlight()
	for _, service := range s.publisher.Current().ServiceStates() {
		for _, w := range service.Pool().Workers() {
			inFlight += int64(w.InFlight())
		}
	}
	s.asserter.Check(inFlight == 0, asserter.InFlightBalanced, func(e *zerolog.Event) { e.Int64("held", inFlight) })
}

// LogAbortedCalls logs the number of calls in flight, which are aborted. It is for a process
// that is about to exit without waiting for them.
func (s *Supervisor) LogAbortedCalls() {
	s.log.Error().Int64("calls-cut", s.dispatcher.InFlight()).Msg("forced to exit; aborting the calls in flight")
}

// Peers returns the address of the port for peers.
func (s *Supervisor) Peers() string { return s.exchanger.Address() }
