package follower

import (
	"context"
	"fmt"
	"time"

	"burdocklane/hedger"
	"burdocklane/recoverer"
	"burdocklane/storer"

	"github.com/go-faster/errors"
)

const (
	// maxHedgeDelay is how long a source may take to begin its answer before the next one
	// is read as well. It is longer than a relay that is about to take over lets its
	// readers wait.
	maxHedgeDelay = 350 * time.Millisecond
	minHedgeDelay = 50 * time.Millisecond
	// catchUpTimeouts is within how many catch-up timeouts after a peer has named a later
	// revision all sources are asked for it: the rest of the time for a change is left to
	// their answers.
	catchUpTimeouts = 2
	// maxFallbacks is how many peers of other zones are read.
	maxFallbacks = 3
)

// source is where the keys are read: a relaySource, the storeSource or a fallbackSource.
type source interface{ source() }

// relaySource is a peer of this zone that follows the store.
type relaySource struct{ store storer.Store }

// storeSource is the store itself.
type storeSource struct{ store storer.Store }

// fallbackSource is a peer of any zone, for an instance that the store refuses.
type fallbackSource struct{ store storer.Store }

func (relaySource) source()    {}
func (storeSource) source()    {}
func (fallbackSource) source() {}

func storeOf(s source) storer.Store {
	switch s := s.(type) {
	case relaySource:
		return s.store
	case storeSource:
		return s.store
	case fallbackSource:
		return s.store
	}
	return nil
}

// sources returns where the keys can be read, in order of preference. Peers of other zones
// are among them only if peers know a later revision than this instance: if the store
// serves nobody, they have nothing new. For the same reason an instance whose relays have
// lost the store reads it less often then.
func (f *Follower) sources() []source {
	var sources []source
	for _, relay := range f.availableRelays() {
		sources = append(sources, relaySource{store: relay})
	}
	target, _ := f.catchUp.pending()
	if target.IsZero() && f.relays.enabled() && f.deferral.skipsStore(f.now()) {
		return sources
	}
	sources = append(sources, storeSource{store: f.store})
	if target.IsZero() {
		return sources
	}
	fallbacks := f.relays.fallbacks()
	for _, peer := range fallbacks[:min(len(fallbacks), maxFallbacks)] {
		sources = append(sources, fallbackSource{store: peer})
	}
	return sources
}

// keysRead is a read of all keys.
type keysRead struct {
	result    storer.RangeResult
	startedAt time.Duration
	took      time.Duration
}

// BehindError reports a relay or fallback whose keys lack a revision that peers know.
type BehindError struct {
	known storer.Revision
	read  storer.Revision
}

// Error implements error.
func (e *BehindError) Error() string {
	return fmt.Sprintf("keys were read at revision %s; peers know revision %s", e.read, e.known)
}

// read reads the keys from one source. The error is a *StaleReadError if they are older
// than the replica's.
func (f *Follower) read(ctx context.Context, store storer.Store) (read keysRead, err error) {
	read.startedAt = f.now()
	panicked := recoverer.Do(f.log, "read of the keys", func() { read.result, err = storer.Range(ctx, store, f.prefix) })
	read.took = f.now() - read.startedAt
	if have := f.knownRevision.Load(); err == nil && read.result.Revision().Before(have) {
		err = &StaleReadError{have: have, read: read.result.Revision()}
	}
	if panicked != nil {
		err = panicked
	}
	f.catchUp.record(storer.Name(store), read.took, readOutcome(err))
	return read, err
}

// UnreadError reports that no source has delivered the keys. What the store's failure was
// has been recorded.
type UnreadError struct{ store error }

// Error implements error.
func (e *UnreadError) Error() string { return fmt.Sprintf("no source serves; store: %v", e.store) }

// Unwrap returns why the read of the store failed.
func (e *UnreadError) Unwrap() error { return e.store }

