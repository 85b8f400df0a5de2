package follower

import (
	"context"
	"fmt"
	"time"

	"burdocklane/sleeper"
	"burdocklane/storer"

	"github.com/go-faster/errors"
)

const (
	// relayLook is how often an instance that watches the store itself looks
	// whether a relay is there.
	relayLook = time.Second
	// relayWait is how long an instance that has read the keys waits for a relay
	// before it watches the store itself, and relayWaitStep how often it looks.
	relayWait     = 400 * time.Millisecond
	relayWaitStep = 50 * time.Millisecond
)

// Relays are peers that serve a copy of the store's keys.
type Relays struct {
	wanted   func() bool
	next     func() (storer.Store, bool)
	failed   func()
	patience time.Duration
}

// NewRelays returns relays: wanted tells whether this instance is to read from
// them, next returns one that lives, and failed is told that the last one did not
// serve. A relay, or the store's watch, has the given time to show a change that
// other peers know.
func NewRelays(wanted func() bool, next func() (storer.Store, bool), failed func(), patience time.Duration) Relays {
	return Relays{wanted: wanted, next: next, failed: failed, patience: patience}
}

// NoRelays returns no relays.
func NoRelays() Relays {
	return Relays{
		wanted: func() bool { return false },
		next:   func() (storer.Store, bool) { return nil, false },
		failed: func() {},
	}
}

// watch is a watch that is under way.
type watch struct {
	relayed  bool
	patience time.Duration
	end      context.CancelCauseFunc
}

func (f *Follower) newWatch(relayed bool, end context.CancelCauseFunc) *watch {
	patience := f.relays.patience
	if patience == 0 {
		patience = newsPatience
	}
	return &watch{relayed: relayed, patience: patience, end: end}
}

// SilentError reports a watch that does not show a change which peers know.
type SilentError struct {
	have  int64
	known int64
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("watch is silent at revision %d, peers know %d", e.have, e.known)
}

// StaleError reports keys that are older than those that are known.
type StaleError struct {
	have int64
	read int64
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("keys of revision %d are older than those of %d", e.read, e.have)
}

// usableRelay returns the relay to read from now, if there is one.
func (f *Follower) usableRelay() (storer.Store, bool) {
	if !f.relays.wanted() {
		return nil, false
	}
	return f.relays.next()
}

// followRelays follows one relay after another until none is left to read from.
func (f *Follower) followRelays(ctx context.Context) {
	for ctx.Err() == nil {
		relay, ok := f.usableRelay()
		if !ok {
			return
		}
		err := f.follow(ctx, relay, true)
		var compacted *storer.CompactedError
		if err == nil || ctx.Err() != nil || errors.As(err, &compacted) {
			continue
		}
		f.log.Info().Err(err).Msg("relay of the store's keys does not serve")
		f.relays.failed()
	}
}

// findRelay waits a little for a relay, and tells whether there is one.
func (f *Follower) findRelay(ctx context.Context) bool {
	for range relayWait / relayWaitStep {
		if !f.relays.wanted() {
			return false
		}
		if _, ok := f.relays.next(); ok {
			return true
		}
		if !sleeper.Sleep(ctx, relayWaitStep) {
			return false
		}
	}
	return false
}

// awaitRelay ends a watch of the store itself once a relay can be used.
func (f *Follower) awaitRelay(ctx context.Context, end context.CancelCauseFunc) {
	ticker := time.NewTicker(relayLook)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if _, ok := f.usableRelay(); ok {
				end(errRelayFound)
				return
			}
		}
	}
}

// errRelayFound ends a watch of the store itself.
var errRelayFound = errors.New("a relay can be used")
