package follower_test

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"burdocklane/explainer"
	"burdocklane/follower"
	"burdocklane/storer"

	"github.com/go-faster/errors"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// restoredStore is a fake store that goes back to an older copy: its first watch is
// reset, and from then on it serves the keys of the copy.
type restoredStore struct {
	before, restored storer.RangeResult
	isRestored       atomic.Bool
	goesBack         chan struct{} // Closed when the store goes back.
}

func (s *restoredStore) store() *storer.Remote {
	return storer.NewRemote(
		storer.WithRange(func(context.Context, string) (storer.RangeResult, error) {
			if s.isRestored.Load() {
				return s.restored, nil
			}
			return s.before, nil
		}),
		storer.WithPoll(func(ctx context.Context, _ string, after storer.Revision) (storer.Batch, error) {
			if after.Era() == s.restored.Revision().Era() {
				return storer.Batch{}, blockUntilDone(ctx)
			}
			select {
			case <-s.goesBack:
				s.isRestored.Store(true)
				return storer.Batch{}, errors.New("connection reset")
			case <-ctx.Done():
				return storer.Batch{}, ctx.Err()
			}
		}, time.Millisecond))
}

// A store that has gone back to an older copy is the truth, although its revisions are
// lower: refused, its routes would not be served until it has made up for the writes
// that it lost.
func TestStoreGoesBackToAnOlderCopy(t *testing.T) {
	tests := []struct {
		name     string
		before   storer.RangeResult
		restored storer.RangeResult
		usable   []string // While missing keys are retained.
		later    []string // After that.
	}{
		{
			"a lower revision in a later era",
			storer.NewRangeResult([]storer.Pair{pairOf("config", "old", 1, 40)}, storer.NewRevision(1, 58)),
			storer.NewRangeResult([]storer.Pair{pairOf("config", "new", 2, 41)}, storer.NewRevision(2, 41)),
			[]string{"config=new"},
			[]string{"config=new"},
		},
		{
			"the revision of the value that was lost",
			storer.NewRangeResult([]storer.Pair{pairOf("config", "lost", 1, 58)}, storer.NewRevision(1, 58)),
			storer.NewRangeResult([]storer.Pair{pairOf("config", "new", 2, 58)}, storer.NewRevision(2, 58)),
			[]string{"config=new"},
			[]string{"config=new"},
		},
		{
			"a value from before the copy was made",
			storer.NewRangeResult([]storer.Pair{pairOf("config", "lost", 1, 58)}, storer.NewRevision(1, 58)),
			storer.NewRangeResult([]storer.Pair{pairOf("config", "old", 2, 30)}, storer.NewRevision(2, 41)),
			[]string{"config=old"},
			[]string{"config=old"},
		},
		{
			"a key that its writer puts again is missing",
			storer.NewRangeResult([]storer.Pair{pairOf("a", "1", 1, 50), pairOf("b", "1", 1, 30)}, storer.NewRevision(1, 58)),
			storer.NewRangeResult([]storer.Pair{pairOf("b", "1", 2, 30)}, storer.NewRevision(2, 41)),
			[]string{"a=1", "b=1"},
			[]string{"b=1"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := &restoredStore{before: test.before, restored: test.restored, goesBack: make(chan struct{})}
				restores := follower.StoreRestores()
				usable := make(chan []string, 8)
				stored := make(chan storer.RangeResult, 8)
				f := follower.New(s.store(), "", func(pairs []storer.Pair, result storer.RangeResult) {
					usable <- values(pairs)
					stored <- result
				}, zerolog.Nop())
				f.Start()
				defer f.Close()
				<-usable
				c.Assert((<-stored).Revision(), qt.Equals, test.before.Revision())
				close(s.goesBack)
				restored := time.Now()
				c.Assert(receive(c, usable), qt.DeepEquals, test.usable)
				c.Assert(time.Since(restored) < time.Second, qt.IsTrue)
				result := <-stored
				c.Assert(result.Revision(), qt.Equals, test.restored.Revision())
				c.Assert(values(result.Pairs()), qt.DeepEquals, values(test.restored.Pairs()))
				c.Assert(result.IsRecovering(), qt.IsTrue)
				c.Assert(f.Revision(), qt.Equals, test.restored.Revision())
				c.Assert(receive(c, usable), qt.DeepEquals, test.later)
				c.Assert(time.Since(restored) >= 2*time.Second, qt.IsTrue)
				c.Assert(follower.StoreRestores()-restores, qt.Equals, uint64(1))
			})
		})
	}
}

// receive returns the next value, and fails the test if none comes in time.
func receive[T any](c *qt.C, from <-chan T) T {
	select {
	case value := <-from:
		return value
	case <-time.After(10 * time.Second):
		c.Fatal("nothing was published within 10 s")
		panic("unreachable")
	}
}

