package acceptor

import (
	"net/http"
	"sync"
	"time"

	"burdocklane/shedder"
)

// Request is what a request and its answer hold. It is used by the thread that handles the
// request. The zero value holds nothing and has no limits.
type Request struct {
	conn     *Conn
	holding  *shedder.Holding // Of the connection, or of the stream.
	stream   *stream          // Or nil, if the connection carries one request at a time.
	grown    int64
	inCall   bool // BeginCall has succeeded.
	isUpload bool // The body is sent while the worker waits.
	isPinned bool // BeginAnswer of the holding is due.
}

// BeginRequest returns what a request that the handler gets holds. It reports false if
// there is no room for the request. End has to be called in both cases.
func BeginRequest(w http.ResponseWriter, r *http.Request) (*Request, bool) {
	conn := FromContext(r.Context())
	if conn == nil {
		return &Request{}, true
	}
	if r.ProtoMajor > 1 {
		return beginStream(conn, w, r)
	}
	return &Request{conn: conn, holding: conn.holding}, conn.beginRequest(headBytes(r))
}

// headBytes returns what the fields of a head hold at least. It is less than what is
// counted as it is read, unless the request was pipelined.
func headBytes(r *http.Request) int64 { return shedder.FieldBytes * int64(len(r.Header)) }

// beginStream returns what a request that shares its connection with others holds.
func beginStream(conn *Conn, w http.ResponseWriter, r *http.Request) (*Request, bool) {
	s := &stream{control: http.NewResponseController(w)}
	holding, ok := conn.holding.Shedder().OpenStream(s.abort)
	if !ok {
		conn.countRefusal()
		return &Request{}, false
	}
	q := &Request{conn: conn, holding: holding, stream: s}
	return q, q.Grow(headBytes(r)-freeHeadBytes) && q.Grow(windowBytes(r))
}

// windowBytes returns how much of the body may arrive before it is read.
func windowBytes(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return shedder.WindowBytes
	}
	return min(r.ContentLength, shedder.WindowBytes)
}

// stream ends the transfers of a request that shares its connection with others.
type stream struct {
	mutex   sync.Mutex // Guards the fields below.
	control *http.ResponseController
	done    bool // The handler is about to return: the control must not be used any more.
}

// abort makes reads of the body and writes of the answer fail.
func (s *stream) abort() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.done {
		return
	}
	past := time.Unix(1, 0)
	s.control.SetReadDeadline(past)  //nolint:errcheck // The connection may have ended.
	s.control.SetWriteDeadline(past) //nolint:errcheck // The connection may have ended.
}

func (s *stream) finish() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.done = true
}

// Grow adds to the memory that the request holds, and reports whether there is room.
func (q *Request) Grow(bytes int64) bool {
	if q.holding == nil || bytes <= 0 {
		return true
	}
	if !q.holding.Grow(bytes) {
		return false
	}
	q.grown += bytes
	return true
}

// Progress says that so many bytes of the body were read.
func (q *Request) Progress(bytes int) {
	if q.holding != nil {
		q.holding.Progress(bytes, time.Now())
	}
}

// BeginCall says that the request is about to be dispatched: from then on it is not ended.
// Its body is an upload if it is sent while the worker waits. BeginCall reports false if
// there is no room for a call.
func (q *Request) BeginCall(isUpload bool) bool {
	if q.holding == nil {
		return true
	}
	if !q.holding.BeginCall(isUpload) {
		return false
	}
	q.inCall, q.isUpload = true, isUpload
	if q.stream != nil && !q.conn.holding.Pin() {
		q.holding.BeginAnswer(isUpload, time.Now())
		return false
	}
	q.isPinned = true
	return true
}

// BeginAnswer says that an answer is about to be written, and that the process keeps so
// much of it. From then on the request may be ended again.
func (q *Request) BeginAnswer(bytes int64) {
	if q.holding == nil {
		return
	}
	if bytes > 0 && q.holding.GrowAlways(bytes) {
		q.grown += bytes
	}
	q.unpin()
}

// BeginWait says that the next part of the answer is waited for, until the function that it
// returns is called. The request does not count as stalled meanwhile.
func (q *Request) BeginWait() (end func()) {
	if q.holding == nil {
		return func() {}
	}
	q.holding.BeginWait(time.Now())
	isPinned := q.stream != nil && q.conn.holding.Pin()
	return func() {
		now := time.Now()
		q.holding.EndWait(now)
		if isPinned {
			q.conn.holding.Unpin(now)
		}
	}
}

// End gives back what the request held.
func (q *Request) End() {
	if q.holding == nil {
		return
	}
	q.unpin()
	if q.inCall {
		q.holding.EndCall()
	}
	if q.stream != nil {
		q.stream.finish()
		q.holding.Close()
		return
	}
	q.holding.Shrink(q.grown)
}

func (q *Request) unpin() {
	if !q.isPinned {
		return
	}
	q.isPinned = false
	now := time.Now()
	q.holding.BeginAnswer(q.isUpload, now)
	if q.stream != nil {
		q.conn.holding.Unpin(now)
	}
}
