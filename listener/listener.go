package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"burdocklane/acceptor"
	"burdocklane/parser"
	"burdocklane/shedder"

	"github.com/go-faster/errors"
)

const (
	// maxStreams is how many requests a caller may have on one connection of HTTP/2.
	maxStreams = 32
	// http2WindowBytes is how much a connection of HTTP/2 may send that is not read yet. It
	// has room for each of the streams: one that is not read must not hold up the others.
	http2WindowBytes = maxStreams * shedder.WindowBytes
)

// maxArrivalTime is how long a stop waits for the requests that have arrived to be read.
const maxArrivalTime = 500 * time.Millisecond

// Listener accepts callers' connections over HTTP/1.1 and over unencrypted
// HTTP/2 with prior knowledge.
type Listener struct {
	server       *http.Server
	socket       *drainableSocket
	arrivals     *arrivals
	accepted     chan struct{} // Closed when no more connections are accepted.
	serving      sync.WaitGroup
	shedder      *shedder.Shedder
	writeTimeout time.Duration
	drainTimeout time.Duration
	inFlight     func() int64
}

// Option sets one property of a Listener.
type Option func(*Listener)

// WithInFlight sets the function that returns the number of calls in flight. By default
// a connection that is still open when the drain timeout has passed counts as one.
func WithInFlight(inFlight func() int64) Option { return func(l *Listener) { l.inFlight = inFlight } }

// WithShedder sets the limits on what callers hold. By default only the number of
// connections is limited.
func WithShedder(s *shedder.Shedder) Option { return func(l *Listener) { l.shedder = s } }

// New binds the address and starts to serve callers with the handler.
func New(address string, handler http.Handler, limits parser.Limits, opts ...Option) (*Listener, error) {
	l, err := newListener(address, handler, limits, opts...)
	if err != nil {
		return nil, err
	}
	l.serve()
	return l, nil
}

// newListener binds the address.
func newListener(address string, handler http.Handler, limits parser.Limits, opts ...Option) (*Listener, error) {
	bound, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	socket, ok := bound.(*net.TCPListener)
	if !ok {
		return nil, errors.Errorf("listen for callers: %s is no TCP address", address)
	}
	waiting := newArrivals()
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	l := &Listener{
		socket:       &drainableSocket{TCPListener: socket, accepted: waiting.add},
		arrivals:     waiting,
		accepted:     make(chan struct{}),
		shedder:      shedder.New(shedder.NewLimits(0, int64(limits.MaxConnections()), 0)),
		writeTimeout: limits.BodyTimeout(),
		drainTimeout: limits.DrainTimeout(),
		inFlight:     func() int64 { return 1 },
		server: &http.Server{
			Handler:           waiting.handler(handler),
			ConnState:         waiting.observe,
			Protocols:         protocols,
			ReadHeaderTimeout: limits.HeaderTimeout(),
			IdleTimeout:       limits.IdleTimeout(),
			MaxHeaderBytes:    limits.MaxHeaderBytes(),
			HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: http2WindowBytes, MaxReceiveBufferPerStream: shedder.WindowBytes},
		},
	}
	acceptor.Install(l.server)
	for _, opt := range opts {
		opt(l)
	}
	return l, nil
}

func (l *Listener) serve() {
	l.serving.Go(func() {
		defer close(l.accepted)
		l.server.Serve(acceptor.New(l.socket, l.shedder, l.writeTimeout)) //nolint:errcheck // The socket was closed.
	})
}

// Address returns the host:port that the listener is bound to.
func (l *Listener) Address() string { return l.socket.Addr().String() }

// Close stops accepting connections and waits up to the drain timeout for calls
// in flight, among them those that have arrived and were not read yet. It returns an error
// if it had to abort any.
func (l *Listener) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), l.drainTimeout)
	defer cancel()
	l.takeArrivals(ctx)
	err := l.server.Shutdown(ctx)
	aborted := err != nil && l.inFlight() > 0
	if err != nil {
		l.server.Close()
	}
	l.serving.Wait()
	if aborted {
		return errors.Wrap(err, "drain callers' connections")
	}
	return nil
}

// takeArrivals accepts the connections that wait, closes the socket and waits until the
// requests that have arrived are handled.
func (l *Listener) takeArrivals(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxArrivalTime)
	defer cancel()
	l.socket.drain()
	select {
	case <-l.accepted:
	case <-ctx.Done():
	}
	l.arrivals.waitUntilHandled(ctx)
}
