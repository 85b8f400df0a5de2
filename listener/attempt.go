package listener

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"burdocklane/classifier"
	"burdocklane/parser"
	"burdocklane/registrar"
	"burdocklane/retrier"
	"burdocklane/sender"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
)

// errUnsigned is returned for a successful response that lacks the signature
// header.
var errUnsigned = errors.New("worker response has no signature header")

// errAmbiguous is returned for a response whose status implies that the request
// was not run, while the worker has not set the not-run header.
var errAmbiguous = errors.New("worker response does not say whether the request was run")

// errUnidentified is returned for a response that states that the request was not
// run without the request's ID: the worker may have sent that of another request once
// more.
var errUnidentified = errors.New("worker refuses a request without its ID")

// exchange is a caller's request together with the responses to its attempts.
type exchange struct {
	handler *Handler
	request *http.Request
	id      string
	body    *requestBody

	mutex     sync.Mutex // Guards responses: hedged attempts complete concurrently.
	responses [retrier.MaxAttempts]*http.Response
}

// transmit sends the request to the worker once. It implements
// dispatcher.RoundTrip.
func (x *exchange) transmit(ctx context.Context, attempt int, call *classifier.Call, worker registrar.Worker) retrier.Result {
	var opts []sender.SendOption
	if !x.body.replayable() {
		defer x.body.source.interruptAfter(ctx)()
		opts = append(opts, sender.WithInterrupt(x.body.source.abandon))
	}
	switch o := x.handler.sender.Send(ctx, x.workerRequest(call, worker), opts...).(type) {
	case sender.Responded:
		return x.handleResponse(attempt, call, worker, o)
	case sender.Unsent:
		return retrier.NewUnsent(o.Err())
	case sender.Lost:
		return x.lost(o.Err())
	}
	return retrier.NewLost(nil)
}

// lost returns the result of an attempt without a response.
func (x *exchange) lost(err error) retrier.Result {
	if x.body.source.failed.Load() {
		return retrier.NewLost(err).WithCallerAtFault()
	}
	return retrier.NewLost(err)
}

func (x *exchange) handleResponse(attempt int, call *classifier.Call, worker registrar.Worker, responded sender.Responded) retrier.Result {
	dialect, response := x.handler.dialect, responded.Response()
	if dialect.announcesLeaving(response) {
		x.handler.recordAnnouncement(call, worker)
	}
	declined := call.Service().IsNotRunStatus(response.StatusCode) || dialect.isDeclined(response)
	if declined && !responded.IsIdentified() {
		response.Body.Close()
		return retrier.NewLost(errUnidentified)
	}
	response.Header.Del(HeaderDrain)
	if dialect.isMisdirected(response) {
		x.handler.markMisplaced(call, worker)
	}
	if text := response.Header.Get(dialect.loadHeader); dialect.loadHeader != "" && text != "" {
		x.handler.recordLoad(call, worker, text)
	}
	if dialect.isUnsigned(response) {
		response.Body.Close()
		return retrier.NewLost(errUnsigned)
	}
	if dialect.isAmbiguous(response) {
		response.Body.Close()
		return retrier.NewLost(errAmbiguous)
	}
	if response.StatusCode >= http.StatusTooManyRequests {
		bufferError(response)
	}
	x.mutex.Lock()
	x.responses[attempt] = response
	x.mutex.Unlock()
	if declined {
		return retrier.NewDeclined(response.StatusCode, parseRetryAfter(response.Header))
	}
	return retrier.NewAnswered(response.StatusCode)
}

func (x *exchange) response(attempt int) *http.Response {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.responses[attempt]
}

const maxBufferedErrorBytes = 16 << 10

// bufferError reads a short error body into memory, so that the connection can
// be reused even if the response is not forwarded to the caller.
func bufferError(response *http.Response) {
	if response.ContentLength < 0 || response.ContentLength > maxBufferedErrorBytes {
		return
	}
	data, err := io.ReadAll(response.Body)
	if err != nil || int64(len(data)) < response.ContentLength {
		return
	}
	response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(data))
}

// parseRetryAfter returns how long the worker wants no calls, or 0 if it does not say so.
func parseRetryAfter(h http.Header) time.Duration {
	text := h.Get("Retry-After")
	if text == "" {
		return 0
	}
	pause, ok := parser.ParseRetryAfter(text, time.Now())
	if !ok {
		unreadableRetryAfter.Inc()
	}
	return pause
}

// unreadableRetryAfter counts the Retry-After headers of workers that cannot be read.
var unreadableRetryAfter = metrics.NewCounter("burdocklane_retry_after_unreadable_total")
