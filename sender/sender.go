// Package sender is the HTTP/1.1 client for workers, with a connection pool. It
// makes a single attempt of a call and never retries by itself.
package sender

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	defaultConnectTimeout = time.Second
	defaultIdleTimeout    = 30 * time.Second
	maxIdlePerWorker      = 64
	sweepInterval         = 5 * time.Second
	// keepAliveMargin is how long before the worker's idle timeout a connection
	// expires here.
	keepAliveMargin = time.Second
	// maxInlineBytes is the longest request body that is written before the
	// response is read. Longer ones are written concurrently, since a worker may
	// respond before it has read them.
	maxInlineBytes = 4 << 10
	// maxSkippedResponses bounds the skipped responses: interim ones and those to
	// earlier requests.
	maxSkippedResponses = 4
	// maxSkippedBytes bounds the body of a skipped response.
	maxSkippedBytes = 64 << 10
)

// Outcome is the result of an attempt: [Responded], [Unsent] or [Lost].
type Outcome interface{ outcome() }

// Responded is the outcome of an attempt whose response header was received. The
// body is still to be read and closed.
type Responded struct {
	response   *http.Response
	identified bool
}

// Unsent is the outcome of an attempt that wrote no byte of the request to a
// connection.
type Unsent struct{ err error }

// Lost is the outcome of a failed attempt whose request may have reached the
// worker.
type Lost struct{ err error }

func (Responded) outcome() {}
func (Unsent) outcome()    {}
func (Lost) outcome()      {}

// Response returns the worker's response.
func (a Responded) Response() *http.Response { return a.response }

// IsIdentified reports whether the response carries the ID of the request. If no echo
// header is set, each response counts as identified.
func (a Responded) IsIdentified() bool { return a.identified }

// Err returns why the request was not sent.
func (u Unsent) Err() error { return u.err }

// Err returns why the attempt failed.
func (l Lost) Err() error { return l.err }

// Sender sends requests to workers and pools the connections to them.
type Sender struct {
	dialer     *dialer
	idle       sync.Map // Idle connections: from address to *connStack.
	traffic    atomic.Int64
	closed     atomic.Bool
	sweepTimer atomic.Pointer[time.Timer]

	connectTimeout time.Duration
	idleTimeout    time.Duration
	sourceIP       string
	maxBuffered    int64
	echoHeader     string
	maxIdle        int64
	idleCount      atomic.Int64
}

// Option sets one property of a Sender.
type Option func(*Sender)

// WithConnectTimeout sets how long a new connection may take.
func WithConnectTimeout(d time.Duration) Option {
	return func(s *Sender) { s.connectTimeout = d }
}

// WithIdleTimeout sets how long an idle connection is kept. It has to be shorter
// than the workers' idle timeout, or they may close a connection just as it is
// reused. A shorter timeout in a worker's Keep-Alive header takes precedence.
func WithIdleTimeout(d time.Duration) Option { return func(s *Sender) { s.idleTimeout = d } }

// WithSourceIP sets the source IP address of connections; "" lets the system
// choose one.
func WithSourceIP(ip string) Option { return func(s *Sender) { s.sourceIP = ip } }

// WithResponseBuffer makes Send buffer response bodies of at most maxBytes, so that a
// truncated one counts as Lost.
func WithResponseBuffer(maxBytes int64) Option { return func(s *Sender) { s.maxBuffered = maxBytes } }

// WithMaxIdle sets how many idle connections to all workers together are kept; 0 stands for
// no limit.
func WithMaxIdle(connections int64) Option { return func(s *Sender) { s.maxIdle = connections } }

// WithEchoHeader names a header that workers copy from a request to its response. A
// response with a different value belongs to an earlier request and is skipped, and
// so is one without a value, except on a new connection.
func WithEchoHeader(header string) Option { return func(s *Sender) { s.echoHeader = header } }

// New returns a Sender without open connections.
func New(opts ...Option) *Sender {
	s := &Sender{connectTimeout: defaultConnectTimeout, idleTimeout: defaultIdleTimeout}
	for _, opt := range opts {
		opt(s)
	}
	s.dialer = newDialer(s.connectTimeout, s.sourceIP, &s.traffic)
	s.sweepTimer.Store(time.AfterFunc(sweepInterval, s.closeExpired))
	return s
}

// Traffic returns the total number of bytes sent to and received from workers.
func (s *Sender) Traffic() int64 { return s.traffic.Load() }

