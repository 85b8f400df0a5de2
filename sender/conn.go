package sender

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	bufferBytes = 4 << 10
	keepAlive   = 15 * time.Second
)

// conn is a connection to a worker. It carries one request at a time.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	written atomic.Int64
	sealed  atomic.Bool
	traffic *atomic.Int64
	// idleUntil is when the worker may close the connection, once it is unused.
	idleUntil time.Time
}

func newConn(c net.Conn, traffic *atomic.Int64) *conn {
	n := &conn{Conn: c, traffic: traffic}
	n.reader = bufio.NewReaderSize(n, bufferBytes)
	n.writer = bufio.NewWriterSize(n, bufferBytes)
	return n
}

// Write counts before it writes: a write that fails may still have sent.
func (c *conn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	if c.sealed.Load() {
		return 0, net.ErrClosed
	}
	c.traffic.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Read counts the bytes that were received.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Add(int64(n))
	return n, err
}

// seal ends the connection and returns the bytes written until then. A write
// that the count does not include sees the seal and sends nothing: each side
// stores its own word before it loads the other's.
func (c *conn) seal() int64 {
	c.sealed.Store(true)
	written := c.written.Load()
	c.Close()
	return written
}

// quiet tells whether an unused connection is open and has nothing to read:
// what a worker sends unasked belongs to no request.
func (c *conn) quiet() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	socket, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = socket.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = err == unix.EAGAIN
		return true
	})
	return err == nil && silent
}

type dialer struct {
	net.Dialer
	traffic *atomic.Int64
}

func newDialer(timeout time.Duration, source string, traffic *atomic.Int64) *dialer {
	d := &dialer{Dialer: net.Dialer{Timeout: timeout, KeepAlive: keepAlive}, traffic: traffic}
	if ip := net.ParseIP(source); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

func (d *dialer) dial(ctx context.Context, address string) (*conn, error) {
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(c, d.traffic), nil
}
