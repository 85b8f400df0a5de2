package follower_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"burdocklane/follower"
	"burdocklane/storer"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

// refusedByStore returns a follower whose reads of the store fail from the second
// one on, and the revisions that it publishes.
func refusedByStore(c *qt.C, s *scriptedStore, fallbacks ...storer.Store) (f *follower.Follower, seen chan int64) {
	s.poll = func(_ context.Context, _ int64) (storer.Batch, error) {
		s.failingReads.Store(1 << 30)
		return storer.Batch{}, errors.New("connection reset")
	}
	var next atomic.Int64
	relays := follower.NewRelays(func() bool { return false }, noRelay, func(storer.Store) { next.Add(1) }, time.Millisecond).
		WithFallbacks(func() []storer.Store { return fallbacks[min(int(next.Load()), len(fallbacks)):] })
	seen = make(chan int64, 64)
	f = follower.New(s.store(), "", func(_ []storer.Pair, stored storer.RangeResult) { seen <- stored.Revision().Number() }, zerolog.Nop(), follower.WithRelays(relays))
	f.Start()
	c.Cleanup(f.Close)
	c.Assert(<-seen, qt.Equals, int64(100))
	return f, seen
}

// An instance that the store refuses must not keep an old configuration that its
// peers have replaced.
func TestRefusedInstanceReadsFromPeers(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	fails := storer.NewRemote(storer.WithRange(func(context.Context, string) (storer.RangeResult, error) {
		return storer.RangeResult{}, storer.NewStatusError("relay", 503, "")
	}))
	tests := []struct {
		name      string
		fallbacks []storer.Store
	}{
		{"the nearest peer serves", []storer.Store{fakeRelay(150, blockUntilDone)}},
		{"the nearest peer is refused as well", []storer.Store{fails, fakeRelay(150, blockUntilDone)}},
		{"the nearest peer lags", []storer.Store{fakeRelay(90, blockUntilDone), fakeRelay(150, blockUntilDone)}},
		{"the nearest peer is lost later", []storer.Store{
			fakeRelay(140, func(context.Context) error { return errors.New("connection reset") }), fakeRelay(150, blockUntilDone),
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f, seen := refusedByStore(c, &scriptedStore{}, test.fallbacks...)
			f.NotifyRevision(revision(150))
			for got := int64(0); got != 150; {
				select {
				case got = <-seen:
				case <-time.After(10 * time.Second):
					c.Fatal("the revision that peers know was not read")
				}
			}
			c.Assert(f.FollowsStore(), qt.IsFalse, qt.Commentf("it must not serve others as a relay"))
		})
	}
}

// In an outage of the whole store, peers have nothing new: instances must not load
// each other with reads.
func TestOutageOfTheWholeStoreReadsFromNoPeer(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	var reads atomic.Int64
	peer := storer.NewRemote(storer.WithRange(func(context.Context, string) (storer.RangeResult, error) {
		reads.Add(1)
		return storer.RangeResult{}, storer.NewStatusError("relay", 503, "")
	}))
	s := &scriptedStore{}
	f, _ := refusedByStore(c, s, peer)
	f.NotifyRevision(revision(100))
	for s.failingReads.Load() > 1<<30-4 { // Until the store has failed some times.
		time.Sleep(time.Millisecond)
	}
	c.Assert(reads.Load(), qt.Equals, int64(0))
}

// An instance that reads from a peer must return to the store, so that its zone has
// a relay again.
func TestRefusedInstanceReturnsToTheStore(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	s := &scriptedStore{}
	f, seen := refusedByStore(c, s, fakeRelay(150, blockUntilDone))
	f.NotifyRevision(revision(150))
	for <-seen != 150 {
		continue
	}
	s.poll = func(ctx context.Context, _ int64) (storer.Batch, error) { return storer.Batch{}, blockUntilDone(ctx) }
	s.failingReads.Store(0)
	for <-seen < 200 {
		continue
	}
	c.Assert(f.FollowsStore(), qt.IsTrue)
}

// Guards against an instance that reads all keys from the store, once a second, only to
// find out that the store still refuses it.
func TestRefusedInstanceProbesTheStore(t *testing.T) {
	tests := []struct {
		name   string
		answer error // To a probe.
		reads  int64
	}{
		{"probes are refused", storer.NewStatusError("probe", 503, ""), 0},
		{"probes are answered, reads refused", nil, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var reads atomic.Int64
				store := storer.NewRemote(
					storer.WithRange(func(context.Context, string) (storer.RangeResult, error) {
						reads.Add(1)
						return storer.RangeResult{}, storer.NewStatusError("range", 503, "")
					}),
					storer.WithProbe(func(context.Context) (storer.Revision, error) { return revision(150), test.answer }))
				relays := follower.NewRelays(func() bool { return false }, noRelay, func(storer.Store) {}, time.Second).
					WithFallbacks(func() []storer.Store { return []storer.Store{fakeRelay(150, blockUntilDone)} })
				f := follower.New(store, "", func([]storer.Pair, storer.RangeResult) {}, zerolog.Nop(), follower.WithRelays(relays))
				f.Start()
				f.NotifyRevision(revision(150))
				for f.Revision() != revision(150) {
					time.Sleep(time.Millisecond)
				}
				before := reads.Load()
				time.Sleep(4500 * time.Millisecond)
				c.Check(reads.Load()-before, qt.Equals, test.reads)
				f.Close()
			})
		})
	}
}
