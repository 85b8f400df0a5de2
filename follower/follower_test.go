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

// scriptedStore is a fake store whose reads and watches fail as a test sets.
type scriptedStore struct {
	reads        atomic.Int64
	poll         func(ctx context.Context, nth int64) (storer.Batch, error)
	polls        atomic.Int64
	failingReads atomic.Int64 // The number of reads that still fail.
}

func (s *scriptedStore) store() *storer.Remote {
	return storer.NewRemote(
		storer.WithRange(func(context.Context, string) (storer.RangeResult, error) {
			if s.failingReads.Add(-1) >= 0 {
				return storer.RangeResult{}, errors.New("store is unreachable")
			}
			n := s.reads.Add(1)
			return storer.NewRangeResult([]storer.Pair{pair("a", "v", n)}, revision(n*100)), nil
		}),
		storer.WithPoll(func(ctx context.Context, _ string, _ storer.Revision) (storer.Batch, error) {
			return s.poll(ctx, s.polls.Add(1))
		}, time.Millisecond))
}

func TestBrokenWatchReadsAgain(t *testing.T) {
	defer goleak.VerifyNone(t)
	tests := []struct {
		name         string
		failingReads int64
		err          error
	}{
		{"history compacted", 0, storer.NewCompactedError(revision(100))},
		{"watch cut", 0, errors.New("connection reset")},
		{"store unreachable for some tries", 3, errors.New("connection reset")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := &scriptedStore{}
			s.poll = func(ctx context.Context, nth int64) (storer.Batch, error) {
				if nth == 1 {
					s.failingReads.Store(test.failingReads)
					return storer.Batch{}, test.err
				}
				<-ctx.Done()
				return storer.Batch{}, ctx.Err()
			}
			seen := make(chan storer.Revision, 8)
			f := follower.New(s.store(), "", func(usable []storer.Pair, _ storer.RangeResult) { seen <- usable[0].Revision() }, zerolog.Nop())
			f.Start()
			defer f.Close()
			c.Assert(<-seen, qt.Equals, revision(1))
			c.Assert(<-seen, qt.Equals, revision(2))
		})
	}
}

// A watch may stall forever without an error. A revision that peers report reveals
// it.
func TestStalledWatchReadsAgain(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	s := &scriptedStore{poll: func(ctx context.Context, _ int64) (storer.Batch, error) {
		<-ctx.Done()
		return storer.Batch{}, ctx.Err()
	}}
	seen := make(chan storer.Revision, 8)
	f := follower.New(s.store(), "", func(usable []storer.Pair, _ storer.RangeResult) { seen <- usable[0].Revision() }, zerolog.Nop())
	f.Start()
	defer f.Close()
	c.Assert(<-seen, qt.Equals, revision(1))
	for s.polls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.NotifyRevision(revision(100)) // Already known.
	f.NotifyRevision(revision(150))
	c.Assert(<-seen, qt.Equals, revision(2))
	c.Assert(s.reads.Load(), qt.Equals, int64(2))
}

// fakeRelay is a relay whose watch ends as a test sets.
func fakeRelay(number int64, poll func(ctx context.Context) error) *storer.Remote {
	return storer.NewRemote(
		storer.WithRange(func(context.Context, string) (storer.RangeResult, error) {
			return storer.NewRangeResult([]storer.Pair{pair("a", "v", number)}, revision(number)), nil
		}),
		storer.WithPoll(func(ctx context.Context, _ string, _ storer.Revision) (storer.Batch, error) {
			return storer.Batch{}, poll(ctx)
		}, 0))
}

func noRelay() []storer.Store { return nil }

// untilFailed returns the relays that are available: one, until it has failed.
func untilFailed(relay storer.Store, failed *atomic.Bool) func() []storer.Store {
	return func() []storer.Store {
		if failed.Load() {
			return nil
		}
		return []storer.Store{relay}
	}
}

