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

// Listener accepts callers' connections: HTTP/1.1, and HTTP/2 in clear text
// with prior knowledge.
type Listener struct {
	server *http.Server
	socket net.Listener
	done   sync.WaitGroup
	drain  time.Duration
}

// New starts to listen on the address.
func New(address string, handler http.Handler, limits parser.Limits) (*Listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	l := &Listener{
		socket: socket,
		drain:  limits.DrainTimeout(),
		server: &http.Server{
			Handler:           handler,
			Protocols:         protocols,
			ReadHeaderTimeout: limits.HeaderTimeout(),
			IdleTimeout:       limits.IdleTimeout(),
			MaxHeaderBytes:    limits.HeaderBytes(),
		},
	}
	l.done.Go(func() {
		l.server.Serve(netutil.LimitListener(socket, limits.Connections())) //nolint:errcheck // Always ErrServerClosed.
	})
	return l, nil
}

// Address returns the address that the listener is bound to.
func (l *Listener) Address() string { return l.socket.Addr().String() }

// Close stops accepting, waits for the calls in flight up to the drain
// timeout, and returns an error if it had to cut any.
func (l *Listener) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), l.drain)
	defer cancel()
	err := l.server.Shutdown(ctx)
	if err != nil {
		l.server.Close()
	}
	l.done.Wait()
	if err != nil {
		return errors.Wrap(err, "drain callers")
	}
	return nil
}
