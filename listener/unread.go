package listener

import (
	"io"
	"net/http"
	"time"
)

const (
	// unreadTimeout is how long the next part of a body that is not wanted is waited for.
	unreadTimeout = 200 * time.Millisecond
	// maxUnreadTime bounds the time in which such a body is read. A caller whose connection
	// is not very slow has sent the longest one by then.
	maxUnreadTime = 5 * time.Second
)

// answerUnread writes an answer with write before the body of the request was read to its
// end. The connection ends with it.
func (h *Handler) answerUnread(w http.ResponseWriter, r *http.Request, write func()) {
	h.setStreamDeadline(w, r)
	if r.ContentLength == 0 {
		write()
		return
	}
	closeAfterAnswer(w, r)
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadTimeout)) //nolint:errcheck // The connection has ended.
	write()
	discardBody(w, r)
}

// discardBody reads the rest of a body whose answer is written. A connection that is closed
// with data that was not read is reset, and its caller may still be sending: it would not
// get to read the answer. HTTP/2 can end a stream without that.
func discardBody(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if r.ProtoMajor > 1 || control.Flush() != nil {
		return
	}
	body := &unwantedBody{Reader: r.Body, control: control, until: time.Now().Add(maxUnreadTime)}
	io.Copy(io.Discard, body) //nolint:errcheck // The caller did not send the rest in time.
}

// unwantedBody fails a read when the caller sends nothing for unreadTimeout, or goes on
// sending for too long.
type unwantedBody struct {
	io.Reader
	control *http.ResponseController
	until   time.Time
}

// Read implements io.Reader.
func (b *unwantedBody) Read(p []byte) (int, error) {
	deadline := time.Now().Add(unreadTimeout)
	if deadline.After(b.until) {
		deadline = b.until
	}
	if err := b.control.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return b.Reader.Read(p)
}
