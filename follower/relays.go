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
	next           func() (storer.Store, bool)
	nextFallback   func() (storer.Store, bool)
	reportFailure  func()
	catchUpTimeout time.Duration
}

// NewRelays returns relays: enabled reports whether this instance is to read from
// relays, next returns a live one, and reportFailure is called when the last one
// did not serve. A watch, of a relay or of the store, may take catchUpTimeout to
// deliver a revision that other peers know.
func NewRelays(enabled func() bool, next func() (storer.Store, bool), reportFailure func(), catchUpTimeout time.Duration) Relays {
	return Relays{enabled: enabled, next: next, nextFallback: noRelay, reportFailure: reportFailure, catchUpTimeout: catchUpTimeout}
}

// WithFallback returns a copy of r with a function that returns a peer to read from
// while the store does not serve this instance.
func (r Relays) WithFallback(next func() (storer.Store, bool)) Relays {
	r.nextFallback = next
	return r
}

func noRelay() (storer.Store, bool) { return nil, false }

// NoRelays returns relays that are never available.
func NoRelays() Relays {
	return Relays{
		enabled:       func() bool { return false },
		next:          noRelay,
		nextFallback:  noRelay,
		reportFailure: func() {},
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

// availableRelay returns the relay to read from, if this instance uses relays and
// one is available.
func (f *Follower) availableRelay() (storer.Store, bool) {
	if !f.relays.enabled() {
		return nil, false
	}
	return f.relays.next()
}

// followRelays reads from one relay after another until none is available.
func (f *Follower) followRelays(ctx context.Context) {
	for ctx.Err() == nil {
		relay, ok := f.availableRelay()
		if !ok {
			return
		}
		err := f.follow(ctx, relay, true)
		var compacted *storer.CompactedError
		if err == nil || ctx.Err() != nil || errors.As(err, &compacted) {
			continue
		}
		f.log.Info().Err(err).Msg("relay failed; trying the next one or the store")
		f.relays.reportFailure()
	}
}

// waitForRelay waits up to relayWaitTimeout for a relay, and reports whether one is
// available.
func (f *Follower) waitForRelay(ctx context.Context) bool {
	for range relayWaitTimeout / relayWaitInterval {
		if !f.relays.enabled() {
			return false
		}
		if _, ok := f.relays.next(); ok {
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
			if _, ok := f.availableRelay(); ok {
				end(errRelayAvailable)
				return
			}
		}
	}
}

// errRelayAvailable is the cause with which a watch of the store itself is ended.
var errRelayAvailable = errors.New("a relay is available")
