package timekeeper_test

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"burdocklane/holder"
	"burdocklane/timekeeper"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

const (
	startTimeout = time.Second
	stallTimeout = 500 * time.Millisecond
	maxBytes     = 1000
)

// slowBody is a body of parts that arrive with a pause before each.
type slowBody struct {
	exchange *timekeeper.Exchange
	pauses   []time.Duration
}

// Read implements io.Reader. As a connection does, it fails once the context is done.
func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.pauses) == 0 {
		return 0, io.EOF
	}
	pause := b.pauses[0]
	b.pauses = b.pauses[1:]
	select {
	case <-time.After(pause):
		return copy(p, "0123456789"), nil
	case <-b.exchange.Context().Done():
		return 0, b.exchange.Context().Err()
	}
}

func repeated(pause time.Duration, count int) []time.Duration {
	pauses := make([]time.Duration, count)
	for n := range pauses {
		pauses[n] = pause
	}
	return pauses
}

// Guards against a long response that fails although it arrives, and against one that
// stands still and is waited for.
func TestExchange(t *testing.T) {
	tests := []struct {
		name    string
		start   time.Duration
		pauses  []time.Duration
		bytes   int           // What is read, or -1 after a failure.
		begun   bool          // Whether the response had begun before the failure.
		longest time.Duration // Until the end.
	}{
		{"short", 0, repeated(time.Millisecond, 1), 10, false, startTimeout},
		{"long, but in progress", 900 * time.Millisecond, repeated(400*time.Millisecond, 10), 100, false, 5 * time.Second},
		{"does not begin", 2 * time.Second, nil, -1, false, startTimeout},
		{"stands still", 0, []time.Duration{time.Millisecond, time.Minute}, -1, true, time.Second},
		{"goes on and on", 0, repeated(400*time.Millisecond, 1000), -1, true, 11 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				parts := 0
				begun := time.Now()
				e := timekeeper.New(timekeeper.WithObserver(c.Context(), func() { parts++ }), startTimeout, stallTimeout)
				defer e.Close()
				data, err := exchange(e, test.start, test.pauses)
				c.Check(time.Since(begun) <= test.longest, qt.IsTrue, qt.Commentf("%s", time.Since(begun)))
				if test.bytes >= 0 {
					c.Assert(err, qt.IsNil)
					c.Assert(data, qt.HasLen, test.bytes)
					c.Assert(parts, qt.Equals, 1+len(test.pauses))
					return
				}
				var timeout *timekeeper.TimeoutError
				c.Assert(errors.As(err, &timeout), qt.IsTrue, qt.Commentf("%v", err))
				c.Assert(timeout.Begun(), qt.Equals, test.begun)
			})
		})
	}
}

// exchange waits for the head of a response and reads its body.
func exchange(e *timekeeper.Exchange, start time.Duration, pauses []time.Duration) ([]byte, error) {
	select {
	case <-time.After(start):
	case <-e.Context().Done():
		return nil, e.Reason(e.Context().Err())
	}
	return e.ReadBody(&slowBody{exchange: e, pauses: pauses}, maxBytes)
}

// Guards against other errors that are taken for timeouts.
func TestErrorsOfTheBody(t *testing.T) {
	c := qt.New(t)
	e := timekeeper.New(c.Context(), startTimeout, stallTimeout)
	defer e.Close()
	_, err := e.ReadBody(strings.NewReader(strings.Repeat("x", maxBytes+1)), maxBytes)
	var tooLong *holder.TooLongError
	c.Assert(errors.As(err, &tooLong), qt.IsTrue, qt.Commentf("%v", err))
}
