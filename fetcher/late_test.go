package fetcher_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"burdocklane/descriptor"
	"burdocklane/fetcher"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

const (
	// changeTime is the users' bound on the time until a change is in force.
	changeTime = 3 * time.Second
	// arrivalTime is how long a later version may take to arrive without a fetch.
	arrivalTime = 900 * time.Millisecond
	// fetchTimeout is how long a fetch waits for a peer.
	fetchTimeout = 500 * time.Millisecond
)

// Guards against a sum of waits for one peer after another, by which a configuration
// comes into force too late although other peers have it.
func TestConfigurationIsFetchedInTimeWhicheverPeersFail(t *testing.T) {
	tests := []struct {
		name   string
		silent []string // The peers that do not respond.
	}{
		{"all serve", nil},
		{"the first one is silent", []string{"a"}},
		{"most are silent", []string{"a", "b", "c", "d", "e"}},
	}
	peerNames := []string{"a", "b", "c", "d", "e", "f"}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var inForce atomic.Int64
				inForce.Store(1)
				reached := make(chan time.Time, 16)
				hooks := fetcher.NewHooks(
					func() descriptor.Revision { return descriptor.Revision(inForce.Load()) },
					func(ctx context.Context, address string) ([]byte, error) {
						return fetchSlowly(ctx, slices.Contains(test.silent, strings.TrimSuffix(address, ":1")))
					},
					func([]byte, string) (descriptor.Revision, error) {
						inForce.Store(2)
						reached <- time.Now()
						return 2, nil
					})
				tested := fetcher.New(hooks, arrivalTime, zerolog.Nop())
				named := time.Now()
				var gossip sync.WaitGroup
				gossip.Go(func() {
					for range 2 * changeTime / (100 * time.Millisecond) { // The silent ones are heard first.
						for _, name := range peerNames {
							tested.Observe(instance(name), 2)
						}
						time.Sleep(100 * time.Millisecond)
					}
				})
				select {
				case at := <-reached:
					c.Check(at.Sub(named) <= changeTime, qt.IsTrue, qt.Commentf("in force after %s", at.Sub(named)))
				case <-time.After(2 * changeTime):
					c.Error("not in force")
				}
				gossip.Wait()
				tested.Close()
			})
		})
	}
}

// fetchSlowly returns a configuration after a while, or an error if the peer is silent.
func fetchSlowly(ctx context.Context, silent bool) ([]byte, error) {
	if !silent {
		time.Sleep(200 * time.Millisecond)
		return []byte("2"), nil
	}
	select {
	case <-time.After(fetchTimeout):
		return nil, errors.New("timeout")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against an unexpected error in one peer's configuration that ends the process.
func TestPanicOfAFetchIsAFailure(t *testing.T) {
	c := qt.New(t)
	var f fleet
	f.inForce.Store(1)
	hooks := fetcher.NewHooks(
		func() descriptor.Revision { return descriptor.Revision(f.inForce.Load()) },
		func(_ context.Context, address string) ([]byte, error) {
			return f.fetch(peers{"a:1": 3, "b:1": 2}, address)
		},
		func(value []byte, source string) (descriptor.Revision, error) {
			if source == "peer a:1" {
				panic("odd configuration")
			}
			return f.apply(value, source)
		})
	tested := fetcher.New(hooks, 0, zerolog.Nop())
	tested.Observe(instance("a"), 2)
	tested.Observe(instance("b"), 2)
	for deadline := time.Now().Add(awaitTime); f.inForce.Load() < 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	tested.Close()
	c.Assert(f.inForce.Load(), qt.Equals, int64(2))
	c.Assert(f.fetches(), qt.DeepEquals, []string{"a:1", "b:1"})
}
