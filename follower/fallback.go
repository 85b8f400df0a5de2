package follower

import (
	"context"
	"time"

	"burdocklane/sleeper"
	"burdocklane/storer"

	"github.com/go-faster/errors"
)

const (
	// maxFallbackTries is how many peers are tried before the next try of the store.
	maxFallbackTries = 3
	// storeProbeInterval is how often an instance that reads from a fallback checks
	// whether the store serves it again.
	storeProbeInterval = time.Second
)

// errStoreServes is the cause with which a watch of a fallback is ended.
var errStoreServes = errors.New("the store serves this instance again")

// followFallback reads from a peer of any zone while the store does not serve this
// instance, and reports whether one served. It does so only if peers know a later
// revision than this instance: if the store serves nobody, peers have nothing new.
func (f *Follower) followFallback(ctx context.Context) bool {
	for range maxFallbackTries {
		if !f.peerRevision.Load().After(f.knownRevision.Load()) {
			return false
		}
		peer, ok := f.relays.nextFallback()
		if !ok {
			return false
		}
		lastContact := f.lastContact.Load()
		err := f.followUntilStoreServes(ctx, peer)
		if err == nil {
			return true
		}
		f.log.Info().Err(err).Str("source", storer.Name(peer)).Msg("fallback relay failed")
		f.relays.reportFailure()
		if f.lastContact.Load() != lastContact {
			return true
		}
	}
	return false
}

// followUntilStoreServes follows a peer. It returns nil when the store serves this
// instance again or the context ends.
func (f *Follower) followUntilStoreServes(ctx context.Context, peer storer.Store) error {
	fallbackCtx, end := context.WithCancelCause(ctx)
	defer end(nil)
	f.done.Go(func() { f.endWhenStoreServes(fallbackCtx, end) })
	for fallbackCtx.Err() == nil {
		err := f.follow(fallbackCtx, peer, true)
		var compacted *storer.CompactedError
		if err != nil && fallbackCtx.Err() == nil && !errors.As(err, &compacted) {
			return err
		}
	}
	return nil
}

// endWhenStoreServes ends the watch of a fallback once the store can be read.
func (f *Follower) endWhenStoreServes(ctx context.Context, end context.CancelCauseFunc) {
	for sleeper.Sleep(ctx, storeProbeInterval) {
		if _, err := storer.Range(ctx, f.store, f.prefix); err == nil {
			end(errStoreServes)
			return
		}
	}
}