// readFirst reads the keys from the first source that delivers them at the revision that
// peers know. The sources are read one after another, and at the same time if one does not
// answer soon. If all are behind, the latest of them counts. The error is an *UnreadError
// if none delivers the keys.
func (f *Follower) readFirst(ctx context.Context) (source, keysRead, error) {
	sources := f.sources()
	reads := make([]keysRead, len(sources))
	tries := make([]hedger.Try, 0, len(sources))
	isRelay := f.direct.Load()
	for n, s := range sources {
		tries = append(tries, func(ctx context.Context) (err error) {
			reads[n], err = f.readSource(ctx, s)
			if _, ok := s.(storeSource); ok && isRelay && err != nil && ctx.Err() == nil {
				f.recordFailure(err) // Others read from this instance: they must not wait for its other sources.
			}
			return err
		})
	}
	winner, errs := hedger.Do(ctx, f.hedgeDelay(len(sources)), tries...)
	if ctx.Err() != nil {
		return nil, keysRead{}, ctx.Err()
	}
	storeErr := f.reportFailures(sources, errs)
	if winner == hedger.NoWinner {
		winner = latestBehind(reads, errs)
	}
	usesStore := winner != hedger.NoWinner && isStoreOrRelay(sources[winner])
	if !usesStore && !isRelay && storeErr != nil {
		f.recordFailure(storeErr)
	}
	if winner == hedger.NoWinner {
		return nil, keysRead{}, &UnreadError{store: storeErr}
	}
	return sources[winner], reads[winner], nil
}

// readSource reads the keys from a source. The error is a *BehindError if they lack a
// revision that peers know, unless the source is the store itself, which has the latest.
func (f *Follower) readSource(ctx context.Context, s source) (keysRead, error) {
	known, _ := f.catchUp.pending()
	read, err := f.read(ctx, storeOf(s))
	if _, ok := s.(storeSource); ok || err != nil || !read.result.Revision().Before(known) {
		return read, err
	}
	return read, &BehindError{known: known, read: read.result.Revision()}
}

// latestBehind returns which of the reads that are behind is the latest, or NoWinner.
func latestBehind(reads []keysRead, errs []error) int {
	latest := hedger.NoWinner
	for n, err := range errs {
		var behind *BehindError
		if errors.As(err, &behind) && (latest == hedger.NoWinner || reads[n].result.Revision().After(reads[latest].result.Revision())) {
			latest = n
		}
	}
	return latest
}

func isStoreOrRelay(s source) bool {
	_, ok := s.(fallbackSource)
	return !ok
}

// hedgeDelay returns how long a source may take to begin its answer. While peers know a
// later revision, the sources share what is left of the time in which all are asked.
func (f *Follower) hedgeDelay(sources int) time.Duration {
	target, since := f.catchUp.pending()
	if target.IsZero() {
		return maxHedgeDelay
	}
	left := since + catchUpTimeouts*f.catchUpTimeout() - f.now()
	return min(max(left/time.Duration(sources), minHedgeDelay), maxHedgeDelay)
}

// reportFailures reports the sources that failed, and returns the store's error.
func (f *Follower) reportFailures(sources []source, errs []error) (storeErr error) {
	for n, err := range errs {
		if err == nil {
			continue
		}
		f.deferral.observe(sources[n], err, f.now())
		if _, ok := sources[n].(storeSource); ok {
			storeErr = err
			continue
		}
		f.reportFailure(sources[n], err)
	}
	return storeErr
}

// reportFailure reports a relay or fallback that failed, unless it has only compacted its
// history. A fallback that is behind may have caught up by the next read.
func (f *Follower) reportFailure(s source, err error) {
	var compacted *storer.CompactedError
	var behind *BehindError
	if err == nil || errors.As(err, &compacted) {
		return
	}
	switch s := s.(type) {
	case relaySource:
		f.log.Info().Err(err).Str("source", storer.Name(s.store)).Msg("relay failed; trying the next one or the store")
		f.relays.reportFailure(s.store)
	case fallbackSource:
		if errors.As(err, &behind) {
			return
		}
		f.log.Info().Err(err).Str("source", storer.Name(s.store)).Msg("fallback relay failed")
		f.relays.reportFailure(s.store)
	case storeSource:
	}
}
