package follower_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"burdocklane/follower"
	"burdocklane/storer"

	"github.com/go-faster/errors"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

// script is a store whose watches break as a test says.
type script struct {
	reads atomic.Int64
	poll  func(ctx context.Context, nth int64) (storer.Batch, error)
	polls atomic.Int64
	fails atomic.Int64 // Reads that are still to fail.
}

func (s *script) store() *storer.Remote {
	return storer.NewRemote(
		storer.WithRange(func(context.Context, string) (storer.Page, error) {
			if s.fails.Add(-1) >= 0 {
				return storer.Page{}, errors.New("store is away")
			}
			n := s.reads.Add(1)
			return storer.NewPage([]storer.Pair{pair("a", "v", n)}, n*100), nil
		}),
		storer.WithPoll(func(ctx context.Context, _ string, _ int64) (storer.Batch, error) {
			return s.poll(ctx, s.polls.Add(1))
		}, time.Millisecond))
}

func TestReadsAgainWhenAWatchBreaks(t *testing.T) {
	defer goleak.VerifyNone(t)
	tests := []struct {
		name  string
		fails int64
		err   error
	}{
		{"history dropped", 0, storer.NewCompactedError(100)},
		{"watch cut", 0, errors.New("connection reset")},
		{"store away for some tries", 3, errors.New("connection reset")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := &script{}
			s.poll = func(ctx context.Context, nth int64) (storer.Batch, error) {
				if nth == 1 {
					s.fails.Store(test.fails)
					return storer.Batch{}, test.err
				}
				<-ctx.Done()
				return storer.Batch{}, ctx.Err()
			}
			seen := make(chan int64, 8)
			f := follower.New(s.store(), "", func(pairs []storer.Pair) { seen <- pairs[0].Revision() }, zerolog.Nop())
			defer f.Close()
			c.Assert(<-seen, qt.Equals, int64(1))
			c.Assert(<-seen, qt.Equals, int64(2))
		})
	}
}

// A connection may be silent for good: what peers know shows it.
func TestASilentWatchIsTakenUpAgain(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	s := &script{poll: func(ctx context.Context, _ int64) (storer.Batch, error) {
		<-ctx.Done()
		return storer.Batch{}, ctx.Err()
	}}
	seen := make(chan int64, 8)
	f := follower.New(s.store(), "", func(pairs []storer.Pair) { seen <- pairs[0].Revision() }, zerolog.Nop())
	defer f.Close()
	c.Assert(<-seen, qt.Equals, int64(1))
	for s.polls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.Behind(100) // Nothing new.
	f.Behind(150)
	c.Assert(<-seen, qt.Equals, int64(2))
	c.Assert(s.reads.Load(), qt.Equals, int64(2))
}
