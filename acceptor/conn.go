package acceptor

import (
	"bytes"
	"net"
	"net/http"
	"sync"
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

const (
	// http2Preface is what a connection of HTTP/2 begins with.
	http2Preface = "PRI * HTTP/2.0"
	noPreface    = -1
)

// errNoRoom is the error of a read for which there is no room.
var errNoRoom = errors.New("callers hold too much")

// Conn is a caller's connection. Until the head of a request is complete, what is read
// counts as a part of it.
type Conn struct {
	net.Conn
	holding      *shedder.Holding
	writeTimeout time.Duration
	isHTTP2      atomic.Bool
	inBody       atomic.Bool // The head of the request is complete.

	refusedStreams atomic.Int32 // Since the connection was last idle.

	// Guards the fields below: after a pipelined request, net/http reads a byte ahead in a
	// thread of its own before the handler has begun.
	mutex     sync.Mutex
	preface   int   // How much of the preface of HTTP/2 was read, or noPreface.
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
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.endsPreface(part) {
		c.isHTTP2.Store(true)
		return c.holding.Grow(shedder.HTTP2Bytes)
	}
	if c.headBytes == 0 {
		c.holding.Begin(time.Now())
	}
	c.headBytes += headFactor*int64(len(part)) + shedder.FieldBytes*int64(bytes.Count(part, []byte{'\n'}))
	return c.growHead()
}

// endsPreface reports whether the part, which was read next, completes the preface of
// HTTP/2. It may arrive in several parts.
func (c *Conn) endsPreface(part []byte) bool {
	if c.preface == noPreface {
		return false
	}
	rest := http2Preface[c.preface:]
	n := min(len(rest), len(part))
	if string(part[:n]) != rest[:n] {
		c.preface = noPreface
		return false
	}
	c.preface += n
	return n == len(rest)
}

// beginRequest begins a request whose fields hold so much at least, and reports whether
// there is room for them.
func (c *Conn) beginRequest(bytes int64) bool {
	c.inBody.Store(true)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.headBytes = max(c.headBytes, bytes)
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

// maxRefusedStreams is how many requests on a connection of HTTP/2 are refused until it is
// closed: a caller that opens streams faster than they are refused would fill the memory.
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
	case http.StateActive: // From here on, net/http reads ahead in a thread of its own.
		c.inBody.Store(true)
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
	c.mutex.Lock()
	defer c.mutex.Unlock()
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

// CloseWrite lets net/http end its side of a connection before the caller has sent all:
// closed at once, the connection could be reset before the caller has read the answer.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

const (
	// resetAtOnce makes the system reset a connection that is closed.
	resetAtOnce = 0
	// closeInOrder makes it end a connection that is closed in an orderly way.
	closeInOrder = -1
)

// SetResetOnClose sets whether the connection is reset when it is closed, by whomever. That
// is how a caller whose answer ends with the connection can tell a part from the whole.
func (c *Conn) SetResetOnClose(reset bool) {
	socket, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	seconds := closeInOrder
	if reset {
		seconds = resetAtOnce
	}
	socket.SetLinger(seconds) //nolint:errcheck // The connection has ended.
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.holding.Close()
	return c.Conn.Close()
}
