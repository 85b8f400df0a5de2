package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"burdocklane/parser"

	"github.com/go-faster/errors"
	"golang.org/x/net/netutil"
)

// Listener accepts callers' connections over HTTP/1.1 and over unencrypted
// HTTP/2 with prior knowledge.
type Listener struct {
	server       *http.Server
	socket       net.Listener
	serving      sync.WaitGroup
	drainTimeout time.Duration
	inFlight     func() int64
}

// Option sets one property of a Listener.
type Option func(*Listener)

// WithInFlight sets the function that returns the number of calls in flight. By default
// a connection that is still open when the drain timeout has passed counts as one.
func WithInFlight(inFlight func() int64) Option { return func(l *Listener) { l.inFlight = inFlight } }

// New binds the address and starts to serve callers with the handler.
func New(address string, handler http.Handler, limits parser.Limits, opts ...Option) (*Listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	l := &Listener{
		socket:       socket,
		drainTimeout: limits.DrainTimeout(),
		inFlight:     func() int64 { return 1 },
		server: &http.Server{
			Handler:           handler,
			Protocols:         protocols,
			ReadHeaderTimeout: limits.HeaderTimeout(),
			IdleTimeout:       limits.IdleTimeout(),
			MaxHeaderBytes:    limits.MaxHeaderBytes(),
		},
	}
	for _, opt := range opts {
		opt(l)
	}
	l.serving.Go(func() {
		l.server.Serve(netutil.LimitListener(socket, limits.MaxConnections())) //nolint:errcheck // Always ErrServerClosed.
	})
	return l, nil
}

// Address returns the host:port that the listener is bound to.
func (l *Listener) Address() string { return l.socket.Addr().String() }

// Close stops accepting connections and waits up to the drain timeout for calls
// in flight. It returns an error if it had to abort any.
func (l *Listener) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), l.drainTimeout)
	defer cancel()
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
