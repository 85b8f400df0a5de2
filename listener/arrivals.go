package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// arrivals are the connections whose first request has not reached the handler yet. Once
// the server shuts down, it drops a request that it has read, without an answer.
type arrivals struct {
	conns   sync.Map // From a remote address to an *arrival.
	removed chan struct{}
}

// arrival is a connection that knows whether bytes were read from it.
type arrival struct {
	net.Conn
	received atomic.Bool
	closed   func() // Called by Close.
}

// Read implements net.Conn.
func (a *arrival) Read(p []byte) (int, error) {
	n, err := a.Conn.Read(p)
	if n > 0 && !a.received.Load() {
		a.received.Store(true)
	}
	return n, err
}

// CloseWrite closes the process's side of the connection. [acceptor.Conn] calls it for
// net/http.
func (a *arrival) CloseWrite() error {
	if half, ok := a.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what the system does with a connection that is closed. [acceptor.Conn] calls
// it.
func (a *arrival) SetLinger(seconds int) error {
	if socket, ok := a.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return socket.SetLinger(seconds)
	}
	return nil
}

// Close implements net.Conn. A connection that is closed before the server has it, or to
// make room, has no state that the server reports.
func (a *arrival) Close() error {
	a.closed()
	return a.Conn.Close()
}

func newArrivals() *arrivals { return &arrivals{removed: make(chan struct{}, 1)} }

// add adds a connection that was accepted, and returns the one to read from.
func (a *arrivals) add(conn net.Conn) net.Conn {
	address := conn.RemoteAddr().String()
	added := &arrival{Conn: conn}
	added.closed = func() { // A later connection may have the address by now.
		if a.conns.CompareAndDelete(address, added) {
			a.signal()
		}
	}
	a.conns.Store(address, added)
	return added
}

// observe gets the states of the server's connections.
func (a *arrivals) observe(conn net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		a.remove(conn.RemoteAddr().String())
	}
}

// remove removes the connection from a remote address.
func (a *arrivals) remove(address string) {
	if _, ok := a.conns.LoadAndDelete(address); ok {
		a.signal()
	}
}

// signal says that a connection was removed.
func (a *arrivals) signal() {
	select {
	case a.removed <- struct{}{}:
	default:
	}
}

// handler returns a handler that removes the connection of each request, and calls next.
func (a *arrivals) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.remove(r.RemoteAddr)
		next.ServeHTTP(w, r)
	})
}

// waitUntilHandled waits until the requests that have arrived have reached the handler, or
// the context ends.
func (a *arrivals) waitUntilHandled(ctx context.Context) {
	for a.haveArrived() {
		select {
		case <-a.removed:
		case <-ctx.Done():
			return
		}
	}
}

// haveArrived reports whether any connection has a request that is on its way to the
// handler.
func (a *arrivals) haveArrived() (arrived bool) {
	a.conns.Range(func(_, value any) bool {
		waiting := value.(*arrival)
		arrived = hasUnreadBytes(waiting.Conn) || waiting.received.Load()
		return !arrived
	})
	return arrived
}

// hasUnreadBytes reports whether the system holds bytes that the connection has received.
func hasUnreadBytes(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	controlErr := raw.Control(func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return controlErr == nil && err == nil && unread > 0
}
