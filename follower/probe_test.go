package follower_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"burdocklane/follower"
	"burdocklane/sleeper"
	"burdocklane/storer"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

// probedStore is a store whose watch never gets an answer, and whose probes answer as
// a test sets.
type probedStore struct {
	reads  atomic.Int64
	probes atomic.Int64
	probe  func(ctx context.Context) (storer.Revision, error)
}

func (s *probedStore) store() *storer.Remote {
	return storer.NewRemote(
		storer.WithRange(func(context.Context, string) (storer.RangeResult, error) {
			n := s.reads.Add(1)
			return storer.NewRangeResult([]storer.Pair{pair("a", "v", n)}, revision(n*100)), nil
		}),
		storer.WithPoll(func(ctx context.Context, _ string, _ storer.Revision) (storer.Batch, error) {
			return storer.Batch{}, blockUntilDone(ctx)
		}, 0),
		storer.WithProbe(func(ctx context.Context) (storer.Revision, error) {
			if s.probes.Add(1) > 1 { // The second read has repaired the watch.
				return revision(s.reads.Load() * 100), nil
			}
			return s.probe(ctx)
		}))
}

// Guards against a silent watch that is taken for one without changes.
func TestProbesRevealASilentWatch(t *testing.T) {
	defer goleak.VerifyNone(t)
	tests := []struct {
		name  string
		probe func(ctx context.Context) (storer.Revision, error)
		reads int64
	}{
		{"the store answers and has no changes", func(context.Context) (storer.Revision, error) { return revision(100), nil }, 1},
		{"the answer is older than the keys", func(context.Context) (storer.Revision, error) { return revision(50), nil }, 1},
		{"the store has changes that the watch did not deliver", func(context.Context) (storer.Revision, error) { return revision(150), nil }, 2},
		{"the store does not answer", func(ctx context.Context) (storer.Revision, error) { return revision(0), blockUntilDone(ctx) }, 2},
		{"the store refuses", func(context.Context) (storer.Revision, error) { return revision(0), errors.New("status 503") }, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := &probedStore{probe: test.probe}
			relays := follower.NewRelays(func() bool { return false }, func() (storer.Store, bool) { return nil, false }, func() {}, time.Millisecond)
			f := follower.New(s.store(), "", func([]storer.Pair, storer.RangeResult) {}, zerolog.Nop(), follower.WithRelays(relays))
			f.Start()
			defer f.Close()
			for s.probes.Load() < 3 {
				time.Sleep(time.Millisecond)
			}
			c.Assert(s.reads.Load(), qt.Equals, test.reads)
			c.Assert(f.FollowsStore(), qt.IsTrue)
		})
	}
}

// Guards against a watch of a slow store that is ended again and again: the store
// answers, only later than a probe usually waits.
func TestProbesOfASlowStoreWaitLonger(t *testing.T) {
	defer goleak.VerifyNone(t)
	const answerTime = 600 * time.Millisecond // Longer than the least timeout of a probe.
	c := qt.New(t)
	var reads, probes atomic.Int64
	slow := storer.NewRemote(
		storer.WithRange(func(context.Context, string) (storer.RangeResult, error) {
			reads.Add(1)
			time.Sleep(answerTime)
			return storer.NewRangeResult(nil, revision(100)), nil
		}),
		storer.WithPoll(func(ctx context.Context, _ string, _ storer.Revision) (storer.Batch, error) {
			return storer.Batch{}, blockUntilDone(ctx)
		}, 0),
		storer.WithProbe(func(ctx context.Context) (storer.Revision, error) {
			probes.Add(1)
			if !sleeper.Sleep(ctx, answerTime) {
				return storer.Revision{}, ctx.Err()
			}
			return revision(100), nil
		}))
	f := follower.New(slow, "", func([]storer.Pair, storer.RangeResult) {}, zerolog.Nop())
	f.Start()
	defer f.Close()
	for probes.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	c.Assert(reads.Load(), qt.Equals, int64(1))
}
