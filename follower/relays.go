package follower

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"burdocklane/sleeper"
	"burdocklane/storer"

	"github.com/go-faster/errors"
)

const (
	// relayCheckInterval is how often an instance that watches the store itself
	// checks whether a relay is available.
	relayCheckInterval = time.Second
	// relayWaitTimeout is how long an instance that has read the keys waits for a
	// relay before it watches the store itself, and relayWaitInterval how often it
	// checks meanwhile.
	relayWaitTimeout  = 400 * time.Millisecond
	relayWaitInterval = 50 * time.Millisecond
)

// Relays gives access to the peers that serve a copy of the store's keys.
type Relays struct {
	enabled        func() bool
	available      func() []storer.Store
	fallbacks      func() []storer.Store
	reportFailure  func(storer.Store)
	catchUpTimeout time.Duration
}

// NewRelays returns relays: enabled reports whether this instance is to read from
// relays, available returns the live ones in order of preference, and reportFailure is
// called with one that did not serve. A watch, of a relay or of the store, may take
// catchUpTimeout to deliver a revision that other peers know.
func NewRelays(enabled func() bool, available func() []storer.Store, reportFailure func(storer.Store), catchUpTimeout time.Duration) Relays {
	return Relays{enabled: enabled, available: available, fallbacks: noRelays, reportFailure: reportFailure, catchUpTimeout: catchUpTimeout}
}

// WithFallbacks returns a copy of r with a function that returns the peers to read from
// while the store does not serve this instance.
func (r Relays) WithFallbacks(fallbacks func() []storer.Store) Relays {
	r.fallbacks = fallbacks
	return r
}

func noRelays() []storer.Store { return nil }

// NoRelays returns relays that are never available.
func NoRelays() Relays {
	return Relays{
		enabled:       func() bool { return false },
		available:     noRelays,
		fallbacks:     noRelays,
		reportFailure: func(storer.Store) {},
	}
}

// activeWatch describes the watch in progress.
type activeWatch struct {
	relayed        bool
	catchUpTimeout time.Duration
	end            context.CancelCauseFunc
}

func (f *Follower) newActiveWatch(relayed bool, end context.CancelCauseFunc) *activeWatch {
	return &activeWatch{relayed: relayed, catchUpTimeout: f.catchUpTimeout(), end: end}
}

func (f *Follower) catchUpTimeout() time.Duration {
	return cmp.Or(f.relays.catchUpTimeout, defaultCatchUpTimeout)
}

// StalledWatchError reports a watch that does not deliver a revision that peers
// know.
type StalledWatchError struct {
	have  storer.Revision
	known storer.Revision
}

// Error implements error.
func (e *StalledWatchError) Error() string {
	return fmt.Sprintf("watch is stalled at revision %s; peers know revision %s", e.have, e.known)
}

// StaleReadError reports a read at an older revision than the replica's.
type StaleReadError struct {
	have storer.Revision
	read storer.Revision
}

// Error implements error.
func (e *StaleReadError) Error() string {
	return fmt.Sprintf("keys were read at revision %s, older than the known revision %s", e.read, e.have)
}

// availableRelays returns the relays to read from, if this instance uses relays.
func (f *Follower) availableRelays() []storer.Store {
	if !f.relays.enabled() {
		return nil
	}
	return f.relays.available()
}

// waitForRelay waits up to relayWaitTimeout for a relay, and reports whether one is
// available.
func (f *Follower) waitForRelay(ctx context.Context) bool {
	for range relayWaitTimeout / relayWaitInterval {
		if !f.relays.enabled() {
			return false
		}
		if len(f.relays.available()) > 0 {
			return true
		}
		if !sleeper.Sleep(ctx, relayWaitInterval) {
			return false
		}
	}
	return false
}

// endWhenRelayAvailable ends a watch of the store itself once a relay is available.
func (f *Follower) endWhenRelayAvailable(ctx context.Context, end context.CancelCauseFunc) {
	ticker := time.NewTicker(relayCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if len(f.availableRelays()) > 0 {
				end(errRelayAvailable)
				return
			}
		}
	}
}

// errRelayAvailable is the cause with which a watch of the store itself is ended.
var errRelayAvailable = errors.New("a relay is available")
