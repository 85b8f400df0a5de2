package listener

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/asserter"
	"burdocklane/classifier"
	"burdocklane/dispatcher"
	"burdocklane/limiter"
	"burdocklane/parser"
	"burdocklane/publisher"
	"burdocklane/registrar"
	"burdocklane/sender"
	"burdocklane/tracker"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

const copyBufferBytes = 32 << 10

// Handler serves callers' requests.
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

// Drain asks callers, with each answer, to open their next connection
// elsewhere.
func (h *Handler) Drain() { h.draining.Store(true) }

// HandlerOption sets one property of a Handler.
type HandlerOption func(*Handler)

// WithDialect sets what differs from burdocklane's own messages.
func WithDialect(d Dialect) HandlerOption { return func(h *Handler) { h.dialect = d } }

// NewHandler returns a handler with the given limits against bad callers.
func NewHandler(d *dispatcher.Dispatcher, p *publisher.Publisher, s *sender.Sender, a *asserter.Asserter, limits parser.Limits, opts ...HandlerOption) *Handler {
	h := &Handler{dispatcher: d, publisher: p, sender: s, asserter: a, limits: limits, dialect: NewDialect()}
	for _, opt := range opts {
		opt(h)
	}
	h.buffers.New = func() any { return new([copyBufferBytes]byte) }
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	head := readHead(r, h.dialect)
	if status, reason := h.unacceptable(r); status != 0 {
		w.Header().Set("Connection", "close")
		h.refuse(w, head.ID(), status, outcomeNotRun, reason)
		return
	}
	body, err := readBody(r, h.callerBody(w, r), h.limits.ReplayBytes(), h.dialect.gathers)
	if err != nil {
		w.Header().Set("Connection", "close")
		h.refuse(w, head.ID(), http.StatusBadRequest, outcomeNotRun, "request-body")
		return
	}
	x := &exchange{handler: h, request: r, id: head.ID(), body: body}
	verdict := h.dispatcher.Dispatch(r.Context(), head, body.replayable(), x.transmit)
	done, ok := verdict.(dispatcher.Done)
	if !ok {
		h.refuseVerdict(w, head.ID(), verdict)
		return
	}
	h.pass(w, head.ID(), done, x.response(done.Attempt()))
}

// unacceptable returns a status and a reason for requests that burdocklane
// does not serve.
func (h *Handler) unacceptable(r *http.Request) (int, string) {
	switch {
	case r.Method == http.MethodConnect:
		return http.StatusNotImplemented, "connect-not-supported"
	case r.Header.Get("Upgrade") != "":
		return http.StatusNotImplemented, "upgrade-not-supported"
	case r.ContentLength > h.limits.BodyBytes():
		return http.StatusRequestEntityTooLarge, "request-body-too-large"
	}
	return 0, ""
}

func (h *Handler) callerBody(w http.ResponseWriter, r *http.Request) io.ReadCloser {
	if r.ContentLength == 0 {
		return r.Body
	}
	limited := http.MaxBytesReader(w, r.Body, h.limits.BodyBytes())
	return &timedBody{ReadCloser: limited, control: http.NewResponseController(w), timeout: h.limits.BodyTimeout()}
}

// drained takes a worker's own word that it is leaving.
func (h *Handler) drained(call *classifier.Call, worker registrar.Worker) {
	if pool, found := h.find(call, worker); found != nil {
		pool.Draining(found)
	}
}

// reported takes a worker's report of its load.
func (h *Handler) reported(call *classifier.Call, worker registrar.Worker, text string) {
	load, err := parser.ParseLoad(text)
	if err != nil {
		h.asserter.Log().Debug().Err(err).Str("worker", string(worker.ID())).Msg("report of load is not readable")
		return
	}
	if pool, found := h.find(call, worker); found != nil {
		pool.Reported(found, load.Report(pool.Now()))
	}
}

func (h *Handler) find(call *classifier.Call, worker registrar.Worker) (*limiter.Pool, *tracker.Worker) {
	lane := h.publisher.Current().Lane(call.Service().Name())
	if lane == nil {
		return nil, nil
	}
	found := lane.Pool().Find(worker.ID())
	if found == nil || !found.Member().SameIncarnation(worker) {
		return nil, nil
	}
	return lane.Pool(), found
}

// pass streams the worker's answer to the caller. An answer that breaks off
// aborts the caller's connection, so that it cannot be taken for a whole one.
func (h *Handler) pass(w http.ResponseWriter, id string, done dispatcher.Done, response *http.Response) {
	whole := false
	defer func() { done.Finish(whole) }()
	defer response.Body.Close()
	h.asserter.Check(response.Request.Header.Get(HeaderRequestID) == id, asserter.WholeAnswer, func(e *zerolog.Event) {
		e.Str("request-id", id).Str("answered", response.Request.Header.Get(HeaderRequestID))
	})
	h.markDeclined(done, response)
	writeHeader(w, id, response)
	if err := h.copyBody(w, response); err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
	whole = true
}

// markDeclined says that a worker's refusal is one, and when to come back if
// the worker has not said so itself.
func (h *Handler) markDeclined(done dispatcher.Done, response *http.Response) {
	if !done.Declined() {
		return
	}
	if !h.dialect.withoutOwn {
		response.Header.Set(HeaderOutcome, outcomeNotRun)
		return
	}
	if response.Header.Get("Retry-After") == "" {
		h.dialect.setRetryAfter(response.Header, returnAfter())
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
		target["Date"] = nil // The worker sent none; net/http must not add one.
	}
	w.WriteHeader(response.StatusCode)
}

// copyBody flushes after each read if the length is unknown, since the worker
// may then be streaming.
func (h *Handler) copyBody(w http.ResponseWriter, response *http.Response) error {
	if response.ContentLength == 0 {
		return nil
	}
	buffer, _ := h.buffers.Get().(*[copyBufferBytes]byte)
	defer h.buffers.Put(buffer)
	control := http.NewResponseController(w)
	for {
		n, readErr := response.Body.Read(buffer[:])
		if n > 0 {
			if err := h.writePart(w, control, buffer[:n], response.ContentLength < 0); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return control.SetWriteDeadline(time.Time{})
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
