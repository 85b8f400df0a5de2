package follower

import (
	"context"
	"fmt"
	"time"

	"burdocklane/storer"

	"github.com/go-faster/errors"
)

const (
	// relayRest is how long no relay is asked after one has failed.
	relayRest = 2 * time.Second
	// relayLook is how often an instance that reads from the store itself looks
	// whether a relay is there.
	relayLook = 500 * time.Millisecond
)

// Relays are peers that serve a copy of the store's keys.
type Relays struct {
	wanted   func() bool
	next     func() (storer.Store, bool)
	patience time.Duration
}

// NewRelays returns relays: wanted tells whether this instance is to read from
// them, and next returns one that lives. A relay has the given time to show a
// change that other peers know.
func NewRelays(wanted func() bool, next func() (storer.Store, bool), patience time.Duration) Relays {
	return Relays{wanted: wanted, next: next, patience: patience}
}

// NoRelays returns no relays.
func NoRelays() Relays {
	return Relays{
		wanted: func() bool { return false },
		next:   func() (storer.Store, bool) { return nil, false },
	}
}

// watch is a watch that is under way.
type watch struct {
	relayed  bool
	patience time.Duration
	end      context.CancelCauseFunc
}

func (f *Follower) newWatch(relayed bool, end context.CancelCauseFunc) *watch {
	if relayed {
		return &watch{relayed: true, patience: f.relays.patience, end: end}
	}
	return &watch{patience: newsPatience, end: end}
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
	if int64(f.now()) < f.relayAgain.Load() || !f.relays.wanted() {
		return nil, false
	}
	return f.relays.next()
}

// leaveRelay turns to the store itself for a while.
func (f *Follower) leaveRelay(err error) {
	f.relayAgain.Store(int64(f.now() + relayRest))
	f.log.Info().Err(err).Msg("relay of the store's keys does not serve; reading from the store")
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
