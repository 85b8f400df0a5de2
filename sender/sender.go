// Package sender makes one attempt of a call at a worker over HTTP/1.1. It
// never sends a request twice by itself.
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
	idlePerWorker         = 64
	sweepEvery            = 5 * time.Second
	// keepAliveSlack is how long before a worker's own idle timeout a
	// connection is no longer used.
	keepAliveSlack = time.Second
	// inlineBytes of a request's body are written before the answer is read;
	// longer ones are written beside, since a worker may answer before it has
	// read them.
	inlineBytes = 4 << 10
	// skippedMost bounds the answers to other requests that are passed over.
	skippedMost = 4
	// skippedBytes bounds the body of an answer that is passed over.
	skippedBytes = 64 << 10
)

// Outcome is what became of one attempt: Answer, Unsent or Lost.
type Outcome interface{ outcome() }

// Answer is a response whose header has arrived and whose body is still to be
// read and closed.
type Answer struct{ response *http.Response }

// Unsent says that no byte of the request reached the socket.
type Unsent struct{ err error }

// Lost says that the request may have reached the worker.
type Lost struct{ err error }

func (Answer) outcome() {}
func (Unsent) outcome() {}
func (Lost) outcome()   {}

// Response returns the worker's response.
func (a Answer) Response() *http.Response { return a.response }

// Err returns why nothing was sent.
func (u Unsent) Err() error { return u.err }

// Err returns how the attempt broke.
func (l Lost) Err() error { return l.err }

// Sender keeps connections to the workers.
type Sender struct {
	dialer  *dialer
	workers sync.Map // From address to *stack.
	traffic atomic.Int64
	closed  atomic.Bool
	sweeps  atomic.Pointer[time.Timer]

	connectTimeout time.Duration
	idleTimeout    time.Duration
	source         string
	held           int64
	echo           string
}

// Option sets one property of a Sender.
type Option func(*Sender)

// WithConnectTimeout sets how long a new connection may take.
func WithConnectTimeout(d time.Duration) Option {
	return func(s *Sender) { s.connectTimeout = d }
}

// WithIdleTimeout sets how long an unused connection is kept. It has to be
// shorter than the workers' own, or they close connections that are about to
// be used. A worker's Keep-Alive header goes before it.
func WithIdleTimeout(d time.Duration) Option { return func(s *Sender) { s.idleTimeout = d } }

// WithSource sets the IP address that connections come from; "" lets the
// system choose.
func WithSource(ip string) Option { return func(s *Sender) { s.source = ip } }

// WithHeldBytes makes Send read answers of at most the given bytes to their
// end, so that one that breaks off counts as Lost.
func WithHeldBytes(most int64) Option { return func(s *Sender) { s.held = most } }

// WithEcho names a header that workers copy from the request to its answer. An
// answer with another value belongs to an earlier request and is passed over.
func WithEcho(header string) Option { return func(s *Sender) { s.echo = header } }

// New returns a Sender without connections.
func New(opts ...Option) *Sender {
	s := &Sender{connectTimeout: defaultConnectTimeout, idleTimeout: defaultIdleTimeout}
	for _, opt := range opts {
		opt(s)
	}
	s.dialer = newDialer(s.connectTimeout, s.source, &s.traffic)
	s.sweeps.Store(time.AfterFunc(sweepEvery, s.sweep))
	return s
}

// Traffic returns the bytes sent to and received from workers.
func (s *Sender) Traffic() int64 { return s.traffic.Load() }

// Close closes the unused connections. Attempts in flight end first by the
// contexts that they were given.
func (s *Sender) Close() {
	s.closed.Store(true)
	s.sweeps.Load().Stop()
	s.workers.Range(func(_, idle any) bool {
		idle.(*stack).closeAll()
		return true
	})
}

// sweep closes connections that have not been used for too long.
func (s *Sender) sweep() {
	now := time.Now()
	s.workers.Range(func(_, idle any) bool {
		idle.(*stack).sweep(now)
		return true
	})
	if !s.closed.Load() {
		s.sweeps.Load().Reset(sweepEvery)
	}
}

func (s *Sender) stack(address string) *stack {
	if idle, ok := s.workers.Load(address); ok {
		return idle.(*stack)
	}
	idle, _ := s.workers.LoadOrStore(address, &stack{})
	return idle.(*stack)
}

// connect returns an unused connection to the worker, or a new one.
func (s *Sender) connect(ctx context.Context, address string) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if c := s.stack(address).take(time.Now()); c != nil {
		return c, nil
	}
	return s.dialer.dial(ctx, address)
}

// Send makes one attempt at the worker that the request's URL names. The
// context ends the attempt, and the answer's body with it.
func (s *Sender) Send(ctx context.Context, request *http.Request) Outcome {
	address := request.URL.Host
	c, err := s.connect(ctx, address)
	if err != nil {
		closeBody(request)
		return Unsent{err: errors.Wrapf(err, "connect to %s", address)}
	}
	before := c.written.Load()
	stop := context.AfterFunc(ctx, func() { c.seal() })
	x := &exchange{sender: s, conn: c, request: request, stop: stop}
	response, err := x.run()
	if err == nil {
		return Answer{response: response}
	}
	stop()
	written := c.seal()
	x.awaitWriter()
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	err = errors.Wrapf(err, "attempt at %s", address)
	if written != before {
		return Lost{err: err}
	}
	return Unsent{err: err}
}

func closeBody(request *http.Request) {
	if request.Body != nil {
		request.Body.Close()
	}
}

// release keeps a connection for the next request, or closes it.
func (s *Sender) release(address string, c *conn, response *http.Response) {
	idle := s.stack(address)
	if response.Close || s.closed.Load() || c.sealed.Load() || c.reader.Buffered() > 0 || idle.size.Load() >= idlePerWorker {
		c.Close()
		return
	}
	c.idleUntil = time.Now().Add(s.idleFor(response.Header))
	idle.push(c)
	if s.closed.Load() {
		idle.closeAll()
	}
}

// idleFor returns how long a connection may stay unused, by the worker's word.
func (s *Sender) idleFor(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 {
			return min(s.idleTimeout, time.Duration(seconds)*time.Second-keepAliveSlack)
		}
	}
	return s.idleTimeout
}
