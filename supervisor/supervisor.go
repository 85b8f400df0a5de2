// Package supervisor starts and stops one instance: it lays the two pipelines,
// of calls and of changes, and ends them in order.
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
	"burdocklane/storer"
	"burdocklane/watcher"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

// drainNotice is how long an instance stays open after it has said that it is
// leaving, so that the platform's balancer can turn away from it.
const drainNotice = 500 * time.Millisecond

// probesBuffer is how many calls can ask for probes at once.
const probesBuffer = 256

// Supervisor is a running instance.
type Supervisor struct {
	settings   parser.Settings
	log        zerolog.Logger
	asserter   *asserter.Asserter
	recorder   *recorder.Recorder
	publisher  *publisher.Publisher
	dispatcher *dispatcher.Dispatcher
	sender     *sender.Sender
	handler    *listener.Handler
	listener   *listener.Listener
	store      *storer.Gateway
	watcher    *watcher.Watcher
	lister     *lister.Lister
	account    *budgeter.Account
	lender     *lender.Lender
	prober     *prober.Prober
	exchanger  *exchanger.Exchanger
	measured   atomic.Int64 // Bytes on the connections for measuring.
	inspector  *inspector.Inspector
	closing    sync.Once
	closed     error
}

type options struct {
	output  io.Writer
	hedging bool
}

// Option sets one property of a Supervisor.
type Option func(*options)

// WithOutput sets where the log goes. The default is standard error.
func WithOutput(w io.Writer) Option { return func(o *options) { o.output = w } }

// WithoutHedging lets no hedged request start.
func WithoutHedging() Option { return func(o *options) { o.hedging = false } }

// New starts an instance. It serves as soon as it has a configuration.
func New(settings parser.Settings, opts ...Option) (*Supervisor, error) {
	o := options{output: os.Stderr, hedging: true}
	for _, opt := range opts {
		opt(&o)
	}
	s := &Supervisor{settings: settings, log: newLogger(o.output, settings)}
	s.layCalls(o)
	if err := s.start(); err != nil {
		s.Close() //nolint:errcheck // The first error tells more.
		return nil, err
	}
	s.log.Info().Str("callers", s.listener.Address()).Str("admin", s.inspector.Address()).Msg("instance is open")
	return s, nil
}

func (s *Supervisor) start() error {
	if err := s.layChanges(); err != nil {
		return err
	}
	return s.open()
}

func newLogger(output io.Writer, settings parser.Settings) zerolog.Logger {
	level, err := zerolog.ParseLevel(settings.LogLevel())
	if err != nil {
		level = zerolog.InfoLevel
	}
	return recorder.NewLog(output, level, settings.Instance())
}

func (s *Supervisor) self() registrar.Instance {
	listen := s.settings.Listen()
	return registrar.NewInstance(s.settings.Instance(), listen.Peers(), listen.Admin(), s.settings.Place(), false)
}

// layCalls puts the filters of a call in a row.
func (s *Supervisor) layCalls(o options) {
	limits := s.settings.Limits()
	var assertions []asserter.Option
	if s.settings.ExitOnViolation() {
		assertions = append(assertions, asserter.WithExit())
	}
	s.asserter = asserter.New(s.log, assertions...)
	s.recorder = recorder.New(s.log)
	wants := lender.NewWants()
	probes := make(chan *limiter.Pool, probesBuffer)
	s.account = budgeter.New(0)
	s.publisher = publisher.New(s.self(),
		publisher.WithObserver(s.adopt),
		publisher.WithPoolOptions(
			limiter.WithPolicy(policyOf(s.settings.Policy())),
			limiter.WithQueueLimit(limits.Queue()),
			limiter.WithWants(wants),
			limiter.WithProbes(probes)))
	s.prober = prober.New(probes, s.account, s.settings.Listen().Source(), &s.measured)
	s.lender = lender.New(s.self(), wants, s.publisher, s.account, s.asserter)
	s.sender = sender.New(
		sender.WithConnectTimeout(limits.ConnectTimeout()),
		sender.WithIdleTimeout(limits.UpstreamIdle()),
		sender.WithSource(s.settings.Listen().Source()))
	var dispatching []dispatcher.Option
	if !o.hedging {
		dispatching = append(dispatching, dispatcher.WithoutHedging())
	}
	s.dispatcher = dispatcher.New(s.publisher, s.recorder, s.asserter, dispatching...)
	s.handler = listener.NewHandler(s.dispatcher, s.publisher, s.sender, s.asserter, limits)
}

