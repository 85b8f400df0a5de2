package follower_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"burdocklane/follower"
	"burdocklane/sleeper"
	"burdocklane/storer"
	"burdocklane/timekeeper"

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
			relays := follower.NewRelays(func() bool { return false }, noRelay, func(storer.Store) {}, time.Millisecond)
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

// Guards against a relay that goes on serving while the store is silent, and against
// an outage that is declared, with keys retained, since a single probe got lost.
func TestReadAfterAFailedProbeTells(t *testing.T) {
	defer goleak.VerifyNone(t)
	tests := []struct {
		name    string
		readErr error
		lost    bool
	}{
		{"the store answers the read", nil, false},
		{"the store does not answer the read either", errors.New("timeout"), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var reads, probes atomic.Int64
			silent := storer.NewRemote(
				storer.WithRange(func(context.Context, string) (storer.RangeResult, error) {
					switch reads.Add(1) {
					case 1:
						return storer.NewRangeResult([]storer.Pair{pair("a", "v", 1), pair("b", "v", 1)}, revision(100)), nil
					case 2:
						if test.readErr != nil {
							return storer.RangeResult{}, test.readErr
						}
					}
					return storer.NewRangeResult([]storer.Pair{pair("a", "v", 1)}, revision(200)), nil
				}),
				storer.WithPoll(func(ctx context.Context, _ string, _ storer.Revision) (storer.Batch, error) {
					return storer.Batch{}, blockUntilDone(ctx)
				}, 0),
				storer.WithProbe(func(ctx context.Context) (storer.Revision, error) {
					if probes.Add(1) == 1 {
						return storer.Revision{}, blockUntilDone(ctx)
					}
					return revision(200), nil
				}))
			var f *follower.Follower
			var serving []bool // Whether the instance could serve as a relay when it lost the store.
			usable := make(chan int, 8)
			f = follower.New(silent, "", func(pairs []storer.Pair, _ storer.RangeResult) { usable <- len(pairs) }, zerolog.Nop(),
				follower.WithOnLost(func() { serving = append(serving, f.FollowsStore()) }))
			f.Start()
			c.Assert(<-usable, qt.Equals, 2)
			got := <-usable // A missing key is retained after an outage only.
			f.Close()
			if test.lost {
				c.Assert(got, qt.Equals, 2)
				c.Assert(serving, qt.DeepEquals, []bool{false})
				return
			}
			c.Assert(got, qt.Equals, 1)
			c.Assert(serving, qt.HasLen, 0)
		})
	}
}

// Guards against a store that refuses probes, by a rate limit, or answers them from a
// replica that lags, and is read again and again although its watch works.
func TestUnusableAnswersToProbesEndAWatchLate(t *testing.T) {
	defer goleak.VerifyNone(t)
	tests := []struct {
		name  string
		err   error
		reads int64 // After five probes.
	}{
		{"too many requests", storer.NewStatusError("probe", 429, ""), 1},
		{"an answer of an older era", storer.NewStaleEraError("probe", 1, 2), 1},
		{"no answer", errors.New("connection reset"), 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var reads, probes atomic.Int64
			s := storer.NewRemote(
				storer.WithRange(func(context.Context, string) (storer.RangeResult, error) {
					reads.Add(1)
					return storer.NewRangeResult(nil, revision(100)), nil
				}),
				storer.WithPoll(func(ctx context.Context, _ string, _ storer.Revision) (storer.Batch, error) {
					return storer.Batch{}, blockUntilDone(ctx)
				}, 0),
				storer.WithProbe(func(context.Context) (storer.Revision, error) {
					if probes.Add(1)%3 == 0 {
						return revision(100), nil
					}
					return storer.Revision{}, test.err
				}))
			f := follower.New(s, "", func([]storer.Pair, storer.RangeResult) {}, zerolog.Nop())
			f.Start()
			defer f.Close()
			for probes.Load() < 6 { // The third and the sixth succeed.
				time.Sleep(time.Millisecond)
			}
			c.Assert(reads.Load(), qt.Equals, test.reads)
		})
	}
}

// slowBody is a body of parts that arrive one after another.
type slowBody struct{ parts int }

const partInterval = 200 * time.Millisecond

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.parts == 0 {
		return 0, io.EOF
	}
	b.parts--
	time.Sleep(partInterval)
	return copy(p, "part"), nil
}

// Guards against a watch that is ended while a long change arrives over a thin link,
// which keeps the answers to probes back.
func TestProbeDoesNotEndATransfer(t *testing.T) {
	tests := []struct {
		name  string
		parts int // Of the change that the watch delivers.
		reads int64
	}{
		{"a change arrives", 20, 1},
		{"nothing arrives", 0, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var reads, polls atomic.Int64
				store := storer.NewRemote(
					storer.WithRange(func(context.Context, string) (storer.RangeResult, error) {
						return storer.NewRangeResult(nil, revision(reads.Add(1)*100)), nil
					}),
					storer.WithPoll(func(ctx context.Context, _ string, _ storer.Revision) (storer.Batch, error) {
						if polls.Add(1) > 1 || test.parts == 0 {
							return storer.Batch{}, blockUntilDone(ctx)
						}
						exchange := timekeeper.New(ctx, time.Second, time.Second)
						defer exchange.Close()
						_, err := exchange.ReadBody(&slowBody{parts: test.parts}, 1000)
						return storer.NewBatch(nil, revision(150)), err
					}, 0),
					storer.WithProbe(func(ctx context.Context) (storer.Revision, error) {
						if polls.Load() > 1 {
							return revision(reads.Load() * 100), nil
						}
						return storer.Revision{}, blockUntilDone(ctx)
					}))
				f := follower.New(store, "", func([]storer.Pair, storer.RangeResult) {}, zerolog.Nop())
				f.Start()
				time.Sleep(time.Duration(test.parts)*partInterval + 1500*time.Millisecond)
				c.Check(reads.Load(), qt.Equals, test.reads)
				f.Close()
			})
		})
	}
}
