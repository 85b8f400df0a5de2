package relayer

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"burdocklane/platform/imitator"
	"burdocklane/storer"
	"burdocklane/throttler"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

const (
	// changeTime is the users' bound on the time until a change is in force.
	changeTime = 3 * time.Second
	// manyRoutes is a configuration that has grown by 1,400 routes three times.
	manyRoutes = 4400
	// zoneReaders is how many instances read from the relay of a zone.
	zoneReaders = 14
	// linkBytes is what the smallest link, of 10 Mbit/s, passes on in a second.
	linkBytes = 1_250_000
	// manyEntries is the number of other keys.
	manyEntries = 430
)

// Guards against a large configuration that no reader of a zone gets from a relay with a
// thin link: the transfers share the link, and all of them outlast a fixed timeout.
func TestLargeConfigurationReachesAllReaders(t *testing.T) {
	value := []byte(imitator.NewConfiguration(2, manyRoutes))
	all := storer.NewRangeResult(append(entries(), storer.NewPair("op/config", value, revision(3))), revision(3))
	before := storer.NewRangeResult(pairs(1, 2), revision(2))
	tests := []struct {
		name  string
		first storer.RangeResult // What the relay has when the readers come.
		read  func(ctx context.Context, client *http.Client, address string) error
	}{
		{"all keys", all, func(ctx context.Context, client *http.Client, address string) error {
			_, err := storer.Range(ctx, newSource(client, address, known(2), func(string) {}), "")
			return err
		}},
		{"changes", before, readChange},
		{"a peer's copy of the configuration", all, func(ctx context.Context, client *http.Client, address string) error {
			got, err := (&ConfigurationClient{client: client}).Fetch(ctx, address)
			if err == nil && len(got) != len(value) {
				return errors.Errorf("%d bytes of %d", len(got), len(value))
			}
			return err
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			relay, err := New("127.0.0.1:0", func() bool { return true }, zerolog.Nop())
			c.Assert(err, qt.IsNil)
			c.Cleanup(relay.Close)
			relay.Publish(test.first)
			relay.PublishConfiguration(1, value)
			link, err := throttler.New(relay.Address(), linkBytes/zoneReaders)
			c.Assert(err, qt.IsNil)
			c.Cleanup(link.Close)
			ctx, cancel := context.WithTimeout(c.Context(), changeTime)
			defer cancel()
			var reading sync.WaitGroup
			for range zoneReaders {
				reading.Go(func() {
					client := newClient()
					defer client.CloseIdleConnections()
					c.Check(test.read(ctx, client, link.Address()), qt.IsNil)
				})
			}
			time.Sleep(changeTime / 15) // All readers wait for a change.
			relay.Publish(all)
			reading.Wait()
		})
	}
}

// readChange reads all keys and waits for the first change.
func readChange(ctx context.Context, client *http.Client, address string) error {
	store := newSource(client, address, known(2), func(string) {})
	result, err := storer.Range(ctx, store, "")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	got := false
	err = storer.Watch(ctx, store, "", result.Revision(), func(b storer.Batch) {
		if got = len(b.Events()) > 0; got {
			cancel()
		}
	})
	if got {
		return nil
	}
	return err
}

func known(number int64) func() storer.Revision {
	return func() storer.Revision { return revision(number) }
}

// entries returns the keys other than the configuration.
func entries() []storer.Pair {
	numbers := make([]int64, manyEntries)
	for n := range numbers {
		numbers[n] = 1
	}
	return pairs(numbers...)
}
