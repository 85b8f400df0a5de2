package follower

import (
	"context"
	"time"

	"burdocklane/sleeper"
	"burdocklane/storer"

	"github.com/go-faster/errors"
)

const (
	// discoveryTimeout is how long an instance that has just started looks for a relay
	// before it reads from the store itself.
	discoveryTimeout = 2500 * time.Millisecond
	// discoveryInterval is the longest pause between two stale reads, and relayRetryInterval
	// the one between two tries of relays that are listed and do not serve.
	discoveryInterval  = 250 * time.Millisecond
	relayRetryInterval = 100 * time.Millisecond
)

// FirstSource is where an instance that has just started reads the keys: FromRelays,
// FromStore or NotYet.
type FirstSource interface{ firstSource() }

// FromRelays names the relays to try, in order. Whether they are live is not known.
type FromRelays struct{ relays []storer.Store }

// FromStore says that this instance is to read from the store itself.
type FromStore struct{}

// NotYet says that no instance is listed that serves, and that one may be soon. It names
// the time after which to look again.
type NotYet struct{ wait time.Duration }

func (FromRelays) firstSource() {}
func (FromStore) firstSource()  {}
func (NotYet) firstSource()     {}

// NewFromRelays returns the decision to try the relays in the given order.
func NewFromRelays(relays ...storer.Store) FromRelays { return FromRelays{relays: relays} }

// NewNotYet returns the decision to look again after the given time, or earlier.
func NewNotYet(wait time.Duration) NotYet { return NotYet{wait: wait} }

// Discovery finds the relay that an instance reads from at its start. Without it, all
// instances that start together would read all keys from the store.
type Discovery struct {
	prefix string
	choose func(listed []storer.Pair, waited time.Duration) FirstSource
}

// NewDiscovery returns a discovery by the keys with a prefix, which name the possible
// relays: choose gets a read of them that may be stale, and the time since the start.
func NewDiscovery(prefix string, choose func(listed []storer.Pair, waited time.Duration) FirstSource) Discovery {
	return Discovery{prefix: prefix, choose: choose}
}

// WithDiscovery sets how the first source is found. The default is to read from the
// store.
func WithDiscovery(d Discovery) Option { return func(f *Follower) { f.discovery = d } }

// discover follows the first relay that serves. It returns once its watch breaks, or
// when the keys are to be read from the store: a stale read only tells whom to ask, and
// what is in force is known from a relay that follows the store, or from the store.
func (f *Follower) discover(ctx context.Context) {
	if f.discovery.choose == nil || !storer.CanRangeStale(f.store) {
		return
	}
	for f.now() < discoveryTimeout {
		wait := discoveryInterval
		listed, err := storer.RangeStale(ctx, f.store, f.discovery.prefix)
		if err != nil {
			f.log.Info().Err(err).Msg("instances could not be read; reading all keys from the store")
			return
		}
		switch source := f.discovery.choose(listed.Pairs(), f.now()).(type) {
		case FromRelays:
			if f.followFirstRelay(ctx, source.relays) {
				return
			}
			continue
		case FromStore:
			return
		case NotYet:
			wait = min(source.wait, discoveryInterval)
		}
		if !sleeper.Sleep(ctx, wait) {
			return
		}
	}
}

// followFirstRelay follows the first of the relays that serves. It reports whether the
// search is over: one served, the context has ended, or all of them have lost the store.
// They may be starting too, so that each is tried repeatedly, but only for
// discoveryInterval: the list may name another relay by then.
func (f *Follower) followFirstRelay(ctx context.Context, relays []storer.Store) bool {
	for until := f.now() + discoveryInterval; f.now() < until; {
		lost := 0
		for _, relay := range relays {
			err := f.followRelay(ctx, relay)
			if f.lastContact.Load() != 0 || ctx.Err() != nil {
				return true
			}
			if hasLostStore(err) {
				lost++
			}
			f.log.Debug().Err(err).Str("source", storer.Name(relay)).Msg("relay does not serve yet")
		}
		if lost == len(relays) || !sleeper.Sleep(ctx, relayRetryInterval) {
			return true
		}
	}
	return false
}

// hasLostStore reports whether a relay has refused a read since the store does not serve
// it: unlike one that is starting, it will not serve soon.
func hasLostStore(err error) bool {
	var lost *storer.RelayLostStoreError
	return errors.As(err, &lost)
}

// followRelay reads the keys from a relay and watches them until the watch breaks.
func (f *Follower) followRelay(ctx context.Context, relay storer.Store) error {
	read, err := f.read(ctx, relay)
	if err != nil {
		return err
	}
	f.adopt(relay, read, true)
	return f.watchKeys(ctx, relay, read.result.Revision(), true)
}
