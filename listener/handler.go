package listener

import (
	"cmp"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/acceptor"
	"burdocklane/asserter"
	"burdocklane/classifier"
	"burdocklane/dispatcher"
	"burdocklane/drainer"
	"burdocklane/limiter"
	"burdocklane/parser"
	"burdocklane/publisher"
	"burdocklane/recoverer"
	"burdocklane/registrar"
	"burdocklane/sender"
	"burdocklane/tracker"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

const copyBufferBytes = 32 << 10

// Handler is the http.Handler for callers' requests.
type Handler struct {
	dispatcher *dispatcher.Dispatcher
	publisher  *publisher.Publisher
	sender     *sender.Sender
	asserter   *asserter.Asserter
	limits     parser.Limits
	dialect    Dialect
	buffers    sync.Pool
	draining   atomic.Bool
}

// Drain adds "Connection: close" to every response from now on, so that callers
// reconnect to another instance.
func (h *Handler) Drain() { h.draining.Store(true) }

// HandlerOption sets one property of a Handler.
type HandlerOption func(*Handler)

// WithDialect replaces burdocklane's own headers with those of the deployment.
func WithDialect(d Dialect) HandlerOption { return func(h *Handler) { h.dialect = d } }

// NewHandler returns a Handler that dispatches requests to workers. The limits
// bound the size and the transfer time of bodies.
func NewHandler(d *dispatcher.Dispatcher, p *publisher.Publisher, s *sender.Sender, a *asserter.Asserter, limits parser.Limits, opts ...HandlerOption) *Handler {
	h := &Handler{dispatcher: d, publisher: p, sender: s, asserter: a, limits: limits, dialect: NewDialect()}
	for _, opt := range opts {
		opt(h)
	}
	h.buffers.New = func() any { return new([copyBufferBytes]byte) }
	return h
}

// ServeHTTP implements http.Handler. An unexpected panic ends its call alone, by aborting
// the connection: it isn't known what has run.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		if value != http.ErrAbortHandler {
			recoverer.Record(*h.asserter.Log(), "call", value)
		}
		panic(http.ErrAbortHandler)
	}()
	h.serve(w, r)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	head := newHead(r, h.dialect)
	held, hasRoom := acceptor.BeginRequest(w, r)
	defer held.End()
	if !hasRoom {
		h.refuseForRoom(w, r, &head)
		flushStream(w, r)
		return
	}
	h.answer(w, r, head, held)
	flushStream(w, r)
}

// answer answers a request that there is room for.
func (h *Handler) answer(w http.ResponseWriter, r *http.Request, head classifier.Request, held *acceptor.Request) {
	if status, reason := h.checkRequest(r); status != 0 {
		h.refuseUnread(w, r, head.ID(), status, reason)
		return
	}
	if r.ContentLength != 0 {
		if result := h.dispatcher.Check(head); result != nil {
			h.answerUnread(w, r, func() { h.writeResultError(w, head.ID(), result) })
			return
		}
	}
	body, err := readBody(r, h.limitBody(w, r, held), h.bodyLimits(held))
	if err != nil {
		h.refuseBody(w, r, &head, err)
		return
	}
	if !held.BeginCall(!body.replayable()) {
		h.refuseForRoom(w, r, &head)
		return
	}
	if !body.replayable() {
		// Without it, reads of the body are not supported once the answer begins: net/http may
		// throw the rest away.
		http.NewResponseController(w).EnableFullDuplex() //nolint:errcheck // HTTP/2 does not need it.
	}
	x := &exchange{handler: h, request: r, id: head.ID(), body: body}
	result := h.dispatcher.Dispatch(r.Context(), head, body.replayable(), x.transmit)
	done, ok := result.(dispatcher.Answered)
	if !ok {
		held.BeginAnswer(0)
		h.answerError(w, r, head.ID(), result, body.isRead())
		return
	}
	h.forward(w, r, x, held, done)
}

// forward forwards the response of a call's last attempt to the caller.
func (h *Handler) forward(w http.ResponseWriter, r *http.Request, x *exchange, held *acceptor.Request, done dispatcher.Answered) {
	if !x.body.isRead() {
		closeAfterAnswer(w, r)
	}
	response := x.response(done.Attempt())
	held.BeginAnswer(answerBytes(response))
	response.Body = &awaitedBody{ReadCloser: response.Body, held: held}
	conn := acceptor.FromContext(r.Context())
	if conn == nil || !endsWithConn(r, response) {
		h.forwardResponse(w, x.id, done, response)
		return
	}
	conn.SetResetOnClose(true)
	h.forwardResponse(w, x.id, done, response) // Panics if the response is not complete.
	conn.SetResetOnClose(false)
}

// answerError answers a call without a worker's response.
func (h *Handler) answerError(w http.ResponseWriter, r *http.Request, id string, result dispatcher.Result, isBodyRead bool) {
	write := func() { h.writeResultError(w, id, result) }
	if !isBodyRead {
		h.answerUnread(w, r, write)
		return
	}
	h.setStreamDeadline(w, r)
	write()
}

// checkRequest returns the status and the reason for rejecting an unsupported
// request, or 0 if the request can be dispatched.
func (h *Handler) checkRequest(r *http.Request) (int, string) {
	switch {
	case r.Method == http.MethodConnect:
		return http.StatusNotImplemented, "connect-not-supported"
	case r.Header.Get("Upgrade") != "":
		return http.StatusNotImplemented, "upgrade-not-supported"
	case r.ContentLength > h.limits.MaxBodyBytes():
		return http.StatusRequestEntityTooLarge, "request-body-too-large"
	}
	return 0, ""
}

