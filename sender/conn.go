package sender

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// countedConn counts the bytes that were handed to the socket, so that a
// failed attempt can tell "not sent" from "unknown".
type countedConn struct {
	net.Conn
	written atomic.Int64
	sealed  atomic.Bool
	traffic *atomic.Int64
}

// Write counts before it writes: a write that fails may still have sent.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	if c.sealed.Load() {
		return 0, net.ErrClosed
	}
	c.traffic.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// seal ends the connection and returns the bytes written until then. A write
// that the count does not include sees the seal and sends nothing: each side
// stores its own word before it loads the other's.
func (c *countedConn) seal() int64 {
	c.sealed.Store(true)
	written := c.written.Load()
	c.Close()
	return written
}

// Read counts the bytes that were received.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Add(int64(n))
	return n, err
}

type dialer struct {
	net.Dialer
	traffic *atomic.Int64
}

const keepAlive = 15 * time.Second

func newDialer(timeout time.Duration, source string, traffic *atomic.Int64) *dialer {
	d := &dialer{Dialer: net.Dialer{Timeout: timeout, KeepAlive: keepAlive}, traffic: traffic}
	if ip := net.ParseIP(source); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: d.traffic}, nil
}