func blockUntilDone(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func TestFallbackFromRelayToStore(t *testing.T) {
	defer goleak.VerifyNone(t)
	fails := func(context.Context) error { return errors.New("relay is unreachable") }
	tests := []struct {
		name  string
		relay *storer.Remote // Nil if none is live. It is used once.
		known int64          // A revision that peers know.
		reads int64          // Expected reads of the store.
	}{
		{"a relay serves", fakeRelay(100, blockUntilDone), 0, 0},
		{"no relay is live", nil, 0, 1},
		{"the relay fails", fakeRelay(100, fails), 0, 1},
		{"the relay does not deliver a revision that peers know", fakeRelay(99, blockUntilDone), 100, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := &scriptedStore{poll: func(ctx context.Context, _ int64) (storer.Batch, error) { return storer.Batch{}, blockUntilDone(ctx) }}
			var failed atomic.Bool
			available := func() []storer.Store {
				if test.relay == nil || failed.Load() {
					return nil
				}
				return []storer.Store{test.relay}
			}
			seen := make(chan storer.Revision, 8)
			f := follower.New(s.store(), "", func(_ []storer.Pair, stored storer.RangeResult) { seen <- stored.Revision() }, zerolog.Nop(),
				follower.WithRelays(follower.NewRelays(func() bool { return true }, available, func(storer.Store) { failed.Store(true) }, time.Millisecond)))
			f.Start()
			defer f.Close()
			for {
				f.NotifyRevision(revision(test.known))
				select {
				case got := <-seen:
					if got.Before(revision(100)) {
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

// A read from a lagging relay must not replace newer keys.
func TestRelayWithOlderKeysIsNotUsed(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	s := &scriptedStore{}
	var enabled atomic.Bool
	s.poll = func(ctx context.Context, nth int64) (storer.Batch, error) {
		if nth == 1 { // From now on a relay is available.
			enabled.Store(true)
			return storer.Batch{}, storer.NewCompactedError(revision(100))
		}
		return storer.Batch{}, blockUntilDone(ctx)
	}
	lagging := fakeRelay(50, blockUntilDone)
	var failed atomic.Bool
	seen := make(chan storer.Revision, 8)
	f := follower.New(s.store(), "", func(_ []storer.Pair, stored storer.RangeResult) { seen <- stored.Revision() }, zerolog.Nop(),
		follower.WithRelays(follower.NewRelays(enabled.Load, untilFailed(lagging, &failed), func(storer.Store) { failed.Store(true) }, time.Second)))
	f.Start()
	defer f.Close()
	c.Assert(<-seen, qt.Equals, revision(100))
	c.Assert(<-seen, qt.Equals, revision(200))
}

// A relay that has just recovered from an outage may lack keys of workers that put
// them again soon: these are retained for use, but not propagated, as others may
// know that they were deleted.
func TestRecoveringRelay(t *testing.T) {
	defer goleak.VerifyNone(t)
	tests := []struct {
		name       string
		recovering bool
		want       []string // Usable once the relay's keys are known.
	}{
		{"the store has all keys", false, []string{"b"}},
		{"some keys may be put again", true, []string{"a", "b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			first := true
			relay := storer.NewRemote(
				storer.WithRange(func(context.Context, string) (storer.RangeResult, error) {
					if first {
						first = false
						return storer.NewRangeResult([]storer.Pair{pair("a", "v", 1)}, revision(1)), nil
					}
					return storer.NewRangeResult([]storer.Pair{pair("b", "v", 2)}, revision(2)).WithRecovering(test.recovering), nil
				}),
				storer.WithPoll(func(ctx context.Context, _ string, after storer.Revision) (storer.Batch, error) {
					if after == revision(1) {
						return storer.Batch{}, storer.NewCompactedError(revision(1))
					}
					return storer.Batch{}, blockUntilDone(ctx)
				}, 0))
			var got []string
			ready := make(chan struct{})
			s := &scriptedStore{}
			f := follower.New(s.store(), "", func(usable []storer.Pair, stored storer.RangeResult) {
				if stored.Revision().Before(revision(2)) {
					return
				}
				for _, p := range usable {
					got = append(got, p.Key())
				}
				c.Check(stored.Pairs(), qt.HasLen, 1)
				close(ready)
			}, zerolog.Nop(), follower.WithRelays(follower.NewRelays(func() bool { return true },
				func() []storer.Store { return []storer.Store{relay} }, func(storer.Store) {}, time.Second)))
			f.Start()
			defer f.Close()
			<-ready
			c.Assert(got, qt.DeepEquals, test.want)
			c.Assert(s.reads.Load(), qt.Equals, int64(0))
		})
	}
}