// A late answer, a relay or a peer may still be of the era before: its higher revisions
// must not replace the keys of the restored store.
func TestRelayOfAnotherEra(t *testing.T) {
	tests := []struct {
		name  string
		stale storer.Revision // Of a relay that becomes available.
		used  bool
	}{
		{"a higher revision of an older era", storer.NewRevision(1, 900), false},
		{"an older revision of the same era", storer.NewRevision(2, 40), false},
		{"a lower revision of a later era", storer.NewRevision(3, 1), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := storer.NewRemote(
					storer.WithRange(func(context.Context, string) (storer.RangeResult, error) {
						return storer.NewRangeResult(nil, storer.NewRevision(2, 41)), nil
					}),
					storer.WithPoll(func(ctx context.Context, _ string, _ storer.Revision) (storer.Batch, error) {
						return storer.Batch{}, blockUntilDone(ctx)
					}, 0))
				relay := storer.NewRemote(
					storer.WithRange(func(context.Context, string) (storer.RangeResult, error) {
						return storer.NewRangeResult(nil, test.stale), nil
					}),
					storer.WithPoll(func(ctx context.Context, _ string, _ storer.Revision) (storer.Batch, error) {
						return storer.Batch{}, blockUntilDone(ctx)
					}, 0))
				var enabled, failed atomic.Bool
				f := follower.New(store, "", func([]storer.Pair, storer.RangeResult) {}, zerolog.Nop(),
					follower.WithRelays(follower.NewRelays(enabled.Load,
						untilFailed(relay, &failed), func(storer.Store) { failed.Store(true) }, time.Second)))
				f.Start()
				defer f.Close()
				time.Sleep(time.Second)
				c.Assert(f.Revision(), qt.Equals, storer.NewRevision(2, 41))
				enabled.Store(true)
				time.Sleep(3 * time.Second)
				c.Assert(f.Revision() == test.stale, qt.Equals, test.used)
				c.Assert(failed.Load(), qt.Equals, !test.used)
			})
		})
	}
}

// A peer that knows of a later era reveals a watch that does not deliver it, whatever
// its number; one of an older era reveals nothing.
func TestRevisionsOfPeersInOtherEras(t *testing.T) {
	tests := []struct {
		name  string
		known storer.Revision
		reads int64
	}{
		{"a lower revision of a later era", storer.NewRevision(era+1, 3), 2},
		{"a higher revision of an older era", storer.NewRevision(era-1, 900), 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := &scriptedStore{poll: func(ctx context.Context, _ int64) (storer.Batch, error) {
					return storer.Batch{}, blockUntilDone(ctx)
				}}
				f := follower.New(s.store(), "", func([]storer.Pair, storer.RangeResult) {}, zerolog.Nop())
				f.Start()
				defer f.Close()
				synctest.Wait()
				f.NotifyRevision(test.known)
				time.Sleep(10 * time.Second)
				c.Assert(s.reads.Load(), qt.Equals, test.reads)
			})
		})
	}
}

// The reader of the log takes a field "revision" for the number of a configuration's
// version, and skips lines in which it is anything else.
func TestLinesOfTheStoreRevision(t *testing.T) {
	tests := []struct {
		name string
		play func(*follower.Follower, *restoredStore)
		line string
	}{
		{
			"the store goes back", func(_ *follower.Follower, s *restoredStore) { close(s.goesBack) },
			"store has gone back to an older copy",
		},
		{
			"a peer knows a later era", func(f *follower.Follower, _ *restoredStore) { f.NotifyRevision(storer.NewRevision(2, 41)) },
			"watch has not delivered a revision that peers know; reading the keys again",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := &restoredStore{
					before:   storer.NewRangeResult(nil, storer.NewRevision(1, 58)),
					restored: storer.NewRangeResult(nil, storer.NewRevision(2, 41)),
					goesBack: make(chan struct{}),
				}
				var log bytes.Buffer
				f := follower.New(s.store(), "", func([]storer.Pair, storer.RangeResult) {}, zerolog.New(&log))
				f.Start()
				synctest.Wait()
				test.play(f, s)
				time.Sleep(5 * time.Second)
				f.Close()
				lines, err := explainer.Read(&log)
				c.Assert(err, qt.IsNil)
				raw := ""
				for _, line := range lines {
					if line.Message() == test.line {
						raw = string(line.Raw())
					}
				}
				c.Assert(raw, qt.Contains, `"store-revision":"2:41"`)
				c.Assert(raw, qt.Contains, `"have":"1:58"`)
			})
		})
	}
}
