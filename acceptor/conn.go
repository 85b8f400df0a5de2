package acceptor

import (
	"bytes"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"burdocklane/shedder"

	"github.com/go-faster/errors"
)

const (
	// freeHeadBytes of a head are part of what each connection holds.
	freeHeadBytes = 8 << 10
	// headFactor is how often the text of a head is held: as it was read, and as fields.
	headFactor = 2
	// growthStep is the least amount by which the memory of a head grows.
	growthStep = 8 << 10
)

var http2Preface = []byte("PRI * HTTP/2.0")

// errNoRoom is the error of a read for which there is no room.
var errNoRoom = errors.New("callers hold too much")

// Conn is a caller's connection. Until the handler has the request, what is read counts as
// a part of its head.
type Conn struct {
	net.Conn
	holding      *shedder.Holding
	writeTimeout time.Duration
	isHTTP2      atomic.Bool
	inBody       atomic.Bool // The handler has the request.

	refusedStreams atomic.Int32 // Since the connection had none.

	// Used only by the thread that reads the head or handles the request.
	started   bool  // Bytes were read.
	headBytes int64 // Of the head that is being read, and of its fields.
	headRoom  int64 // Granted by the shedder for it.
}

// Holding returns what the connection holds.
func (c *Conn) Holding() *shedder.Holding { return c.holding }

// IsHTTP2 reports whether the connection carries several requests at a time.
func (c *Conn) IsHTTP2() bool { return c.isHTTP2.Load() }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.inBody.Load() || c.isHTTP2.Load() {
		return n, err
	}
	if !c.countHead(p[:n]) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errNoRoom}
	}
	return n, err
}

// countHead counts what was read of a head, and reports whether there is room for it.
func (c *Conn) countHead(part []byte) bool {
	if !c.started {
		c.started = true
		if bytes.HasPrefix(part, http2Preface) {
			c.isHTTP2.Store(true)
			return c.holding.Grow(shedder.HTTP2Bytes)
		}
	}
	if c.headBytes == 0 {
		c.holding.Begin(time.Now())
	}
	c.headBytes += headFactor*int64(len(part)) + shedder.FieldBytes*int64(bytes.Count(part, []byte{'\n'}))
	return c.growHead()
}

// growHead asks for more room if the head takes more than was granted.
func (c *Conn) growHead() bool {
	missing := c.headBytes - freeHeadBytes - c.headRoom
	if missing <= 0 {
		return true
	}
	missing = max(missing, growthStep)
	if !c.holding.Grow(missing) {
		return false
	}
	c.headRoom += missing
	return true
}

// maxRefusedStreams is how many requests on one connection are refused until it is closed:
// a caller that opens streams faster than they are refused would fill the memory.
const maxRefusedStreams = 8

// countRefusal counts a request on a stream that was refused.
func (c *Conn) countRefusal() {
	if c.refusedStreams.Add(1) > maxRefusedStreams {
		c.holding.End()
	}
}

// observe gets the states of the connection.
func (c *Conn) observe(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.endRequest()
	case http.StateClosed, http.StateHijacked:
		c.holding.Close()
	}
}

// endRequest gives back what the head took: the connection waits for the next request.
func (c *Conn) endRequest() {
	c.holding.Begin(time.Now())
	if c.IsHTTP2() {
		c.refusedStreams.Store(0)
		return
	}
	c.holding.Shrink(c.headRoom)
	c.headBytes, c.headRoom = 0, 0
	c.inBody.Store(false)
}

// Write implements net.Conn. It fails if nothing can be written for the write timeout.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.holding.Progress(n, time.Now())
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.holding.Close()
	return c.Conn.Close()
}
