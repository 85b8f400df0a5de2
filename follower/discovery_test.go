package follower_test

import (
	"cmp"
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
)

// discoveryFleet is a fake store and a fake relay of an instance that starts.
type discoveryFleet struct {
	staleErr     error
	panics       bool          // The choice of the first source panics, and so does the first change.
	listedAfter  time.Duration // When the stale read lists the relay.
	servesAfter  time.Duration // When the relay serves.
	changesAfter time.Duration // When another relay is listed, which serves.
	refusal      error         // Of the relay while it does not serve, or nil.
	storeTime    time.Duration // How long the store takes for a read.
	started      time.Time
	storeReads   atomic.Int64
	staleReads   atomic.Int64
	relayedReads atomic.Int64
}

var errNotYet = errors.New("not yet")

func (d *discoveryFleet) waited() time.Duration { return time.Since(d.started) }

func waitForEnd(ctx context.Context, _ string, _ storer.Revision) (storer.Batch, error) {
	<-ctx.Done()
	return storer.Batch{}, ctx.Err()
}

func (d *discoveryFleet) store() *storer.Remote {
	return storer.NewRemote(
		storer.WithRange(func(context.Context, string) (storer.RangeResult, error) {
			d.storeReads.Add(1)
			time.Sleep(d.storeTime)
			return storer.NewRangeResult([]storer.Pair{pair("a", "store", 9)}, revision(9)), nil
		}),
		storer.WithStaleRange(func(context.Context, string) (storer.RangeResult, error) {
			d.staleReads.Add(1)
			if d.staleErr != nil || d.waited() < d.listedAfter {
				return storer.RangeResult{}, d.staleErr
			}
			return storer.NewRangeResult([]storer.Pair{pair("relay", "stale", 1)}, revision(1)), nil
		}),
		storer.WithPoll(waitForEnd, time.Millisecond))
}

func (d *discoveryFleet) relay() *storer.Remote {
	return storer.NewRemote(
		storer.WithName("relay"),
		storer.WithRange(func(context.Context, string) (storer.RangeResult, error) {
			if d.waited() < d.servesAfter {
				return storer.RangeResult{}, cmp.Or(d.refusal, errNotYet)
			}
			d.relayedReads.Add(1)
			return storer.NewRangeResult([]storer.Pair{pair("a", "relay", 9)}, revision(9)), nil
		}),
		storer.WithPoll(waitForEnd, time.Millisecond))
}

// Pattern: many instances start together. Each that reads the store itself makes the
// store slower for all, and each that believes a stale read brings back what was
// withdrawn. An unexpected error on the way must not end the process.
func TestFirstSourceOfAnInstance(t *testing.T) {
	const never = time.Hour
	tests := []struct {
		name       string
		fleet      *discoveryFleet
		none       follower.FirstSource // The decision while no relay is listed.
		want       string               // The value of the key that is published.
		within     time.Duration
		staleReads int64 // At most.
	}{
		{"a relay is listed and serves", &discoveryFleet{}, follower.NewNotYet(time.Second), "relay", 0, 1},
		{"a relay is listed later", &discoveryFleet{listedAfter: 600 * time.Millisecond}, follower.NewNotYet(time.Second), "relay", time.Second, 5},
		{"a relay is starting too", &discoveryFleet{servesAfter: 500 * time.Millisecond}, follower.NewNotYet(time.Second), "relay", time.Second, 3},
		{"the relay that is listed never serves", &discoveryFleet{servesAfter: never}, follower.NewNotYet(time.Second), "store", 3 * time.Second, 12},
		{"another relay takes its place", &discoveryFleet{servesAfter: never, changesAfter: 500 * time.Millisecond}, follower.NewNotYet(time.Second), "relay", time.Second, 4},
		{"the relay has lost the store", &discoveryFleet{
			servesAfter: never, refusal: storer.NewRelayLostStoreError("relay"), storeTime: time.Second,
		}, follower.NewNotYet(time.Second), "store", 1100 * time.Millisecond, 1},
		{"no relay is ever listed", &discoveryFleet{listedAfter: never}, follower.NewNotYet(time.Second), "store", 3 * time.Second, 12},
		{"this instance is the first", &discoveryFleet{listedAfter: never}, follower.FromStore{}, "store", 0, 1},
		{"unexpected errors", &discoveryFleet{panics: true}, follower.FromStore{}, "store", time.Second, 1},
		{"the stale read fails", &discoveryFleet{staleErr: errNotYet}, follower.NewNotYet(time.Second), "store", 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				d := test.fleet
				d.started = time.Now()
				choose := func(listed []storer.Pair, _ time.Duration) follower.FirstSource {
					if d.panics {
						panic("odd entry")
					}
					if d.changesAfter > 0 && d.waited() >= d.changesAfter {
						d.servesAfter = 0
					}
					if len(listed) > 0 {
						return follower.NewFromRelays(d.relay())
					}
					return test.none
				}
				published := make(chan string, 8)
				onChange := func(usable []storer.Pair, _ storer.RangeResult) {
					if d.panics && d.storeReads.Load() == 1 {
						panic("odd key")
					}
					published <- string(usable[0].Value())
				}
				f := follower.New(d.store(), "", onChange, zerolog.Nop(),
					follower.WithDiscovery(follower.NewDiscovery("relay", choose)))
				f.Start()
				defer f.Close()
				c.Assert(<-published, qt.Equals, test.want)
				c.Assert(d.waited() <= test.within, qt.IsTrue, qt.Commentf("after %s", d.waited()))
				c.Assert(d.staleReads.Load() <= test.staleReads, qt.IsTrue, qt.Commentf("%d stale reads", d.staleReads.Load()))
				if test.want == "relay" {
					c.Assert(d.storeReads.Load(), qt.Equals, int64(0))
				}
			})
		})
	}
}
