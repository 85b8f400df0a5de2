package listener

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"burdocklane/holder"
)

// requestBody is the body of a caller's request. A short one is kept, so that
// it can be sent again; a longer one is streamed to a single attempt.
type requestBody struct {
	kept     []byte
	stream   io.ReadCloser
	length   int64
	trailer  http.Header
	replayed bool
}

// readBody keeps the body if its declared length is at most the given bytes. One
// that comes in chunks is kept as well if chunks are to be gathered.
func readBody(r *http.Request, stream io.ReadCloser, most int64, gather bool) (*requestBody, error) {
	b := &requestBody{stream: stream, length: r.ContentLength, trailer: r.Trailer}
	if gather && r.ContentLength < 0 && len(r.Trailer) == 0 {
		return b, b.gather(most)
	}
	if r.ContentLength < 0 || r.ContentLength > most || len(r.Trailer) > 0 {
		return b, nil
	}
	b.replayed = true
	if r.ContentLength == 0 {
		return b, nil
	}
	b.kept = make([]byte, r.ContentLength)
	_, err := io.ReadFull(stream, b.kept)
	return b, err
}

// gather reads chunks up to the given bytes. If there are more, the body is
// streamed from its beginning.
func (b *requestBody) gather(most int64) error {
	data, rest, err := holder.Hold(b.stream, most)
	if err != nil {
		return err
	}
	if rest != nil {
		b.stream = rest
		return nil
	}
	b.kept, b.length, b.replayed = data, int64(len(data)), true
	return nil
}

// replayable tells whether open gives the same bytes each time.
func (b *requestBody) replayable() bool { return b.replayed }

func (b *requestBody) open() io.ReadCloser {
	if b.replayed {
		return io.NopCloser(bytes.NewReader(b.kept))
	}
	return b.stream
}

// timedBody gives up when a caller sends nothing for the timeout.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
	timeout time.Duration
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	if err := b.control.SetReadDeadline(time.Now().Add(b.timeout)); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.control.SetReadDeadline(time.Time{}) //nolint:errcheck // The read has its own error.
	}
	return n, err
}