// adopt is told of each configuration just before it is in force.
func (s *Supervisor) adopt(d descriptor.Deployment) {
	have := s.publisher.Current().Deployment().Revision()
	s.asserter.Check(d.Revision() > have, asserter.RevisionsGrow, func(e *zerolog.Event) {
		e.Int64("have", int64(have)).Int64("got", int64(d.Revision()))
	})
	s.account.SetRate(d.Measuring().BytesPerSecond())
}

// layChanges puts the filters of a change in a row. The peers' port feeds the
// same watcher as the store, and passes the list on.
func (s *Supervisor) layChanges() error {
	platform := s.settings.Platform()
	s.store = storer.NewGateway(platform.Store())
	a := assembler.New(assembler.NewKeys(platform.KeyPrefix()))
	s.watcher = watcher.New(s.store, a, s.publisher, s.log)
	security, err := exchanger.NewSecurity(s.settings.PeerTLS())
	if err != nil {
		return err
	}
	s.exchanger, err = exchanger.New(s.self(), security, a, s.watcher, s.publisher,
		exchanger.NewLending(s.lender.Grant, s.lender.GiveBack), s.log)
	if err != nil {
		return err
	}
	s.lender.Start(exchanger.NewClient(security, &s.measured), security.Scheme(), s.exchanger.Near)
	s.lister = lister.New(platform.List(), s.exchanger.SetList, s.log)
	return nil
}

func (s *Supervisor) open() error {
	listen := s.settings.Listen()
	var err error
	if s.listener, err = listener.New(listen.Callers(), s.handler, s.settings.Limits()); err != nil {
		return err
	}
	s.inspector, err = inspector.New(listen.Admin(), inspector.Sources{}.
		WithInstance(s.self()).
		WithPublisher(s.publisher).
		WithRecorder(s.recorder).
		WithDispatcher(s.dispatcher).
		WithAsserter(s.asserter).
		WithFleet(inspector.NewFleet(s.exchanger, s.lender)).
		WithMeasuring(s.account, s.measured.Load).
		WithControl(s.control).
		WithContacts(s.watcher.Contact, s.lister.Contact))
	return err
}

func (s *Supervisor) control() inspector.Control {
	return inspector.NewControl(s.exchanger.Bytes(), s.store.Bytes(), s.lister.Bytes(), s.store.Reads()+s.store.Writes())
}

// policyOf returns the routing policy with the settings' name.
func policyOf(name string) picker.Policy {
	switch name {
	case parser.PolicyRandom:
		return picker.Random{}
	case parser.PolicyRoundRobin:
		return picker.RoundRobin{}
	case parser.PolicyLeastLoad:
		return picker.LeastInFlight{}
	case parser.PolicyTwoChoices:
		return picker.TwoChoices{}
	case parser.PolicyProbePool:
		return picker.ProbePool{}
	}
	return picker.SharedSlots{}
}

// Callers returns the address of the callers' port.
func (s *Supervisor) Callers() string { return s.listener.Address() }

// Admin returns the address of the admin port.
func (s *Supervisor) Admin() string { return s.inspector.Address() }

// Publisher returns what is in force on the instance.
func (s *Supervisor) Publisher() *publisher.Publisher { return s.publisher }

// Violations returns how many invariants were found broken.
func (s *Supervisor) Violations() int64 { return s.asserter.Violations() }

// Close shuts the instance down gracefully: it says that it is not ready,
// finishes the calls in flight, and ends all that it started. The error tells
// of calls that had to be cut.
func (s *Supervisor) Close() error {
	s.closing.Do(func() { s.closed = s.close() })
	return s.closed
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
		s.assertBalanced()
	}
	if s.inspector != nil {
		s.inspector.Close()
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

// drain turns new calls away and finishes those in flight.
func (s *Supervisor) drain() error {
	if s.inspector != nil {
		s.inspector.Leave()
	}
	if s.exchanger != nil {
		s.exchanger.Leave()
	}
	s.handler.Drain()
	if s.listener == nil {
		return nil
	}
	time.Sleep(drainNotice)
	return s.listener.Close()
}

// assertBalanced checks that each slot that was taken has been given back.
func (s *Supervisor) assertBalanced() {
	held := s.dispatcher.InFlight()
	for _, lane := range s.publisher.Current().Lanes() {
		for _, w := range lane.Pool().Workers() {
			held += int64(w.InFlight())
		}
	}
	s.asserter.Check(held == 0, asserter.InFlightBalanced, func(e *zerolog.Event) { e.Int64("held", held) })
}

// Cut writes to the log how many calls end unfinished. It is for a process
// that is about to exit without waiting.
func (s *Supervisor) Cut() {
	s.log.Error().Int64("calls-cut", s.dispatcher.InFlight()).Msg("told to stop at once")
}

// Peers returns the address of the peers' port.
func (s *Supervisor) Peers() string { return s.exchanger.Address() }
