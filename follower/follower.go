// Package follower keeps a local replica of a store's keys up to date: it reads
// them, watches for changes from that revision on, and reads them again when the
// watch breaks.
package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/recoverer"
	"burdocklane/sleeper"
	"burdocklane/storer"
	"burdocklane/timekeeper"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

const (
	baseBackoff = 50 * time.Millisecond
	maxBackoff  = 600 * time.Millisecond
	// minOutage is how long the store has to be unreachable before missing keys
	// are retained for missingKeyGrace.
	minOutage = 500 * time.Millisecond
	// unreachableThreshold is how long the store has to be unreachable before this
	// instance reports so to the instances that read from it.
	unreachableThreshold = 300 * time.Millisecond
	// missingKeyGrace is how long a missing key is retained after an outage: its
	// writer may have been unable to renew its lease meanwhile, and may put the
	// key again.
	missingKeyGrace = 2 * time.Second
	// defaultCatchUpTimeout is how long a watch may take to deliver a revision that
	// peers know already, if nothing else is set.
	defaultCatchUpTimeout = 1300 * time.Millisecond
	// minWakeInterval is the shortest interval between backoffs that a peer's
	// update cuts short.
	minWakeInterval = 2 * time.Second
	// maxWatchDuration is how long keys are watched before they are read again in
	// full.
	maxWatchDuration = time.Hour
	// maxRelayedBackoff is the maximum backoff of an instance that usually reads
	// from a relay: its relays retry more often.
	maxRelayedBackoff = 1500 * time.Millisecond
)