// limitBody returns the body of a request with the limits on its length and on the time
// of each read.
func (h *Handler) limitBody(w http.ResponseWriter, r *http.Request, held *acceptor.Request) *deadlineBody {
	b := &deadlineBody{ReadCloser: r.Body, control: http.NewResponseController(w), timeout: h.limits.BodyTimeout(), progress: held.Progress}
	if r.ContentLength != 0 {
		b.ReadCloser = http.MaxBytesReader(w, r.Body, h.limits.MaxBodyBytes())
	}
	return b
}

// recordAnnouncement records that a worker's response announced that it is about to stop.
// The list may have dropped the worker meanwhile.
func (h *Handler) recordAnnouncement(call *classifier.Call, worker registrar.Worker) {
	if service := h.publisher.Current().ServiceState(call.Service().Name()); service != nil {
		service.Pool().RecordAnnouncement(worker, drainer.SignalAnswer)
	}
}

// markMisplaced marks a worker as leaving after a different worker has responded at its
// address.
func (h *Handler) markMisplaced(call *classifier.Call, worker registrar.Worker) {
	if pool, found := h.findWorker(call, worker); found != nil {
		pool.MarkLeaving(found)
	}
}

// recordLoad passes a worker's load report on to its pool.
func (h *Handler) recordLoad(call *classifier.Call, worker registrar.Worker, text string) {
	load, err := parser.ParseLoad(text)
	if err != nil {
		h.asserter.Log().Debug().Err(err).Str("worker", string(worker.ID())).Msg("load report of worker cannot be parsed")
		return
	}
	if pool, found := h.findWorker(call, worker); found != nil {
		pool.RecordReport(found, load.WithoutAnswered().Report(pool.Now()))
	}
}

func (h *Handler) findWorker(call *classifier.Call, worker registrar.Worker) (*limiter.Pool, *tracker.Worker) {
	service := h.publisher.Current().ServiceState(call.Service().Name())
	if service == nil {
		return nil, nil
	}
	found := service.Pool().Find(worker.ID())
	if found == nil || !found.Member().SameIncarnation(worker) {
		return nil, nil
	}
	return service.Pool(), found
}

// endsWithConn reports whether the caller takes the end of its connection for the end of the
// response: HTTP/1.0 has no chunks.
func endsWithConn(r *http.Request, response *http.Response) bool {
	return !r.ProtoAtLeast(1, 1) && response.ContentLength < 0
}

// forwardResponse streams the worker's response to the caller. If the body is
// truncated, it aborts the caller's connection, so that the caller cannot
// mistake the response for a complete one.
func (h *Handler) forwardResponse(w http.ResponseWriter, id string, done dispatcher.Answered, response *http.Response) {
	complete := false
	defer func() { done.Finish(complete) }()
	defer response.Body.Close()
	h.asserter.Check(response.Request.Header.Get(HeaderRequestID) == id, asserter.MatchingResponse, func(e *zerolog.Event) {
		e.Str("request-id", id).Str("answered", response.Request.Header.Get(HeaderRequestID))
	})
	h.markDeclined(done, response)
	writeHeader(w, id, response)
	if err := h.copyBody(w, done, response); err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
	complete = true
}

// markDeclined marks a declined response as not run. Without burdocklane's own
// headers it sets Retry-After instead, unless the worker has set it.
func (h *Handler) markDeclined(done dispatcher.Answered, response *http.Response) {
	if !done.Declined() {
		return
	}
	if !h.dialect.omitOwnHeaders {
		response.Header.Set(HeaderOutcome, outcomeNotRun)
		return
	}
	if response.Header.Get("Retry-After") == "" {
		h.dialect.setRetryAfter(response.Header, cmp.Or(done.RetryAfter(), randomRetryAfter()))
	}
}

func writeHeader(w http.ResponseWriter, id string, response *http.Response) {
	removeHopByHop(response.Header)
	target := w.Header()
	for name, values := range response.Header {
		target[name] = values
	}
	target.Set(HeaderRequestID, id)
	if _, ok := target["Date"]; !ok {
		target["Date"] = nil // Keeps net/http from adding one that the worker did not send.
	}
	w.WriteHeader(response.StatusCode)
}

// copyBody copies the response body to the caller. It flushes after each read
// if the length is unknown, since the worker may then be streaming. A transfer that
// makes no progress for the body timeout is ended.
func (h *Handler) copyBody(w http.ResponseWriter, done dispatcher.Answered, response *http.Response) error {
	if response.ContentLength == 0 {
		return nil
	}
	buffer, _ := h.buffers.Get().(*[copyBufferBytes]byte)
	defer h.buffers.Put(buffer)
	control := http.NewResponseController(w)
	stalled := time.AfterFunc(h.limits.BodyTimeout(), done.Cancel)
	defer stalled.Stop()
	for {
		stalled.Reset(h.limits.BodyTimeout())
		n, readErr := response.Body.Read(buffer[:])
		stalled.Stop()
		if n > 0 {
			if err := h.writePart(w, control, buffer[:n], response.ContentLength < 0); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

func (h *Handler) writePart(w http.ResponseWriter, control *http.ResponseController, part []byte, flush bool) error {
	if err := control.SetWriteDeadline(time.Now().Add(h.limits.BodyTimeout())); err != nil {
		return err
	}
	if _, err := w.Write(part); err != nil {
		return err
	}
	if flush {
		return control.Flush()
	}
	return nil
}
