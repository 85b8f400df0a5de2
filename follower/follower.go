// Package follower keeps a copy of a store's keys up to date: it reads them,
// watches them from there on, and starts again when the watch breaks.
package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/sleeper"
	"burdocklane/storer"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

const (
	backoffBase = 50 * time.Millisecond
	backoffMost = 600 * time.Millisecond
	// outageLeast is how long the store has to be out of reach for missing keys
	// to be given time to come back.
	outageLeast = 500 * time.Millisecond
	// returnGrace is how long after an outage a missing key may come back: its
	// writer may have been unable to renew its lease meanwhile.
	returnGrace = 2 * time.Second
	// newsPatience is how long a watch has to show what others know already.
	newsPatience = 1300 * time.Millisecond
	// wakeEvery is how often peers' words may end a wait.
	wakeEvery = 2 * time.Second
	// watchMost is how long keys are followed by watches alone.
	watchMost = time.Hour
)

// Follower follows the keys with a prefix.
type Follower struct {
	store   storer.Store
	prefix  string
	receive func([]storer.Pair)
	log     zerolog.Logger
	contact atomic.Int64
	reached atomic.Int64 // The store's revision up to which the copy is known.
	watch   atomic.Pointer[context.CancelFunc]
	wake    chan struct{} // Tells that a peer reaches the store.

	// The run goroutine alone uses what follows.
	copied  *Copy
	lostAt  time.Time
	wokenAt time.Time

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New starts a Follower that hands all keys over whenever any has changed.
func New(store storer.Store, prefix string, receive func([]storer.Pair), log zerolog.Logger) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{store: store, prefix: prefix, receive: receive, log: log, copied: NewCopy(), wake: make(chan struct{}, 1), cancel: cancel}
	f.done.Go(func() { f.run(ctx) })
	return f
}

// Close ends the watch and waits for it.
func (f *Follower) Close() {
	f.cancel()
	f.done.Wait()
}

// Revision returns the store's revision up to which the keys are known.
func (f *Follower) Revision() int64 { return f.reached.Load() }

// Behind tells that the store is known to have reached a revision. If the watch
// does not show it soon, it is taken for dead, and the keys are read again.
func (f *Follower) Behind(revision int64) {
	if revision <= f.reached.Load() {
		return
	}
	watch := f.watch.Load()
	if watch == nil {
		select {
		case f.wake <- struct{}{}:
		default:
		}
		return
	}
	time.AfterFunc(newsPatience, func() {
		if revision > f.reached.Load() && f.watch.CompareAndSwap(watch, nil) {
			f.log.Warn().Int64("revision", revision).Int64("have", f.reached.Load()).Msg("watch shows nothing of a change that peers know")
			(*watch)()
		}
	})
}

func (f *Follower) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		contact := f.contact.Load()
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if f.contact.Load() != contact {
			failures = 0
		}
		if err == nil || f.again(err) {
			continue
		}
		failures++
		f.rest(ctx, sleeper.Backoff(backoffBase, backoffMost, failures))
	}
}

// rest waits before the next try. The first word of a peer that reaches the
// store ends the wait: a cut may have healed.
func (f *Follower) rest(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	wake := f.wake
	if time.Since(f.wokenAt) < wakeEvery {
		wake = nil
	}
	select {
	case <-timer.C:
	case <-wake:
		f.wokenAt = time.Now()
	case <-ctx.Done():
	}
}

// again notes why a watch ended, and tells whether to read at once: a history
// that was dropped is no outage.
func (f *Follower) again(err error) bool {
	var compacted *storer.CompactedError
	switch {
	case errors.As(err, &compacted):
		f.log.Info().Err(err).Msg("store dropped its history; reading the keys again")
		return true
	case f.lostAt.IsZero():
		f.lostAt = time.Now()
		f.log.Warn().Err(err).Msg("lost the store")
	default:
		f.log.Debug().Err(err).Msg("store is not reachable")
	}
	return false
}

// follow reads the keys and watches them until the watch breaks. It returns nil
// when the time of missing keys is up and the keys are to be read again.
func (f *Follower) follow(ctx context.Context) error {
	page, err := storer.Range(ctx, f.store, f.prefix)
	if err != nil {
		return err
	}
	f.regained()
	f.copied.Replace(page.Pairs())
	f.show()
	f.reached.Store(page.Revision())
	due, ok := f.copied.Due()
	if !ok {
		due = time.Now().Add(watchMost)
	}
	watch, cancel := context.WithDeadline(ctx, due)
	defer cancel()
	f.watch.Store(&cancel)
	err = storer.Watch(watch, f.store, f.prefix, page.Revision()+1, f.take)
	f.watch.Store(nil)
	if watch.Err() != nil {
		f.copied.Expire(time.Now())
		return nil
	}
	return err
}

// regained notes that the store answers. After an outage, keys that are missing
// get time to come back.
func (f *Follower) regained() {
	f.contact.Store(time.Now().UnixNano())
	if f.lostAt.IsZero() {
		return
	}
	outage := time.Since(f.lostAt)
	f.lostAt = time.Time{}
	f.log.Info().Dur("outage", outage).Msg("regained the store")
	if outage >= outageLeast {
		f.copied.Forgive(time.Now().Add(returnGrace))
	}
}

func (f *Follower) take(b storer.Batch) {
	f.contact.Store(time.Now().UnixNano())
	f.reached.Store(max(f.reached.Load(), b.Revision()))
	if f.copied.Apply(b.Events()) {
		f.show()
	}
}

func (f *Follower) show() { f.receive(f.copied.Pairs()) }
