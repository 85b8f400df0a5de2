package follower_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"burdocklane/follower"
	"burdocklane/storer"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

const (
	// changeTime is the users' bound on the time until a change is in force.
	changeTime = 3 * time.Second
	// watchTime is how long a watch may take to deliver a revision that peers know.
	watchTime = 900 * time.Millisecond
	// relayTimeout and storeTimeout are how long a read waits for a relay, and for the store.
	relayTimeout = 2 * time.Second
	storeTimeout = 800 * time.Millisecond
)

// behaviour is what a source does with a read.
type behaviour int

const (
	serves   behaviour = iota // It answers on a slow link.
	refuses                   // It waits for a while and then refuses.
	isSilent                  // It does not answer.
	lags                      // It answers with older keys than this instance has.
	isBehind                  // It answers with the keys that this instance has.
)

// source is a source of the keys at a revision that may be later than the old one.
func (b behaviour) source(name string, timeout time.Duration, latest storer.Revision) storer.Store {
	read := func(ctx context.Context, _ string) (storer.RangeResult, error) {
		switch b {
		case serves:
			time.Sleep(200 * time.Millisecond)
			return storer.NewRangeResult(nil, latest), nil
		case refuses:
			time.Sleep(300 * time.Millisecond)
			return storer.RangeResult{}, storer.NewStatusError(name, 503, "")
		case lags:
			time.Sleep(200 * time.Millisecond)
			return storer.NewRangeResult(nil, revision(90)), nil
		case isBehind:
			time.Sleep(200 * time.Millisecond)
			return storer.NewRangeResult(nil, revision(100)), nil
		}
		select {
		case <-ctx.Done():
			return storer.RangeResult{}, ctx.Err()
		case <-time.After(timeout):
			return storer.RangeResult{}, errors.New("timeout")
		}
	}
	poll := func(ctx context.Context, _ string, _ storer.Revision) (storer.Batch, error) {
		return storer.Batch{}, blockUntilDone(ctx)
	}
	return storer.NewRemote(storer.WithName(name), storer.WithRange(read), storer.WithPoll(poll, 0))
}

// Guards against a sum of waits for one source after another, by which a change that
// peers know comes into force too late.
func TestRevisionIsReachedInTimeWhicheverSourcesFail(t *testing.T) {
	tests := []struct {
		name      string
		relays    []behaviour
		store     behaviour
		fallbacks []behaviour
	}{
		{"the relay recovers", []behaviour{serves}, serves, nil},
		{"relays refuse", []behaviour{refuses, refuses}, serves, nil},
		{"relays are silent", []behaviour{isSilent, isSilent}, serves, nil},
		{"relays lag", []behaviour{lags, lags}, serves, nil},
		{"relays are behind", []behaviour{isBehind, isBehind}, serves, nil},
		{"relays and peers are behind", []behaviour{isBehind, isBehind}, refuses, []behaviour{isBehind, isBehind, serves}},
		{"relays and the store refuse", []behaviour{refuses, refuses}, refuses, []behaviour{serves}},
		{"relays refuse and the store is silent", []behaviour{refuses, refuses}, isSilent, []behaviour{refuses, refuses, serves}},
		{"one relay is silent", []behaviour{isSilent, serves}, isSilent, nil},
		{"all but the last one refuse", []behaviour{refuses, refuses}, refuses, []behaviour{refuses, refuses, serves}},
		{"all but the last one are silent", []behaviour{isSilent, isSilent}, isSilent, []behaviour{isSilent, isSilent, serves}},
		{"all but the last one lag", []behaviour{lags, lags}, lags, []behaviour{lags, lags, serves}},
		{"all kinds of failures", []behaviour{isSilent, refuses}, isSilent, []behaviour{lags, refuses, serves}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				latest := revision(150)
				first := serves.source("first relay", relayTimeout, revision(100))
				relays := newSources(test.relays, "relay", relayTimeout, latest)
				fallbacks := newSources(test.fallbacks, "fallback", relayTimeout, latest)
				reached := make(chan time.Time, 1)
				onChange := func(_ []storer.Pair, stored storer.RangeResult) {
					if stored.Revision() == latest {
						reached <- time.Now()
					}
				}
				f := follower.New(test.store.source("store", storeTimeout, latest), "", onChange, zerolog.Nop(),
					follower.WithRelays(relaysOf(first, relays, fallbacks)))
				f.Start()
				time.Sleep(changeTime)
				named := time.Now()
				var peers sync.WaitGroup
				peers.Go(func() { peersKnow(f, latest, changeTime) })
				select {
				case at := <-reached:
					c.Check(at.Sub(named) <= changeTime, qt.IsTrue, qt.Commentf("reached after %s", at.Sub(named)))
				case <-time.After(4 * changeTime):
					c.Error("not reached")
				}
				peers.Wait()
				f.Close()
			})
		})
	}
}

