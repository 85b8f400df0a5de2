package sender

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"burdocklane/holder"
)

// answerBody is the part of an answer's body that is still on its connection.
// The connection is used again after the end of the body, and closed if the
// body is given up before.
type answerBody struct {
	io.Reader
	done    func(whole bool)
	ended   bool
	closing sync.Once
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.closing.Do(func() { b.done(b.ended) })
	return nil
}

// hold reads the body up to the given bytes. It returns true if that was all
// of it; if not, what was read is put back before the rest.
func hold(response *http.Response, most int64) (bool, error) {
	if response.ContentLength > most {
		return false, nil
	}
	data, rest, err := holder.Hold(response.Body, most)
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
