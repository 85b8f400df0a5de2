// Package timekeeper bounds an exchange with another process by its progress: the
// response has to begin within a timeout, and then it must not stand still. How long the
// whole response may take grows with its size.
package timekeeper

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"burdocklane/holder"

	"github.com/go-faster/errors"
)

// maxTransferTime bounds a whole body, also one that arrives byte by byte.
const maxTransferTime = 10 * time.Second

// TimeoutError reports a response that did not begin within a limit, or that has begun
// and stood still for that long, or took longer than maxTransferTime.
type TimeoutError struct {
	begun bool
	limit time.Duration
}

// Begun reports whether the response had begun.
func (e *TimeoutError) Begun() bool { return e.begun }

// Error implements error.
func (e *TimeoutError) Error() string {
	if e.begun {
		return fmt.Sprintf("response stood still for %s, or took longer than %s", e.limit, maxTransferTime)
	}
	return fmt.Sprintf("no response within %s", e.limit)
}

// Exchange is one request with its response.
type Exchange struct {
	ctx          context.Context
	cancel       context.CancelCauseFunc
	timer        *time.Timer
	startTimeout time.Duration
	stallTimeout time.Duration
	begun        atomic.Bool
}

// New returns an exchange whose response has to begin within startTimeout, and must not
// stand still for stallTimeout after that.
func New(ctx context.Context, startTimeout, stallTimeout time.Duration) *Exchange {
	e := &Exchange{startTimeout: startTimeout, stallTimeout: stallTimeout}
	e.ctx, e.cancel = context.WithCancelCause(ctx)
	e.timer = time.AfterFunc(startTimeout, e.expire)
	return e
}

func (e *Exchange) expire() {
	if e.begun.Load() {
		e.cancel(&TimeoutError{begun: true, limit: e.stallTimeout})
		return
	}
	e.cancel(&TimeoutError{limit: e.startTimeout})
}

// Context returns the context of the request. It is done when a timeout has passed.
func (e *Exchange) Context() context.Context { return e.ctx }

// Close releases the exchange's resources.
func (e *Exchange) Close() {
	e.timer.Stop()
	e.cancel(nil)
}

// Reason returns the timeout that ended the exchange, if one did, and else the error.
func (e *Exchange) Reason(err error) error {
	var timeout *TimeoutError
	if err != nil && errors.As(context.Cause(e.ctx), &timeout) {
		return timeout
	}
	return err
}

// ReadBody reads the response's body to its end, up to limit bytes.
func (e *Exchange) ReadBody(body io.Reader, limit int64) ([]byte, error) {
	e.begun.Store(true)
	r := &progressReader{exchange: e, body: body, deadline: time.Now().Add(maxTransferTime), observe: observerOf(e.ctx)}
	r.recordProgress()
	data, err := holder.ReadLimited(r, limit)
	return data, e.Reason(err)
}

// progressReader restarts the timer of an exchange with each part of the body.
type progressReader struct {
	exchange *Exchange
	body     io.Reader
	deadline time.Time
	observe  func()
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 {
		r.recordProgress()
	}
	return n, err
}

func (r *progressReader) recordProgress() {
	r.exchange.timer.Reset(min(r.exchange.stallTimeout, time.Until(r.deadline)))
	r.observe()
}

type observerKey struct{}

// WithObserver returns a context whose exchanges call observe when a response begins and
// with each part of it.
func WithObserver(ctx context.Context, observe func()) context.Context {
	return context.WithValue(ctx, observerKey{}, observe)
}

func observerOf(ctx context.Context) func() {
	if observe, ok := ctx.Value(observerKey{}).(func()); ok {
		return observe
	}
	return func() {}
}
