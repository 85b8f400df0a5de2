package listener

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// drainableSocket is a listening socket that can be closed without a loss of the
// connections that wait in its queue: the system resets those when the socket is closed.
type drainableSocket struct {
	*net.TCPListener
	draining atomic.Bool
	accepted func(net.Conn) net.Conn // Gets each connection, and returns the one to use.
}

// drain makes Accept return the connections that wait, and then close the socket.
func (s *drainableSocket) drain() {
	s.draining.Store(true)
	s.SetDeadline(time.Unix(1, 0)) //nolint:errcheck // It fails only on a closed socket.
}

// Accept implements net.Listener.
func (s *drainableSocket) Accept() (net.Conn, error) {
	conn, err := s.TCPListener.Accept()
	if err != nil && s.draining.Load() {
		conn, err = s.acceptWaiting()
	}
	if err == nil {
		return s.accepted(conn), nil
	}
	if s.draining.Load() {
		s.Close() //nolint:errcheck // It may be closed already.
		return nil, net.ErrClosed
	}
	return nil, err
}

// acceptWaiting returns a connection that waits in the queue. It does not wait for one.
func (s *drainableSocket) acceptWaiting() (net.Conn, error) {
	raw, err := s.SyscallConn()
	if err != nil {
		return nil, err
	}
	var fd int
	var acceptErr error
	err = raw.Control(func(listening uintptr) {
		fd, _, acceptErr = unix.Accept4(int(listening), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	})
	if err != nil {
		return nil, err
	}
	if acceptErr != nil {
		return nil, acceptErr
	}
	file := os.NewFile(uintptr(fd), "connection")
	defer file.Close()
	return net.FileConn(file)
}