func newSources(behaviours []behaviour, kind string, timeout time.Duration, latest storer.Revision) []storer.Store {
	sources := make([]storer.Store, 0, len(behaviours))
	for n, b := range behaviours {
		sources = append(sources, b.source(fmt.Sprintf("%s %d", kind, n), timeout, latest))
	}
	return sources
}

// relaysOf returns the relays and fallbacks. The first relay serves until its watch stalls,
// and each of the others until it fails.
func relaysOf(first storer.Store, relays, fallbacks []storer.Store) follower.Relays {
	var failed sync.Map
	usable := func(sources []storer.Store) []storer.Store {
		return slices.DeleteFunc(slices.Clone(sources), func(s storer.Store) bool {
			_, ok := failed.Load(s)
			return ok
		})
	}
	available := func() []storer.Store {
		if _, ok := failed.Load(first); !ok {
			return []storer.Store{first}
		}
		return usable(relays)
	}
	return follower.NewRelays(func() bool { return true }, available, func(s storer.Store) { failed.Store(s, true) }, watchTime).
		WithFallbacks(func() []storer.Store { return usable(fallbacks) })
}

// peersKnow repeats a revision, as the datagrams of peers do.
func peersKnow(f *follower.Follower, latest storer.Revision, during time.Duration) {
	for range during / (100 * time.Millisecond) {
		f.NotifyRevision(latest)
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against a relay that goes on serving old keys while it waits for other sources,
// although its own read of the store has failed.
func TestLossOfTheStoreIsKnownBeforeOtherSourcesAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		reads := 0
		store := storer.NewRemote(
			storer.WithRange(func(context.Context, string) (storer.RangeResult, error) {
				if reads++; reads > 1 {
					return storer.RangeResult{}, storer.NewStatusError("range", 503, "")
				}
				return storer.NewRangeResult(nil, revision(100)), nil
			}),
			storer.WithPoll(func(ctx context.Context, _ string, _ storer.Revision) (storer.Batch, error) {
				return storer.Batch{}, blockUntilDone(ctx)
			}, 0))
		fallbacks := newSources([]behaviour{isSilent, isSilent, isSilent}, "fallback", relayTimeout, revision(150))
		relays := follower.NewRelays(func() bool { return false }, noRelay, func(storer.Store) {}, watchTime).
			WithFallbacks(func() []storer.Store { return fallbacks })
		var lost atomic.Bool
		f := follower.New(store, "", func([]storer.Pair, storer.RangeResult) {}, zerolog.Nop(),
			follower.WithRelays(relays), follower.WithOnLost(func() { lost.Store(true) }))
		f.Start()
		synctest.Wait()
		c.Check(f.FollowsStore(), qt.IsTrue)
		f.NotifyRevision(revision(150))
		time.Sleep(watchTime + 500*time.Millisecond) // The watch has stalled, and the read was refused.
		c.Check(lost.Load(), qt.IsTrue)
		c.Check(f.FollowsStore(), qt.IsFalse)
		c.Check(f.HasLostStore(), qt.IsTrue)
		f.Close()
	})
}

// Guards against a revision that does not exist, by which an instance takes its relays for
// ones that are behind, and asks all sources at once, for good.
func TestRevisionThatTheStoreNeverHad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var storeReads, relayReads atomic.Int64
		counting := func(name string, reads *atomic.Int64, poll time.Duration) storer.Store {
			return storer.NewRemote(storer.WithName(name),
				storer.WithRange(func(context.Context, string) (storer.RangeResult, error) {
					reads.Add(1)
					time.Sleep(2 * time.Second / 10) // Longer than the shortest pause between two sources.
					return storer.NewRangeResult(nil, revision(100)), nil
				}),
				storer.WithPoll(func(context.Context, string, storer.Revision) (storer.Batch, error) {
					time.Sleep(poll)
					return storer.Batch{}, storer.NewCompactedError(revision(100))
				}, 0))
		}
		relay := counting("relay", &relayReads, time.Second)
		relays := follower.NewRelays(func() bool { return true }, func() []storer.Store { return []storer.Store{relay} }, func(storer.Store) {}, watchTime)
		f := follower.New(counting("store", &storeReads, time.Second), "", func([]storer.Pair, storer.RangeResult) {}, zerolog.Nop(), follower.WithRelays(relays))
		f.Start()
		time.Sleep(1500 * time.Millisecond)
		f.NotifyRevision(revision(1 << 40))
		time.Sleep(20 * time.Second)
		f.Close()
		c.Check(storeReads.Load(), qt.Equals, int64(1))
		c.Check(relayReads.Load() > 10, qt.IsTrue, qt.Commentf("%d reads", relayReads.Load()))
	})
}
