package sender

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	connBufferBytes   = 4 << 10
	keepAliveInterval = 15 * time.Second
	// maxErrorIDs bounds the IDs that a connection remembers.
	maxErrorIDs = 16
	// minErrorStatus is the first HTTP status that counts as an error.
	minErrorStatus = 400
)

// conn is a connection to a worker. It carries one request at a time.
type conn struct {
	net.Conn
	reader       *bufio.Reader
	writer       *bufio.Writer
	bytesWritten atomic.Int64
	aborted      atomic.Bool
	traffic      *atomic.Int64
	// errorIDs holds the IDs of the last requests that got an error, the latest one last.
	// It is used only by the attempt that has the connection.
	errorIDs []string
	// idleUntil is when an idle connection expires: the worker may close it after.
	idleUntil time.Time
}

func newConn(c net.Conn, traffic *atomic.Int64) *conn {
	n := &conn{Conn: c, traffic: traffic}
	n.reader = bufio.NewReaderSize(n, connBufferBytes)
	n.writer = bufio.NewWriterSize(n, connBufferBytes)
	return n
}

// Write counts the bytes before it writes them, since a failed write may have
// sent some of them.
func (c *conn) Write(p []byte) (int, error) {
	c.bytesWritten.Add(int64(len(p)))
	if c.aborted.Load() {
		return 0, net.ErrClosed
	}
	c.traffic.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Read reads from the connection and counts the received bytes.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Add(int64(n))
	return n, err
}

// abort closes the connection and returns the number of bytes written until
// then. A write that is not counted in it sends nothing: Write adds to
// bytesWritten before it loads aborted, and abort stores aborted before it loads
// bytesWritten.
func (c *conn) abort() int64 {
	c.aborted.Store(true)
	bytesWritten := c.bytesWritten.Load()
	c.Close()
	return bytesWritten
}

// rememberError remembers that the request with the ID, if it has one, got an error.
func (c *conn) rememberError(id string) {
	if id == "" {
		return
	}
	if len(c.errorIDs) == maxErrorIDs {
		c.errorIDs = slices.Delete(c.errorIDs, 0, 1)
	}
	c.errorIDs = append(c.errorIDs, id)
}

// mayRepeatError reports whether an error that the worker sends once more could be
// taken for the response to a request with the ID: it is another attempt of the same
// call.
func (c *conn) mayRepeatError(id string) bool { return slices.Contains(c.errorIDs, id) }

// isHealthy reports whether an idle connection is open and has no data to read:
// data that arrives without a request is not the response to the next one.
func (c *conn) isHealthy() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	socket, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = socket.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == unix.EAGAIN
		return true
	})
	return err == nil && noData
}

type dialer struct {
	net.Dialer
	traffic *atomic.Int64
}

func newDialer(timeout time.Duration, source string, traffic *atomic.Int64) *dialer {
	d := &dialer{Dialer: net.Dialer{Timeout: timeout, KeepAlive: keepAliveInterval}, traffic: traffic}
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
