// Package acceptor accepts callers' connections within the limits of a shedder, and counts
// what their heads take while they are being read.
package acceptor

import (
	"context"
	"net"
	"net/http"
	"time"

	"burdocklane/shedder"
)

// Acceptor is a listening socket whose connections are counted.
type Acceptor struct {
	net.Listener
	shedder      *shedder.Shedder
	writeTimeout time.Duration
}

// New returns an Acceptor on the socket. A caller that takes nothing of an answer for the
// write timeout is disconnected.
func New(socket net.Listener, s *shedder.Shedder, writeTimeout time.Duration) *Acceptor {
	return &Acceptor{Listener: socket, shedder: s, writeTimeout: writeTimeout}
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (a *Acceptor) Accept() (net.Conn, error) {
	for {
		conn, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		holding, ok := a.shedder.Open(func() { conn.Close() })
		if ok {
			return &Conn{Conn: conn, holding: holding, writeTimeout: a.writeTimeout}, nil
		}
		conn.Close()
	}
}

// Install makes a server observe the states of the connections. Its handler finds them
// with [FromContext]. The server must have no ConnContext.
func Install(server *http.Server) {
	next := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok {
			c.observe(state)
		}
		if next != nil {
			next(conn, state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// FromContext returns the connection of a request, or nil if it was not accepted by an
// Acceptor.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
