package listener

import (
	"io"
	"net/http"

	"burdocklane/acceptor"
)

// maxAnswerBytes is the longest answer that may have been read completely before it is
// forwarded.
const maxAnswerBytes = 64 << 10

// answerBytes returns how much of an answer is kept until the caller has read it.
func answerBytes(response *http.Response) int64 {
	return copyBufferBytes + max(0, min(response.ContentLength, maxAnswerBytes))
}

// awaitedBody is the body of a worker's response. While it is waited for, the
// request does not count as stalled.
type awaitedBody struct {
	io.ReadCloser
	held *acceptor.Request
}

// Read implements io.Reader.
func (b *awaitedBody) Read(p []byte) (int, error) {
	defer b.held.BeginWait()()
	return b.ReadCloser.Read(p)
}
