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
	"github.com/rs/zerolog"
)

// Pattern: an outage of the whole store, during which every instance of a large fleet would
// read it again and again. Guards also against instances that do not notice its end.
func TestRelaysTryALostStoreForTheirReaders(t *testing.T) {
	tests := []struct {
		name     string
		relayErr error
		named    bool // A peer names a later revision after the first second.
		maxReads int64
		minReads int64
	}{
		{"the relay has lost the store", storer.NewRelayLostStoreError("relay"), false, 4, 3},
		{"the relay has lost the store, a peer has not", storer.NewRelayLostStoreError("relay"), true, 1000, 8},
		{"the relay fails", storer.NewStatusError("relay", 503, ""), false, 1000, 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var reads atomic.Int64
				var restored atomic.Bool
				store := storer.NewRemote(storer.WithRange(func(context.Context, string) (storer.RangeResult, error) {
					reads.Add(1)
					return storer.RangeResult{}, storer.NewStatusError("range", 503, "")
				}))
				serving := fakeRelay(150, blockUntilDone)
				relay := storer.NewRemote(storer.WithRange(func(ctx context.Context, prefix string) (storer.RangeResult, error) {
					if restored.Load() {
						return storer.Range(ctx, serving, prefix)
					}
					return storer.RangeResult{}, test.relayErr
				}), storer.WithPoll(func(ctx context.Context, _ string, _ storer.Revision) (storer.Batch, error) {
					return storer.Batch{}, blockUntilDone(ctx)
				}, 0))
				relays := follower.NewRelays(func() bool { return true }, func() []storer.Store { return []storer.Store{relay} },
					func(storer.Store) {}, time.Second)
				f := follower.New(store, "", func([]storer.Pair, storer.RangeResult) {}, zerolog.Nop(), follower.WithRelays(relays))
				f.Start()
				defer f.Close()
				if time.Sleep(time.Second); test.named {
					f.NotifyRevision(revision(150))
				}
				time.Sleep(14 * time.Second)
				c.Check(reads.Load() >= test.minReads && reads.Load() <= test.maxReads, qt.IsTrue, qt.Commentf("%d reads", reads.Load()))
				restored.Store(true)
				time.Sleep(2 * time.Second)
				c.Check(f.Revision(), qt.Equals, revision(150))
			})
		})
	}
}
