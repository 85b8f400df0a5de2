// Package counter counts the bytes read from and written to connections.
package counter

import (
	"net"
	"sync/atomic"
)

// conn is a connection that adds its traffic to a counter.
type conn struct {
	net.Conn
	bytes *atomic.Int64
}

// Wrap returns a connection that adds the bytes it reads and writes to the
// counter.
func Wrap(c net.Conn, bytes *atomic.Int64) net.Conn {
	return conn{Conn: c, bytes: bytes}
}

// Read implements io.Reader.
func (c conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
