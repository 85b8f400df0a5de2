package listener

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"burdocklane/classifier"
	"burdocklane/registrar"
	"burdocklane/retrier"
	"burdocklane/sender"

	"github.com/go-faster/errors"
)

// errSpoilt is the error of a success that its worker did not sign.
var errSpoilt = errors.New("the answer bears no signature")

// errAmbiguous is the error of an answer whose status promises more than its
// worker says.
var errAmbiguous = errors.New("the answer does not say whether the request has run")

// exchange is one caller's request with the responses of its attempts.
type exchange struct {
	handler *Handler
	request *http.Request
	id      string
	body    *requestBody

	mutex     sync.Mutex // Guards responses: hedged attempts end at any time.
	responses [retrier.MostAttempts]*http.Response
}

// transmit makes one attempt; it is a dispatcher.Transmit.
func (x *exchange) transmit(ctx context.Context, attempt int, call *classifier.Call, worker registrar.Worker) retrier.Result {
	switch o := x.handler.sender.Send(ctx, x.outgoing(call, worker)).(type) {
	case sender.Answer:
		return x.answered(attempt, call, worker, o.Response())
	case sender.Unsent:
		return retrier.NewUnsent(o.Err())
	case sender.Lost:
		return retrier.NewLost(o.Err())
	}
	return retrier.NewLost(nil)
}

func (x *exchange) answered(attempt int, call *classifier.Call, worker registrar.Worker, response *http.Response) retrier.Result {
	dialect := x.handler.dialect
	if response.Header.Get(HeaderDrain) != "" || dialect.misdirected(response) {
		response.Header.Del(HeaderDrain)
		x.handler.drained(call, worker)
	}
	if text := response.Header.Get(dialect.load); dialect.load != "" && text != "" {
		x.handler.reported(call, worker, text)
	}
	if dialect.spoilt(response) {
		response.Body.Close()
		return retrier.NewLost(errSpoilt)
	}
	if dialect.ambiguous(response) {
		response.Body.Close()
		return retrier.NewLost(errAmbiguous)
	}
	if response.StatusCode >= http.StatusTooManyRequests {
		bufferError(response)
	}
	x.mutex.Lock()
	x.responses[attempt] = response
	x.mutex.Unlock()
	if call.Service().NotRun(response.StatusCode) || dialect.declines(response) {
		return retrier.NewDeclined(response.StatusCode, retryAfter(response.Header))
	}
	return retrier.NewAnswered(response.StatusCode)
}

func (x *exchange) response(attempt int) *http.Response {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.responses[attempt]
}

const longestBufferedError = 16 << 10

// bufferError reads the short body of an error answer, so that the connection
// can be used again when the answer is not passed on.
func bufferError(response *http.Response) {
	if response.ContentLength < 0 || response.ContentLength > longestBufferedError {
		return
	}
	data, err := io.ReadAll(response.Body)
	if err != nil || int64(len(data)) < response.ContentLength {
		return
	}
	response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(data))
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
