package sender

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"burdocklane/holder"
)

// streamedBody is a response body that is read from its connection. Once it is
// closed, the connection is reused if the body was read to its end, and closed
// otherwise.
type streamedBody struct {
	io.Reader
	onClose   func(complete bool)
	atEOF     bool
	closeOnce sync.Once
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.atEOF = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *streamedBody) Close() error {
	b.closeOnce.Do(func() { b.onClose(b.atEOF) })
	return nil
}

// bufferBody buffers a response body of at most maxBytes and returns true. It
// returns false for a longer body, which can still be read from its beginning.
func bufferBody(response *http.Response, maxBytes int64) (bool, error) {
	if response.ContentLength > maxBytes {
		return false, nil
	}
	data, rest, err := holder.ReadUpTo(response.Body, maxBytes)
	if err != nil {
		return false, err
	}
	if rest != nil {
		response.Body = rest
		return false, nil
	}
	response.Body = io.NopCloser(bytes.NewReader(data))
	response.ContentLength = int64(len(data))
	return true, nil
}
