package listener

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowWriter is a response writer whose read deadline takes a while to set.
type slowWriter struct {
	http.ResponseWriter
	entered chan struct{}
	isSet   bool
}

// SetReadDeadline is used by http.ResponseController.
func (w *slowWriter) SetReadDeadline(time.Time) error {
	close(w.entered)
	time.Sleep(50 * time.Millisecond)
	w.isSet = true
	return nil
}

// Guards against an interrupt that goes on after its attempt: it uses the response writer,
// which ends with the handler. On HTTP/2 that was a panic outside any call.
func TestInterruptEndsBeforeItsAttempt(t *testing.T) {
	c := qt.New(t)
	w := &slowWriter{ResponseWriter: httptest.NewRecorder(), entered: make(chan struct{})}
	body := &deadlineBody{ReadCloser: http.NoBody, control: http.NewResponseController(w)}
	ctx, cancel := context.WithCancel(context.Background())
	stop := body.interruptAfter(ctx)
	cancel()
	<-w.entered
	stop()
	c.Assert(w.isSet, qt.IsTrue)
}

// Guards against a wait for an interrupt that never comes.
func TestBodyIsNotInterruptedAfterItsAttempt(t *testing.T) {
	c := qt.New(t)
	w := &slowWriter{ResponseWriter: httptest.NewRecorder(), entered: make(chan struct{})}
	body := &deadlineBody{ReadCloser: http.NoBody, control: http.NewResponseController(w)}
	ctx, cancel := context.WithCancel(context.Background())
	stop := body.interruptAfter(ctx)
	stop()
	cancel()
	c.Assert(body.interrupted.Load(), qt.IsFalse)
	c.Assert(w.isSet, qt.IsFalse)
}
