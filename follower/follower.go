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
	// lostLeast is how long the store has to be out of reach for this instance to
	// say so to those that read from it.
	lostLeast = 300 * time.Millisecond
	// returnGrace is how long after an outage a missing key may come back: its
	// writer may have been unable to renew its lease meanwhile.
	returnGrace = 2 * time.Second
	// newsPatience is how long a watch has to show what others know already, if
	// nothing else is set.
	newsPatience = 1300 * time.Millisecond
	// wakeEvery is how often peers' words may end a wait.
	wakeEvery = 2 * time.Second
	// watchMost is how long keys are followed by watches alone.
	watchMost = time.Hour
	// relayedBackoffMost is the longest wait between tries of an instance that
	// usually reads from a relay: its relays try more often.
	relayedBackoffMost = 1500 * time.Millisecond
)

// Follower follows the keys with a prefix.
type Follower struct {
	started time.Time // The times that follow are durations since then.
	store   storer.Store
	prefix  string
	receive func(usable []storer.Pair, stored storer.Page)
	relays  Relays
	log     zerolog.Logger
	contact atomic.Int64
	reached atomic.Int64 // The store's revision up to which the copy is known.
	lostAt  atomic.Int64 // When the store stopped answering this instance, or 0.
	watch   atomic.Pointer[watch]
	direct  atomic.Bool   // The keys are read from the store itself.
	wake    chan struct{} // Tells that a peer reaches the store.

	// The run goroutine alone uses what follows.
	copied  *Copy
	wokenAt time.Time

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Option sets one property of a Follower.
type Option func(*Follower)

// WithRelays lets the Follower read from relays. Without them it asks the store.
func WithRelays(r Relays) Option { return func(f *Follower) { f.relays = r } }

// New returns a Follower that hands all keys over whenever any has changed: those
// to use, with the ones that may still return after an outage, and those that the
// store holds.
func New(store storer.Store, prefix string, receive func(usable []storer.Pair, stored storer.Page), log zerolog.Logger, opts ...Option) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		started: time.Now(), ctx: ctx, store: store, prefix: prefix, receive: receive, relays: NoRelays(), log: log,
		copied: NewCopy(), wake: make(chan struct{}, 1), cancel: cancel,
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Start begins to follow. It is called once.
func (f *Follower) Start() { f.done.Go(func() { f.run(f.ctx) }) }

func (f *Follower) now() time.Duration { return time.Since(f.started) }

// Close ends the watch and waits for it.
func (f *Follower) Close() {
	f.cancel()
	f.done.Wait()
}

// Revision returns the store's revision up to which the keys are known.
func (f *Follower) Revision() int64 { return f.reached.Load() }

// IsDirect tells whether this instance follows the store itself, and the store
// answers. A watch that was cut and is soon taken up again does not count.
func (f *Follower) IsDirect() bool {
	lostAt := f.lostAt.Load()
	if !f.direct.Load() {
		return false
	}
	return lostAt == 0 || f.now()-time.Duration(lostAt) < lostLeast
}

// Behind tells that the store is known to have reached a revision. If the watch
// does not show it soon, it is taken for dead, and the keys are read again.
func (f *Follower) Behind(revision int64) {
	if revision <= f.reached.Load() {
		return
	}
	w := f.watch.Load()
	if w == nil {
		select {
		case f.wake <- struct{}{}:
		default:
		}
		return
	}
	time.AfterFunc(w.patience, func() {
		have := f.reached.Load()
		if revision > have && f.watch.CompareAndSwap(w, nil) {
			f.log.Warn().Int64("revision", revision).Int64("have", have).Bool("relayed", w.relayed).
				Msg("watch shows nothing of a change that peers know")
			w.end(&SilentError{have: have, known: revision})
		}
	})
}

func (f *Follower) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		contact := f.contact.Load()
		err := f.turn(ctx)
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
		f.rest(ctx, sleeper.Backoff(backoffBase, f.longestBackoff(), failures))
	}
}

func (f *Follower) longestBackoff() time.Duration {
	if f.relays.wanted() {
		return relayedBackoffMost
	}
	return backoffMost
}

// turn follows the relays as long as one serves, and then the store itself.
func (f *Follower) turn(ctx context.Context) error {
	f.followRelays(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return f.follow(ctx, f.store, false)
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
// that was dropped is no outage, and neither is a connection gone silent.
func (f *Follower) again(err error) bool {
	var compacted *storer.CompactedError
	var silent *SilentError
	switch {
	case errors.As(err, &silent):
		return true
	case errors.As(err, &compacted):
		f.log.Info().Err(err).Msg("store dropped its history; reading the keys again")
		return true
	case f.lostAt.CompareAndSwap(0, int64(f.now())):
		f.log.Warn().Err(err).Msg("lost the store")
	default:
		f.log.Debug().Err(err).Msg("store is not reachable")
	}
	return false
}

// follow reads the keys and watches them until the watch breaks. It returns nil
// when the keys are to be read again: the time of missing keys is up, or a relay
// is there to read from.
func (f *Follower) follow(ctx context.Context, store storer.Store, relayed bool) error {
	page, err := storer.Range(ctx, store, f.prefix)
	if err != nil {
		return err
	}
	if have := f.reached.Load(); page.Revision() < have {
		return &StaleError{have: have, read: page.Revision()}
	}
	f.regained()
	if page.IsRecovering() {
		f.copied.Forgive(time.Now().Add(returnGrace))
	}
	f.direct.Store(!relayed)
	f.reached.Store(page.Revision())
	f.copied.Replace(page.Pairs())
	f.show()
	if !relayed && f.findRelay(ctx) {
		return nil
	}
	return f.keepUp(ctx, store, page.Revision(), relayed)
}

// keepUp watches the keys after a revision.
func (f *Follower) keepUp(ctx context.Context, store storer.Store, revision int64, relayed bool) error {
	due, ok := f.copied.Due()
	if !ok {
		due = time.Now().Add(watchMost)
	}
	timed, cancel := context.WithDeadline(ctx, due)
	defer cancel()
	watching, end := context.WithCancelCause(timed)
	defer end(nil)
	if !relayed {
		f.done.Go(func() { f.awaitRelay(watching, end) })
	}
	f.watch.Store(f.newWatch(relayed, end))
	err := storer.Watch(watching, store, f.prefix, revision+1, f.take)
	f.watch.Store(nil)
	if watching.Err() == nil {
		return err
	}
	var silent *SilentError
	if errors.As(context.Cause(watching), &silent) {
		return silent
	}
	f.copied.Expire(time.Now())
	return nil
}

// regained notes that the keys could be read. After an outage, keys that are
// missing get time to come back.
func (f *Follower) regained() {
	f.contact.Store(int64(f.now()))
	lostAt := f.lostAt.Swap(0)
	if lostAt == 0 {
		return
	}
	outage := f.now() - time.Duration(lostAt)
	f.log.Info().Dur("outage", outage).Msg("regained the store")
	if outage >= outageLeast {
		f.copied.Forgive(time.Now().Add(returnGrace))
	}
}

func (f *Follower) take(b storer.Batch) {
	f.contact.Store(int64(f.now()))
	f.reached.Store(max(f.reached.Load(), b.Revision()))
	if f.copied.Apply(b.Events()) {
		f.show()
	}
}

func (f *Follower) show() { f.receive(f.copied.Pairs(), f.copied.Page(f.reached.Load())) }
