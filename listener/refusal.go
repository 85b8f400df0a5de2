package listener

import (
	"net/http"
	"time"

	"burdocklane/acceptor"
	"burdocklane/classifier"
	"burdocklane/dispatcher"

	"github.com/go-faster/errors"
)

// bodyLimits returns the limits for the body of a request.
func (h *Handler) bodyLimits(held *acceptor.Request) bodyLimits {
	return bodyLimits{maxBuffered: h.limits.MaxReplayBytes(), bufferChunks: h.dialect.bufferChunks, grow: held.Grow}
}

// refuseForRoom refuses a request while callers hold too much.
func (h *Handler) refuseForRoom(w http.ResponseWriter, r *http.Request, head *classifier.Request) {
	h.dispatcher.RecordNoRoom(*head)
	h.refuseUnread(w, r, head.ID(), http.StatusServiceUnavailable, dispatcher.ReasonNoRoom)
}

// refuseUnread refuses a request whose body is not read, and ends the connection.
func (h *Handler) refuseUnread(w http.ResponseWriter, r *http.Request, id string, status int, reason string) {
	closeAfterAnswer(w, r)
	h.answerUnread(w, r, func() { h.writeError(w, id, status, outcomeNotRun, reason) })
}

// closeAfterAnswer ends the connection with the answer, unless it carries other requests.
func closeAfterAnswer(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
}

// setStreamDeadline bounds the time in which a caller takes the answer on a stream. For a
// connection with one request at a time, the connection does so.
func (h *Handler) setStreamDeadline(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor > 1 {
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.limits.BodyTimeout())) //nolint:errcheck // The connection has ended.
	}
}

// flushStream writes the rest of an answer on a stream, so that what it holds is counted
// until the caller has taken it.
func flushStream(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor > 1 {
		http.NewResponseController(w).Flush() //nolint:errcheck // The stream has ended.
	}
}

// refuseBody refuses a request whose body could not be read to its end.
func (h *Handler) refuseBody(w http.ResponseWriter, r *http.Request, head *classifier.Request, err error) {
	if errors.Is(err, errNoRoom) {
		h.refuseForRoom(w, r, head)
		return
	}
	h.refuseUnread(w, r, head.ID(), http.StatusBadRequest, "request-body")
}
