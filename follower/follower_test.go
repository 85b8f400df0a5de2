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
			f := follower.New(s.store(), "", func(usable []storer.Pair, _ storer.Page) { seen <- usable[0].Revision() }, zerolog.Nop())
			f.Start()
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
	f := follower.New(s.store(), "", func(usable []storer.Pair, _ storer.Page) { seen <- usable[0].Revision() }, zerolog.Nop())
	f.Start()
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

// relayed is a relay whose watch ends as a test says.
func relayed(revision int64, poll func(ctx context.Context) error) *storer.Remote {
	return storer.NewRemote(
		storer.WithRange(func(context.Context, string) (storer.Page, error) {
			return storer.NewPage([]storer.Pair{pair("a", "v", revision)}, revision), nil
		}),
		storer.WithPoll(func(ctx context.Context, _ string, _ int64) (storer.Batch, error) {
			return storer.Batch{}, poll(ctx)
		}, 0))
}

func untilDone(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func TestWhenTheStoreIsAskedInPlaceOfARelay(t *testing.T) {
	defer goleak.VerifyNone(t)
	fails := func(context.Context) error { return errors.New("relay is away") }
	tests := []struct {
		name  string
		relay *storer.Remote // Nil if none lives. It is asked once.
		know  int64          // A revision that peers know.
		reads int64          // Of the store.
	}{
		{"a relay serves", relayed(100, untilDone), 0, 0},
		{"no relay lives", nil, 0, 1},
		{"the relay fails", relayed(100, fails), 0, 1},
		{"the relay hides a change that peers know", relayed(99, untilDone), 100, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := &script{poll: func(ctx context.Context, _ int64) (storer.Batch, error) { return storer.Batch{}, untilDone(ctx) }}
			var failed atomic.Bool
			next := func() (storer.Store, bool) { return test.relay, test.relay != nil && !failed.Load() }
			seen := make(chan int64, 8)
			f := follower.New(s.store(), "", func(_ []storer.Pair, stored storer.Page) { seen <- stored.Revision() }, zerolog.Nop(),
				follower.WithRelays(follower.NewRelays(func() bool { return true }, next, func() { failed.Store(true) }, time.Millisecond)))
			f.Start()
			defer f.Close()
			for {
				f.Behind(test.know)
				select {
				case revision := <-seen:
					if revision < 100 {
						continue
					}
				case <-time.After(time.Millisecond):
					continue
				}
				break
			}
			for s.reads.Load() < test.reads {
				time.Sleep(time.Millisecond)
			}
			c.Assert(s.reads.Load(), qt.Equals, test.reads)
		})
	}
}

// A relay that lags must not take keys away that are known already.
func TestARelayWithOlderKeysIsNotUsed(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	s := &script{}
	var wanted atomic.Bool
	s.poll = func(ctx context.Context, nth int64) (storer.Batch, error) {
		if nth == 1 { // From now on there is a relay.
			wanted.Store(true)
			return storer.Batch{}, storer.NewCompactedError(100)
		}
		return storer.Batch{}, untilDone(ctx)
	}
	lagging := relayed(50, untilDone)
	var failed atomic.Bool
	next := func() (storer.Store, bool) { return lagging, !failed.Load() }
	seen := make(chan int64, 8)
	f := follower.New(s.store(), "", func(_ []storer.Pair, stored storer.Page) { seen <- stored.Revision() }, zerolog.Nop(),
		follower.WithRelays(follower.NewRelays(wanted.Load, next, func() { failed.Store(true) }, time.Second)))
	f.Start()
	defer f.Close()
	c.Assert(<-seen, qt.Equals, int64(100))
	c.Assert(<-seen, qt.Equals, int64(200))
}

// A relay that has just come back from an outage may lack workers that return
// soon, and must not bring back those that others know to be gone.
func TestARelayThatRecovers(t *testing.T) {
	defer goleak.VerifyNone(t)
	tests := []struct {
		name       string
		recovering bool
		want       []string // Usable once the relay's keys are known.
	}{
		{"the store has all", false, []string{"b"}},
		{"some may return", true, []string{"a", "b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			first := true
			relay := storer.NewRemote(
				storer.WithRange(func(context.Context, string) (storer.Page, error) {
					if first {
						first = false
						return storer.NewPage([]storer.Pair{pair("a", "v", 1)}, 1), nil
					}
					return storer.NewPage([]storer.Pair{pair("b", "v", 2)}, 2).Recovering(test.recovering), nil
				}),
				storer.WithPoll(func(ctx context.Context, _ string, after int64) (storer.Batch, error) {
					if after == 1 {
						return storer.Batch{}, storer.NewCompactedError(1)
					}
					return storer.Batch{}, untilDone(ctx)
				}, 0))
			var got []string
			ready := make(chan struct{})
			s := &script{}
			f := follower.New(s.store(), "", func(usable []storer.Pair, stored storer.Page) {
				if stored.Revision() < 2 {
					return
				}
				for _, p := range usable {
					got = append(got, p.Key())
				}
				c.Check(stored.Pairs(), qt.HasLen, 1)
				close(ready)
			}, zerolog.Nop(), follower.WithRelays(follower.NewRelays(func() bool { return true },
				func() (storer.Store, bool) { return relay, true }, func() {}, time.Second)))
			f.Start()
			defer f.Close()
			<-ready
			c.Assert(got, qt.DeepEquals, test.want)
			c.Assert(s.reads.Load(), qt.Equals, int64(0))
		})
	}
}
