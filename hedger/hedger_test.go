package hedger_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"burdocklane/hedger"
	"burdocklane/timekeeper"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

const (
	delay = 100 * time.Millisecond
	never = time.Hour
)

// source is what a try does: it answers or fails after some time. A long answer arrives
// in parts.
type source struct {
	after time.Duration
	fails bool
	parts int
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.parts == 0 {
		return 0, io.EOF
	}
	s.parts--
	time.Sleep(delay / 2)
	return copy(p, "part"), nil
}

func (s *source) try(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(s.after):
	}
	if s.fails {
		return errors.New("refused")
	}
	exchange := timekeeper.New(ctx, never, never)
	defer exchange.Close()
	_, err := exchange.ReadBody(s, 1000)
	return err
}

// Guards against a source that is waited for although others would answer, and against
// sources that are asked although an answer is arriving.
func TestDo(t *testing.T) {
	tests := []struct {
		name    string
		sources []source
		winner  int
		started int
		failed  int // The tries that failed before.
		took    time.Duration
	}{
		{"the first answers", []source{{after: delay / 2}, {}}, 0, 1, 0, delay / 2},
		{"the first fails", []source{{after: delay / 2, fails: true}, {}}, 1, 2, 1, delay / 2},
		{"the first is silent", []source{{after: never}, {}}, 1, 2, 0, delay},
		{"the first is slow", []source{{after: delay + delay/2}, {after: delay}}, 0, 2, 0, delay + delay/2},
		{"the first sends a long answer", []source{{parts: 20}, {}}, 0, 1, 0, 10 * delay},
		{"all but the last are silent", []source{{after: never}, {after: never}, {after: never}, {}}, 3, 4, 0, 3 * delay},
		{"all fail", []source{{fails: true}, {fails: true}}, hedger.NoWinner, 2, 2, 0},
		{"a failure does not end a slower one", []source{{after: 2 * delay}, {fails: true}}, 0, 2, 1, 2 * delay},
		{"no sources", nil, hedger.NoWinner, 0, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var started atomic.Int64
				tries := make([]hedger.Try, 0, len(test.sources))
				for _, s := range test.sources {
					tries = append(tries, func(ctx context.Context) error {
						started.Add(1)
						return s.try(ctx)
					})
				}
				begun := time.Now()
				winner, errs := hedger.Do(c.Context(), delay, tries...)
				c.Check(winner, qt.Equals, test.winner)
				c.Check(int(started.Load()), qt.Equals, test.started)
				c.Check(time.Since(begun), qt.Equals, test.took)
				failed := 0
				for _, err := range errs {
					if err != nil {
						failed++
					}
				}
				c.Check(failed, qt.Equals, test.failed)
			})
		})
	}
}

// Guards against a request that outlasts its context.
func TestContextEndsTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithTimeout(c.Context(), delay/2)
		defer cancel()
		silent := source{after: never}
		winner, _ := hedger.Do(ctx, delay, silent.try, silent.try)
		c.Assert(winner, qt.Equals, hedger.NoWinner)
	})
}
