package sender

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	connBufferBytes   = 4 << 10
	keepAliveInterval = 15 * time.Second
	// maxErrorIDs bounds the IDs that a connection remembers.
	maxErrorIDs = 16
	// maxHeadBytes bounds the status line and the header fields of a response.
	maxHeadBytes = 64 << 10
	noHeadLimit  = math.MaxInt
	// minErrorStatus is the first HTTP status that counts as an error.
	minErrorStatus = 400
)

// HeadTooLongError reports a response whose header does not end within a limit.
type HeadTooLongError struct{ limit int }

// Error implements error.
func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("response header is longer than %d bytes", e.limit)
}

// BrokenConnError reports a response whose connection broke before the worker had closed its
// side.
type BrokenConnError struct{ cause error }

// Unwrap returns what ended the connection.
func (e *BrokenConnError) Unwrap() error { return e.cause }

// Error implements error.
func (e *BrokenConnError) Error() string { return fmt.Sprintf("response was cut off: %v", e.cause) }

// conn is a connection to a worker. It carries one request at a time.
type conn struct {
	net.Conn
	reader       *bufio.Reader
	writer       *bufio.Writer
	bytesWritten atomic.Int64
	aborted      atomic.Bool
	traffic      *atomic.Int64
	// writing guards writeErr, the error of the last write. It is held during a write.
	writing  sync.Mutex
	writeErr error
	// errorIDs holds the IDs of the last requests that got an error, the latest one last.
	// It is used only by the attempt that has the connection.
	errorIDs []string
	// headBytesLeft is how much more of a response's header may be read. It is set to
	// noHeadLimit while a body is read.
	headBytesLeft int
	// idleUntil is when an idle connection expires: the worker may close it after.
	idleUntil time.Time
}

func newConn(c net.Conn, traffic *atomic.Int64) *conn {
	n := &conn{Conn: c, traffic: traffic, headBytesLeft: noHeadLimit}
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
	c.writing.Lock()
	defer c.writing.Unlock()
	var n int
	n, c.writeErr = c.Conn.Write(p)
	return n, c.writeErr
}

// Read reads from the connection and counts the received bytes. The error is a
// *HeadTooLongError if a header does not end within its limit, and io.EOF only if the
// worker has closed its side of the connection.
func (c *conn) Read(p []byte) (int, error) {
	if c.headBytesLeft == 0 {
		return 0, &HeadTooLongError{limit: maxHeadBytes}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headBytesLeft)])
	c.traffic.Add(int64(n))
	if c.headBytesLeft != noHeadLimit {
		c.headBytesLeft -= n
	}
	if errors.Is(err, io.EOF) {
		err = c.endOfInput()
	}
	return n, err
}

// endOfInput returns io.EOF if the worker has closed its side of the connection, or else a
// *BrokenConnError. The system reports the error of a broken connection once, to a read or
// to a write; a read after that sees an ordinary end. A write to a connection whose worker
// closed its side first gets EPIPE.
func (c *conn) endOfInput() error {
	if !c.isDisconnected() {
		return io.EOF
	}
	c.writing.Lock() // A write in progress fails at once.
	defer c.writing.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return &BrokenConnError{cause: c.writeErr}
}

// readHead reads the header of a response. Its body is still to be read. The error is a
// *FieldError if a field is invalid, as is that of reading the body for a trailer field.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	c.headBytesLeft = maxHeadBytes
	defer func() { c.headBytesLeft = noHeadLimit }()
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return nil, err
	}
	if err := checkFields(response.Header); err != nil {
		return nil, err
	}
	if len(response.TransferEncoding) > 0 && response.Body != http.NoBody {
		response.Body = &chunkedBody{ReadCloser: response.Body, response: response}
	}
	return response, nil
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
	socket, err := c.socket()
	if err != nil || c.reader.Buffered() > 0 {
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

// tcpClose is the state of a socket without a connection in TCP_INFO.
const tcpClose = unix.BPF_TCP_CLOSE

// isDisconnected reports whether both directions of the connection have ended.
func (c *conn) isDisconnected() bool {
	socket, err := c.socket()
	if err != nil {
		return true
	}
	disconnected := true
	socket.Control(func(fd uintptr) { //nolint:errcheck // Then the connection is closed.
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		disconnected = err != nil || info.State == tcpClose
	})
	return disconnected
}

// socket returns the connection's socket.
func (c *conn) socket() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("%T has no socket", c.Conn)
	}
	return raw.SyscallConn()
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
