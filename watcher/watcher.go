// Package watcher watches the store for configurations, takes in those that
// peers propagate, and passes them to the publisher.
package watcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/assembler"
	"burdocklane/descriptor"
	"burdocklane/publisher"
	"burdocklane/sleeper"
	"burdocklane/storer"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

const (
	baseBackoff = 100 * time.Millisecond
	maxBackoff  = 5 * time.Second
	// resyncInterval is how often the configuration is read again, so that a watch
	// that has failed silently is replaced.
	resyncInterval = time.Minute
	// sourceStore is the source that is logged for configurations from the store.
	sourceStore = "store"
)

// Watcher keeps the published configuration in sync with the store.
type Watcher struct {
	store       storer.Store
	assembler   *assembler.Assembler
	publisher   *publisher.Publisher
	log         zerolog.Logger
	lastContact atomic.Int64
	cancel      context.CancelFunc
	done        sync.WaitGroup
}

// New returns a Watcher and starts it.
func New(store storer.Store, a *assembler.Assembler, p *publisher.Publisher, log zerolog.Logger) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{store: store, assembler: a, publisher: p, log: log, cancel: cancel}
	w.done.Go(func() { w.run(ctx) })
	return w
}

// Close stops the watch and waits for it to end.
func (w *Watcher) Close() {
	w.cancel()
	w.done.Wait()
}

// LastContact returns the time of the last response from the store, or the zero
// time.
func (w *Watcher) LastContact() time.Time {
	at := w.lastContact.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// run synchronises with the store until ctx is done. After a failure it retries
// with jittered exponential backoff.
func (w *Watcher) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		started := time.Now()
		err := w.syncAndWatch(ctx)
		if time.Since(started) > maxBackoff {
			failures = 0
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures++
			w.log.Warn().Err(err).Int("failures", failures).Msg("store is not reachable")
		}
		sleeper.Sleep(ctx, sleeper.Backoff(baseBackoff, maxBackoff, failures))
	}
}

// syncAndWatch reads the configuration and watches it until the watch fails or
// the next resynchronisation is due. It reads the whole configuration only if
// the deployment key has changed.
func (w *Watcher) syncAndWatch(ctx context.Context) error {
	keys := w.assembler.Keys()
	page, err := storer.Range(ctx, w.store, keys.DeploymentKey())
	if err != nil {
		return err
	}
	if !w.isActive(page) {
		if page, err = storer.Range(ctx, w.store, keys.ConfigPrefix()); err != nil {
			return err
		}
		w.Update(page.Pairs(), sourceStore)
	}
	w.recordContact()
	ctx, cancel := context.WithTimeout(ctx, resyncInterval+rand.N(resyncInterval/4))
	defer cancel()
	err = storer.Watch(ctx, w.store, keys.ConfigPrefix(), page.Revision(), w.handleBatch)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// isActive reports whether the deployment key in page is at the revision of the
// published configuration.
func (w *Watcher) isActive(page storer.RangeResult) bool {
	revision := w.publisher.Current().Deployment().Revision()
	for _, pair := range page.Pairs() {
		return assembler.ConfigurationRevision(pair.Revision()) == revision
	}
	return false
}

func (w *Watcher) recordContact() { w.lastContact.Store(time.Now().UnixNano()) }

func (w *Watcher) handleBatch(batch storer.Batch) {
	w.recordContact()
	pairs := make([]storer.Pair, 0, len(batch.Events()))
	for _, event := range batch.Events() {
		if !event.Deleted() {
			pairs = append(pairs, event.Pair())
		}
	}
	w.Update(pairs, sourceStore)
}

// Update merges key-value pairs from the store or a peer, and publishes the
// resulting configuration if it is newer. The source is logged.
func (w *Watcher) Update(pairs []storer.Pair, source string) {
	deployment, err := w.assembler.Merge(pairs)
	var incomplete *assembler.IncompleteError
	if errors.As(err, &incomplete) {
		w.log.Debug().Err(err).Msg("configuration is incomplete")
		return
	}
	if err != nil {
		w.log.Error().Err(err).Str("source", source).Msg("configuration is invalid; keeping the active one")
		return
	}
	w.publish(deployment, source)
}

func (w *Watcher) publish(d descriptor.Deployment, source string) {
	err := w.publisher.PublishDeployment(d, source)
	var notNewer *publisher.RevisionError
	if errors.As(err, &notNewer) {
		if notNewer.Rejected() < notNewer.Active() {
			w.log.Warn().Err(err).Str("source", source).Msg("an older configuration was ignored")
		}
		return
	}
	w.log.Info().Int64("revision", int64(d.Revision())).Str("source", source).
		Str("author", d.Change().Author()).Str("change-id", d.Change().ID()).
		Msg("configuration is in force")
}