// Close closes the idle connections. Attempts in flight have to be ended first,
// through their contexts.
func (s *Sender) Close() {
	s.closed.Store(true)
	s.sweepTimer.Load().Stop()
	s.idle.Range(func(_, conns any) bool {
		conns.(*connStack).closeAll()
		return true
	})
}

// closeExpired closes expired idle connections and schedules its next run.
func (s *Sender) closeExpired() {
	now := time.Now()
	s.idle.Range(func(_, conns any) bool {
		conns.(*connStack).closeExpired(now)
		return true
	})
	if !s.closed.Load() {
		s.sweepTimer.Load().Reset(sweepInterval)
	}
}

func (s *Sender) connStack(address string) *connStack {
	if conns, ok := s.idle.Load(address); ok {
		return conns.(*connStack)
	}
	conns, _ := s.idle.LoadOrStore(address, &connStack{total: &s.idleCount})
	return conns.(*connStack)
}

// requestID returns the value of the echo header, or "" if there is none.
func (s *Sender) requestID(request *http.Request) string { return request.Header.Get(s.echoHeader) }

// connect returns an idle connection to the worker, or a new one. It does not return
// one on which an earlier attempt of the same call got an error.
func (s *Sender) connect(ctx context.Context, address, id string) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if c := s.connStack(address).popHealthy(time.Now()); c != nil {
		if id == "" || !c.mayRepeatError(id) {
			return c, nil
		}
		s.park(address, c)
	}
	return s.dialer.dial(ctx, address)
}

// park puts an idle connection into the pool.
func (s *Sender) park(address string, c *conn) {
	conns := s.connStack(address)
	conns.push(c)
	if s.closed.Load() {
		conns.closeAll()
	}
}

// SendOption sets one property of an attempt.
type SendOption func(*exchange)

// WithInterrupt sets a function that makes reads of the request's body fail, also one that
// waits, so that the rest of the request is not waited for. It is called when the attempt
// fails, unless its context has ended, and when its response is closed before its end. Once
// the context has ended, reads have to end by themselves.
func WithInterrupt(interrupt func()) SendOption { return func(x *exchange) { x.interrupt = interrupt } }

// Send sends the request once, to the worker at the host of its URL. The end of
// the context ends the attempt, including the reading of the response body.
func (s *Sender) Send(ctx context.Context, request *http.Request, opts ...SendOption) Outcome {
	address := request.URL.Host
	c, err := s.connect(ctx, address, s.requestID(request))
	if err != nil {
		closeBody(request)
		return Unsent{err: errors.Wrapf(err, "connect to %s", address)}
	}
	writtenBefore := c.bytesWritten.Load()
	stopAbort := context.AfterFunc(ctx, func() { c.abort() })
	x := &exchange{sender: s, conn: c, request: request, stopAbort: stopAbort, firstOnConn: writtenBefore == 0, interrupt: func() {}}
	for _, opt := range opts {
		opt(x)
	}
	response, err := x.run()
	if err == nil {
		return Responded{response: response, identified: x.identified}
	}
	stopAbort()
	bytesWritten := c.abort()
	if ctx.Err() != nil {
		err = ctx.Err()
	} else {
		x.interrupt()
	}
	x.awaitWriter()
	err = errors.Wrapf(err, "request to %s", address)
	if bytesWritten != writtenBefore {
		return Lost{err: err}
	}
	return Unsent{err: err}
}

func closeBody(request *http.Request) {
	if request.Body != nil {
		request.Body.Close()
	}
}

// release returns a connection to the pool, or closes it if it cannot be reused.
func (s *Sender) release(address string, c *conn, response *http.Response) {
	idle := s.connStack(address).size.Load()
	isFull := idle >= maxIdlePerWorker || (s.maxIdle > 0 && s.idleCount.Load() >= s.maxIdle)
	if response.Close || s.closed.Load() || c.aborted.Load() || c.reader.Buffered() > 0 || isFull {
		c.Close()
		return
	}
	c.idleUntil = time.Now().Add(s.idleTimeoutFor(response.Header))
	s.park(address, c)
}

// idleTimeoutFor returns how long a connection may stay idle: the idle timeout,
// or less if the worker's Keep-Alive header says so.
func (s *Sender) idleTimeoutFor(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 {
			return min(s.idleTimeout, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return s.idleTimeout
}
