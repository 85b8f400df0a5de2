package main

import (
	"net"
	"sync"
)

// darkness is the state of a worker that has crashed without a word: its machine answers
// nothing any more, and its connections stay open.
type darkness struct {
	once sync.Once
	fell chan struct{} // Closed when the worker falls silent.
	gone chan struct{} // Closed at the end of the case.
	end  sync.Once
}

func newDarkness() *darkness {
	return &darkness{fell: make(chan struct{}), gone: make(chan struct{})}
}

func (d *darkness) fall()  { d.once.Do(func() { close(d.fell) }) }
func (d *darkness) close() { d.end.Do(func() { close(d.gone) }) }

// isDark waits for the end of the case if the worker has fallen silent.
func (d *darkness) isDark() bool {
	select {
	case <-d.fell:
		<-d.gone
		return true
	default:
		return false
	}
}

// darkListener is the socket of a worker that may fall silent.
type darkListener struct {
	net.Listener
	darkness *darkness
}

// Accept implements net.Listener.
func (l *darkListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil && l.darkness.isDark() {
		conn.Close()
		return nil, net.ErrClosed
	}
	return &darkConn{Conn: conn, darkness: l.darkness}, err
}

type darkConn struct {
	net.Conn
	darkness *darkness
}

// Read implements net.Conn.
func (c *darkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.darkness.isDark() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *darkConn) Write(p []byte) (int, error) {
	if c.darkness.isDark() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *darkConn) Close() error {
	if c.darkness.isDark() {
		return net.ErrClosed
	}
	return c.Conn.Close()
}