// Follower keeps a replica of the keys with a prefix up to date.
type Follower struct {
	started       time.Time // lastContact, lastReceived and lostAt are durations since this time.
	store         storer.Store
	prefix        string
	onChange      func(usable []storer.Pair, stored storer.RangeResult)
	relays        Relays
	discovery     Discovery
	onLost        func()
	log           zerolog.Logger
	lastContact   atomic.Int64
	lastReceived  atomic.Int64        // When the last part of a response to a watch arrived, or 0.
	knownRevision storer.RevisionMark // The store's revision that the replica has reached.
	catchUp       catchUp
	lostAt        atomic.Int64 // When the store became unreachable for this instance, or 0.
	activeWatch   atomic.Pointer[activeWatch]
	usesFallback  atomic.Bool   // The keys are read from a peer of another zone, since the store refuses this instance.
	direct        atomic.Bool   // The keys are read from the store itself, not from a relay.
	source        atomic.Value  // The name of the store or relay that the keys were last read from.
	wake          chan struct{} // Signals that a peer reaches the store.

	// Used only by the run goroutine.
	replica     *Replica
	wokenAt     time.Time
	readTime    time.Duration // How long the last read of the keys took.
	probeFailed bool          // A probe has failed since the last read.
	lastFailure string        // The reason of the last failure that was logged.
	deferral    deferral

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Option sets one property of a Follower.
type Option func(*Follower)

// WithRelays lets the Follower read from relays. The default is to read from the
// store only.
func WithRelays(r Relays) Option { return func(f *Follower) { f.relays = r } }

// WithOnLost sets a function that is called when the store becomes unreachable for
// this instance. It must not call any method of the Follower except FollowsStore.
func WithOnLost(onLost func()) Option { return func(f *Follower) { f.onLost = onLost } }

// New returns a Follower that calls onChange with all keys whenever any has
// changed: usable are the keys to use, including those retained after an outage,
// and stored are those that the store holds.
func New(store storer.Store, prefix string, onChange func(usable []storer.Pair, stored storer.RangeResult), log zerolog.Logger, opts ...Option) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		started: time.Now(), ctx: ctx, store: store, prefix: prefix, onChange: onChange, relays: NoRelays(), onLost: func() {}, log: log,
		replica: NewReplica(), wake: make(chan struct{}, 1), cancel: cancel,
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Start starts the run goroutine. It must be called only once.
func (f *Follower) Start() { f.done.Go(func() { f.run(f.ctx) }) }

func (f *Follower) now() time.Duration { return time.Since(f.started) }

// Close ends the watch and waits for all goroutines.
func (f *Follower) Close() {
	f.cancel()
	f.done.Wait()
}

// Revision returns the store's revision that the replica has reached.
func (f *Follower) Revision() storer.Revision { return f.knownRevision.Load() }

// Source returns the name of the store or relay that the keys were last read from.
func (f *Follower) Source() string {
	source, _ := f.source.Load().(string)
	return source
}

// FollowsStore reports whether this instance reads from the store itself and the
// store is reachable. A short interruption of the watch does not make it
// unreachable.
func (f *Follower) FollowsStore() bool {
	lostAt := f.lostAt.Load()
	if !f.direct.Load() {
		return false
	}
	return lostAt == 0 || f.now()-time.Duration(lostAt) < unreachableThreshold
}

// HasLostStore reports whether the store does not serve this instance, which will not be
// a relay soon either.
func (f *Follower) HasLostStore() bool {
	lostAt := f.lostAt.Load()
	return f.usesFallback.Load() || lostAt != 0 && f.now()-time.Duration(lostAt) >= unreachableThreshold
}

// NotifyRevision notes that the store has reached a revision, as reported by a peer. If
// the watch does not deliver it within the catch-up timeout, the watch is
// considered stalled, and the keys are read again. If no watch is in progress, it
// ends the current backoff early.
func (f *Follower) NotifyRevision(revision storer.Revision) {
	if !revision.After(f.knownRevision.Load()) {
		return
	}
	f.catchUp.begin(revision, f.now())
	w := f.activeWatch.Load()
	if w == nil {
		select {
		case f.wake <- struct{}{}:
		default:
		}
		return
	}
	time.AfterFunc(w.catchUpTimeout, func() {
		have := f.knownRevision.Load()
		if revision.After(have) && f.activeWatch.CompareAndSwap(w, nil) {
			f.log.Warn().Stringer("store-revision", revision).Stringer("have", have).Bool("relayed", w.relayed).
				Msg("watch has not delivered a revision that peers know; reading the keys again")
			w.end(&StalledWatchError{have: have, known: revision})
		}
	})
}

func (f *Follower) run(ctx context.Context) {
	recoverer.Do(f.log, "search for the first source", func() { f.discover(ctx) }) //nolint:errcheck // Logged.
	failures := 0
	for ctx.Err() == nil {
		lastContact := f.lastContact.Load()
		err := f.followFirst(ctx)
		if ctx.Err() != nil {
			return
		}
		if f.lastContact.Load() != lastContact {
			failures = 0
		}
		var unread *UnreadError
		if err == nil || !errors.As(err, &unread) && f.recordFailure(err) {
			continue
		}
		failures++
		f.backOff(ctx, sleeper.Backoff(baseBackoff, f.backoffLimit(), failures))
	}
}

func (f *Follower) backoffLimit() time.Duration {
	if f.relays.enabled() {
		return maxRelayedBackoff
	}
	return maxBackoff
}

// followFirst follows the first source that serves. The error is that of the store, or an
// *UnreadError.
func (f *Follower) followFirst(ctx context.Context) (err error) {
	panicked := recoverer.Do(f.log, "follow of the keys", func() {
		var first source
		var read keysRead
		if first, read, err = f.readFirst(ctx); err == nil {
			err = f.followSource(ctx, first, read)
		}
	})
	if panicked != nil {
		return panicked
	}
	return err
}

// followSource adopts a read and watches its source until the watch breaks. A relay or
// fallback that failed is not an error: the others are tried.
func (f *Follower) followSource(ctx context.Context, from source, read keysRead) error {
	switch s := from.(type) {
	case relaySource:
		f.adopt(s.store, read, true)
		f.reportFailure(s, f.watchKeys(ctx, s.store, read.result.Revision(), true))
	case fallbackSource:
		f.usesFallback.Store(true)
		defer f.usesFallback.Store(false)
		f.adopt(s.store, read, true)
		f.reportFailure(s, f.watchUntilStoreServes(ctx, s.store, read.result.Revision()))
	case storeSource:
		f.adopt(s.store, read, false)
		if f.waitForRelay(ctx) {
			return nil
		}
		return f.watchKeys(ctx, s.store, read.result.Revision(), false)
	}
	return nil
}

// backOff waits before the next try. An update from a peer that reaches the store
// ends the wait early, at most once per minWakeInterval: the store may be
// reachable again.
func (f *Follower) backOff(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	wake := f.wake
	if time.Since(f.wokenAt) < minWakeInterval {
		wake = nil
	}
	select {
	case <-timer.C:
	case <-wake:
		f.wokenAt = time.Now()
	case <-ctx.Done():
	}
}

// adopt replaces the keys by those that were read from a source.
func (f *Follower) adopt(store storer.Store, read keysRead, relayed bool) {
	f.readTime = read.took
	f.deferral = deferral{}
	f.recordRead(storer.Name(store))
	f.recordEra(read.result.Revision())
	if read.result.IsRecovering() {
		f.retainMissingKeys()
	}
	f.direct.Store(!relayed)
	f.source.Store(storer.Name(store))
	f.advance(read.result.Revision())
	if !relayed {
		f.catchUp.refute(read.startedAt)
	}
	f.replica.Replace(read.result.Pairs())
	f.replica.Expire(time.Now())
	f.publish()
}

// watchKeys watches the keys after a revision until the watch breaks. It returns nil when
// the keys are to be read again: the retention of missing keys or the maximum watch
// duration is over, or a relay is available to read from.
func (f *Follower) watchKeys(ctx context.Context, store storer.Store, revision storer.Revision, relayed bool) error {
	deadline, ok := f.replica.RetentionDeadline()
	if !ok {
		deadline = time.Now().Add(maxWatchDuration)
	}
	timedCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	watchCtx, end := context.WithCancelCause(timedCtx)
	defer end(nil)
	if !relayed {
		f.done.Go(func() { f.endWhenRelayAvailable(watchCtx, end) })
		readTime := f.readTime
		f.done.Go(func() { f.endWhenProbeFails(watchCtx, end, readTime) })
	}
	f.activeWatch.Store(f.newActiveWatch(relayed, end))
	observedCtx := timekeeper.WithObserver(watchCtx, func() { f.lastReceived.Store(int64(f.now())) })
	err := storer.Watch(observedCtx, store, f.prefix, revision, f.applyBatch)
	f.activeWatch.Store(nil)
	if watchCtx.Err() == nil {
		return err
	}
	var stalled *StalledWatchError
	var probe *ProbeError
	if cause := context.Cause(watchCtx); errors.As(cause, &stalled) || errors.As(cause, &probe) {
		return cause
	}
	f.replica.Expire(time.Now())
	return nil
}

func (f *Follower) applyBatch(b storer.Batch) {
	f.lastContact.Store(int64(f.now()))
	f.advance(b.Revision())
	if f.replica.Apply(b.Events()) {
		f.publish()
	}
}

func (f *Follower) publish() { f.onChange(f.replica.Pairs(), f.replica.Stored(f.knownRevision.Load())) }
