package listener

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"burdocklane/holder"

	"github.com/go-faster/errors"
)

// requestBody is the body of a caller's request. A short body is buffered, so
// that it can be sent again; a longer one is streamed to a single attempt.
type requestBody struct {
	buffered  []byte
	stream    io.ReadCloser
	source    *deadlineBody // What the stream is read from.
	length    int64
	trailer   http.Header
	canReplay bool
}

// bodyLimits are the limits that apply to a body that is read.
type bodyLimits struct {
	maxBuffered  int64 // A longer body is streamed.
	bufferChunks bool
	grow         func(bytes int64) bool // Asks for room.
}

// firstBufferBytes is the size of the buffer of a body before any of it has arrived. It
// is part of what each connection holds.
const firstBufferBytes = 4 << 10

// streamBytes is held by a body that is streamed to a worker.
const streamBytes = 32 << 10

// errNoRoom is returned for a body for which there is no room.
var errNoRoom = errors.New("callers hold too much")

// readBody buffers a body whose Content-Length is at most maxBuffered, and also a chunked
// body of that length if bufferChunks is set. Bodies with trailers are always streamed.
func readBody(r *http.Request, source *deadlineBody, l bodyLimits) (*requestBody, error) {
	b := &requestBody{stream: source, source: source, length: r.ContentLength, trailer: r.Trailer}
	switch {
	case len(r.Trailer) > 0 || r.ContentLength > l.maxBuffered || (r.ContentLength < 0 && !l.bufferChunks):
		if !l.grow(streamBytes) {
			return b, errNoRoom
		}
		return b, nil
	case r.ContentLength == 0:
		b.canReplay = true
		return b, nil
	}
	return b, b.buffer(l)
}

// buffer reads a body, and asks for room as it arrives. A body without a stated length that
// is too long to be buffered is streamed from its beginning.
func (b *requestBody) buffer(l bodyLimits) error {
	maxBytes := l.maxBuffered
	if b.length >= 0 {
		maxBytes = b.length
	}
	data := make([]byte, 0, min(maxBytes, firstBufferBytes))
	for {
		if int64(len(data)) > maxBytes {
			b.stream = holder.Prepend(data, b.stream)
			return nil
		}
		if int64(len(data)) == b.length {
			break
		}
		var err error
		if data, err = growBuffer(data, maxBytes, l); err != nil {
			return err
		}
		n, err := b.stream.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	if b.length >= 0 && int64(len(data)) != b.length {
		return io.ErrUnexpectedEOF
	}
	b.buffered, b.length, b.canReplay = data, int64(len(data)), true
	return nil
}

// growBuffer doubles a buffer that is full, up to one byte more than the longest body.
func growBuffer(data []byte, maxBytes int64, l bodyLimits) ([]byte, error) {
	if len(data) < cap(data) {
		return data, nil
	}
	size := min(max(2*int64(cap(data)), firstBufferBytes), maxBytes+1)
	if !l.grow(size - int64(cap(data))) {
		return nil, errNoRoom
	}
	return append(make([]byte, 0, size), data...), nil
}

// replayable reports whether open returns the same bytes on each call.
func (b *requestBody) replayable() bool { return b.canReplay }

// isRead reports whether the whole body was read.
func (b *requestBody) isRead() bool { return b.length == 0 || b.canReplay || b.source.atEOF.Load() }

func (b *requestBody) open() io.ReadCloser {
	if b.canReplay {
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return b.stream
}

// deadlineBody fails a read when the caller sends nothing for the timeout, or once it is
// interrupted.
type deadlineBody struct {
	io.ReadCloser
	control     *http.ResponseController
	timeout     time.Duration
	progress    func(bytes int) // Gets the size of each read.
	interrupted atomic.Bool
	abandoned   atomic.Bool // The attempt that read the body has failed.
	atEOF       atomic.Bool
	failed      atomic.Bool // The caller did not send the rest, or not in time.
}

// errInterrupted is returned for a body whose call has ended.
var errInterrupted = errors.New("the call has ended")

// Read implements io.Reader.
func (b *deadlineBody) Read(p []byte) (int, error) {
	if err := b.control.SetReadDeadline(time.Now().Add(b.timeout)); err != nil {
		return 0, err
	}
	if b.interrupted.Load() {
		return 0, errInterrupted
	}
	n, err := b.ReadCloser.Read(p)
	b.progress(n)
	switch {
	case errors.Is(err, io.EOF):
		b.control.SetReadDeadline(time.Time{}) //nolint:errcheck // The connection has ended.
		b.atEOF.Store(true)
	case err != nil && !b.abandoned.Load():
		b.failed.Store(true) // The deadline stays: net/http must not wait for the rest either.
	}
	return n, err
}

// Close implements io.Closer. It leaves the body to net/http, whose own Close would wait
// for the rest of it.
func (b *deadlineBody) Close() error { return nil }

// interrupt makes a read that waits, and all later ones, fail. Read sets its deadline
// before it looks whether it is interrupted, so that none waits afterwards.
func (b *deadlineBody) interrupt() {
	b.interrupted.Store(true)
	if !b.atEOF.Load() {
		b.control.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // The connection has ended.
	}
}

// abandon interrupts the body after the attempt that read it has failed. It is not the
// caller's fault then that the rest is missing.
func (b *deadlineBody) abandon() {
	b.abandoned.Store(true)
	b.interrupt()
}

// interruptAfter interrupts the body once the context ends, until the function that it
// returns is called. That waits for an interrupt in progress: once the handler has returned,
// the connection is another request's, and HTTP/2 panics on a use of the stream.
func (b *deadlineBody) interruptAfter(ctx context.Context) (stop func()) {
	done := make(chan struct{})
	stopped := context.AfterFunc(ctx, func() {
		defer close(done)
		b.interrupt()
	})
	return func() {
		if !stopped() {
			<-done
		}
	}
}
