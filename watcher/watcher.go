// Package watcher learns of configurations from the store and of the fleet
// from the platform's list, and passes them on to the publisher.
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
	backoffBase = 100 * time.Millisecond
	backoffMost = 5 * time.Second
	// resyncEvery bounds how long a watch that has silently died goes unseen.
	resyncEvery = time.Minute
	// SourceStore names the store as the place a configuration was learnt from.
	SourceStore = "store"
)

// Watcher keeps the publisher at the store's configuration.
type Watcher struct {
	store     storer.Store
	assembler *assembler.Assembler
	publisher *publisher.Publisher
	log       zerolog.Logger
	contact   atomic.Int64
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

// New starts a Watcher.
func New(store storer.Store, a *assembler.Assembler, p *publisher.Publisher, log zerolog.Logger) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{store: store, assembler: a, publisher: p, log: log, cancel: cancel}
	w.done.Go(func() { w.run(ctx) })
	return w
}

// Close ends the watch and waits for it.
func (w *Watcher) Close() {
	w.cancel()
	w.done.Wait()
}

// Contact returns when the store last answered, or the zero time.
func (w *Watcher) Contact() time.Time {
	at := w.contact.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// run reads the keys and watches them from there on. Whenever that breaks, it
// starts again after a jittered exponential backoff.
func (w *Watcher) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		started := time.Now()
		err := w.follow(ctx)
		if time.Since(started) > backoffMost {
			failures = 0
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures++
			w.log.Warn().Err(err).Int("failures", failures).Msg("store is not reachable")
		}
		sleeper.Sleep(ctx, sleeper.Backoff(backoffBase, backoffMost, failures))
	}
}

// follow reads the keys and watches them until the watch breaks or it is time
// to look again. It reads the whole configuration only if the deployment key
// has changed.
func (w *Watcher) follow(ctx context.Context) error {
	keys := w.assembler.Keys()
	page, err := storer.Range(ctx, w.store, keys.Deployment())
	if err != nil {
		return err
	}
	if !w.inForce(page) {
		if page, err = storer.Range(ctx, w.store, keys.Config()); err != nil {
			return err
		}
		w.Learn(page.Pairs(), SourceStore)
	}
	w.touch()
	ctx, cancel := context.WithTimeout(ctx, resyncEvery+rand.N(resyncEvery/4))
	defer cancel()
	err = storer.Watch(ctx, w.store, keys.Config(), page.Revision()+1, w.receive)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

func (w *Watcher) inForce(page storer.Page) bool {
	revision := w.publisher.Current().Deployment().Revision()
	for _, pair := range page.Pairs() {
		return descriptor.Revision(pair.Revision()) == revision
	}
	return false
}

func (w *Watcher) touch() { w.contact.Store(time.Now().UnixNano()) }

func (w *Watcher) receive(b storer.Batch) {
	w.touch()
	pairs := make([]storer.Pair, 0, len(b.Events()))
	for _, event := range b.Events() {
		if !event.Deleted() {
			pairs = append(pairs, event.Pair())
		}
	}
	w.Learn(pairs, SourceStore)
}

// Learn merges pairs from the store or a peer, and puts the configuration that
// they make up in force if it is newer.
func (w *Watcher) Learn(pairs []storer.Pair, source string) {
	deployment, err := w.assembler.Merge(pairs)
	var incomplete *assembler.IncompleteError
	if errors.As(err, &incomplete) {
		w.log.Debug().Err(err).Msg("configuration is not complete")
		return
	}
	if err != nil {
		w.log.Error().Err(err).Str("source", source).Msg("configuration is not valid; the one in force stays")
		return
	}
	w.publish(deployment, source)
}

func (w *Watcher) publish(d descriptor.Deployment, source string) {
	err := w.publisher.PublishDeployment(d, source)
	var older *publisher.RevisionError
	if errors.As(err, &older) {
		if older.Got() < older.Have() {
			w.log.Warn().Err(err).Str("source", source).Msg("an older configuration was ignored")
		}
		return
	}
	w.log.Info().Int64("revision", int64(d.Revision())).Str("source", source).
		Str("author", d.Change().Author()).Str("change-id", d.Change().ID()).
		Msg("configuration is in force")
}
