// Package sender makes one attempt of a call at a worker over HTTP/1.1.
package sender

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	defaultConnectTimeout = time.Second
	defaultIdleTimeout    = 30 * time.Second
	idlePerWorker         = 64
	bufferBytes           = 16 << 10
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
	transport *http.Transport
	traffic   atomic.Int64

	connectTimeout time.Duration
	idleTimeout    time.Duration
	source         string
}

// Option sets one property of a Sender.
type Option func(*Sender)

// WithConnectTimeout sets how long a new connection may take.
func WithConnectTimeout(d time.Duration) Option {
	return func(s *Sender) { s.connectTimeout = d }
}

// WithIdleTimeout sets how long an unused connection is kept. It has to be
// shorter than the workers' own, or they close connections that are about to
// be used.
func WithIdleTimeout(d time.Duration) Option { return func(s *Sender) { s.idleTimeout = d } }

// WithSource sets the IP address that connections come from; "" lets the
// system choose.
func WithSource(ip string) Option { return func(s *Sender) { s.source = ip } }

// New returns a Sender without connections.
func New(opts ...Option) *Sender {
	s := &Sender{connectTimeout: defaultConnectTimeout, idleTimeout: defaultIdleTimeout}
	for _, opt := range opts {
		opt(s)
	}
	s.transport = &http.Transport{
		DialContext:           newDialer(s.connectTimeout, s.source, &s.traffic).dial,
		MaxIdleConnsPerHost:   idlePerWorker,
		IdleConnTimeout:       s.idleTimeout,
		DisableCompression:    true,
		ReadBufferSize:        bufferBytes,
		WriteBufferSize:       bufferBytes,
		ExpectContinueTimeout: 0,
	}
	return s
}

// Traffic returns the bytes sent to and received from workers.
func (s *Sender) Traffic() int64 { return s.traffic.Load() }

// Close closes the unused connections. Attempts in flight end first by the
// contexts that they were given.
func (s *Sender) Close() { s.transport.CloseIdleConnections() }

// Send makes one attempt. The request must have no GetBody. Send hides the
// body behind a reader of its own, since the transport replays requests by
// itself when the body is empty and the method is safe or an Idempotency-Key
// header is present.
func (s *Sender) Send(ctx context.Context, request *http.Request) Outcome {
	mark := &writeMark{}
	trace := &httptrace.ClientTrace{GotConn: mark.gotConn}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	request.Body = onceBody{body: request.Body}
	response, err := s.transport.RoundTrip(request)
	if err == nil {
		return Answer{response: response}
	}
	err = errors.Wrapf(err, "attempt at %s", request.URL.Host)
	if mark.wrote() {
		return Lost{err: err}
	}
	return Unsent{err: err}
}

// writeMark remembers how much a connection had written when an attempt got
// it. HTTP/1.1 serves one attempt at a time, so that whatever is written
// afterwards belongs to the attempt.
type writeMark struct {
	conn   atomic.Pointer[countedConn]
	before atomic.Int64
	reused atomic.Bool
}

func (m *writeMark) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	m.before.Store(conn.written.Load())
	if m.conn.Swap(conn) != nil {
		m.reused.Store(true)
	}
}

// wrote ends the connection of a failed attempt and tells whether any byte of
// the request may have been sent.
func (m *writeMark) wrote() bool {
	conn := m.conn.Load()
	if conn == nil {
		return false
	}
	return conn.seal() != m.before.Load() || m.reused.Load()
}

// onceBody is a request body that the transport cannot take for an empty or a
// repeatable one.
type onceBody struct{ body io.ReadCloser }

// Read implements io.Reader.
func (b onceBody) Read(p []byte) (int, error) {
	if b.body == nil {
		return 0, io.EOF
	}
	return b.body.Read(p)
}

// Close implements io.Closer.
func (b onceBody) Close() error {
	if b.body == nil {
		return nil
	}
	return b.body.Close()
}
