package listener

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"burdocklane/holder"
)

// requestBody is the body of a caller's request. A short body is buffered, so
// that it can be sent again; a longer one is streamed to a single attempt.
type requestBody struct {
	buffered  []byte
	stream    io.ReadCloser
	length    int64
	trailer   http.Header
	canReplay bool
}

// readBody buffers a body whose Content-Length is at most maxBytes, and also a
// chunked body of up to maxBytes if bufferChunks is set. Bodies with trailers
// are always streamed.
func readBody(r *http.Request, stream io.ReadCloser, maxBytes int64, bufferChunks bool) (*requestBody, error) {
	b := &requestBody{stream: stream, length: r.ContentLength, trailer: r.Trailer}
	if bufferChunks && r.ContentLength < 0 && len(r.Trailer) == 0 {
		return b, b.bufferChunks(maxBytes)
	}
	if r.ContentLength < 0 || r.ContentLength > maxBytes || len(r.Trailer) > 0 {
		return b, nil
	}
	b.canReplay = true
	if r.ContentLength == 0 {
		return b, nil
	}
	b.buffered = make([]byte, r.ContentLength)
	_, err := io.ReadFull(stream, b.buffered)
	return b, err
}

// bufferChunks buffers a chunked body of up to maxBytes. A longer body is
// streamed from its beginning.
func (b *requestBody) bufferChunks(maxBytes int64) error {
	data, rest, err := holder.ReadUpTo(b.stream, maxBytes)
	if err != nil {
		return err
	}
	if rest != nil {
		b.stream = rest
		return nil
	}
	b.buffered, b.length, b.canReplay = data, int64(len(data)), true
	return nil
}

// replayable reports whether open returns the same bytes on each call.
func (b *requestBody) replayable() bool { return b.canReplay }

func (b *requestBody) open() io.ReadCloser {
	if b.canReplay {
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return b.stream
}

// deadlineBody fails a read when the caller sends nothing for the timeout.
type deadlineBody struct {
	io.ReadCloser
	control *http.ResponseController
	timeout time.Duration
}

// Read implements io.Reader.
func (b *deadlineBody) Read(p []byte) (int, error) {
	if err := b.control.SetReadDeadline(time.Now().Add(b.timeout)); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.control.SetReadDeadline(time.Time{}) //nolint:errcheck // The error of the read is returned.
	}
	return n, err
}
