// Package fetcher fetches the configuration from a peer that has a later one in force
// than this instance, which may have read an older copy of the store.
package fetcher

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/descriptor"
	"burdocklane/hedger"
	"burdocklane/recoverer"
	"burdocklane/registrar"
	"burdocklane/sleeper"

	"github.com/rs/zerolog"
)

const (
	// baseBackoff is the pause after the first failed fetch from a peer.
	baseBackoff = 200 * time.Millisecond
	// maxBackoff bounds the pause between fetches from a peer that names a version
	// which it does not deliver.
	maxBackoff = 5 * time.Second
	// hedgeDelay is how long a peer may take to begin its answer before the next one is
	// asked as well.
	hedgeDelay = 150 * time.Millisecond
	// queueSize is how many claims wait. More are dropped: peers repeat them.
	queueSize = 16
)

// NotLaterError reports a peer that delivered a configuration which is not later than
// the one in force, although it had named a later one.
type NotLaterError struct {
	have  descriptor.Revision
	got   descriptor.Revision
	named descriptor.Revision
}

// Error implements error.
func (e *NotLaterError) Error() string {
	return fmt.Sprintf("peer named version %d and delivered %d, which is not later than the active %d", e.named, e.got, e.have)
}

// Hooks connects a Fetcher to the rest of the instance: inForce returns the version of
// the configuration in force, or 0; fetch returns the value that the peer at host:port
// has in force; and apply puts a valid, later value in force and returns its version.
type Hooks struct {
	inForce func() descriptor.Revision
	fetch   func(ctx context.Context, address string) ([]byte, error)
	apply   func(value []byte, source string) (descriptor.Revision, error)
}

// NewHooks returns the hooks.
func NewHooks(inForce func() descriptor.Revision, fetch func(ctx context.Context, address string) ([]byte, error), apply func(value []byte, source string) (descriptor.Revision, error)) Hooks {
	return Hooks{inForce: inForce, fetch: fetch, apply: apply}
}

// claim is what a peer has said: that it has a version in force.
type claim struct {
	peer    registrar.Instance
	version descriptor.Revision
}

// failure is the record of a peer that did not deliver a later configuration.
type failure struct {
	count int
	until time.Time // No fetch is made from the peer before.
}

// lag is when peers first named a version later than the one that was in force.
type lag struct {
	inForce descriptor.Revision
	since   time.Time
}

// Fetcher fetches later configurations from peers.
type Fetcher struct {
	hooks      Hooks
	grace      time.Duration
	log        zerolog.Logger
	claims     chan claim
	failures   map[registrar.InstanceID]failure // Used by the run goroutine alone.
	lag        atomic.Pointer[lag]              // Or nil.
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// New returns a running Fetcher. grace is how long a later version may take to arrive
// from the store or a relay before it is fetched from a peer.
func New(hooks Hooks, grace time.Duration, log zerolog.Logger) *Fetcher {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fetcher{
		hooks: hooks, grace: grace, log: log, cancel: cancel,
		claims: make(chan claim, queueSize), failures: map[registrar.InstanceID]failure{},
	}
	f.goroutines.Go(func() { f.run(ctx) })
	return f
}

// Close ends a fetch in progress and waits for it.
func (f *Fetcher) Close() {
	f.cancel()
	f.goroutines.Wait()
}

// Behind returns for how long peers have named a later version than the one in force, or
// 0 if none has.
func (f *Fetcher) Behind() time.Duration {
	if l := f.lag.Load(); l != nil && l.inForce == f.hooks.inForce() {
		return time.Since(l.since)
	}
	return 0
}

// Observe gets the version that a listed peer says it has in force. It does not block,
// and must not be called concurrently.
func (f *Fetcher) Observe(peer registrar.Instance, version descriptor.Revision) {
	have := f.hooks.inForce()
	if version <= have {
		return
	}
	if l := f.lag.Load(); l == nil || l.inForce != have {
		f.lag.Store(&lag{inForce: have, since: time.Now()})
	}
	select {
	case f.claims <- claim{peer: peer, version: version}:
	default:
	}
}

func (f *Fetcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-f.claims:
			f.handle(ctx, c)
		}
	}
}

// handle fetches from the peer unless the version has arrived within the grace, or the
// peer failed a short time ago. Peers whose claims wait are asked as well if it does not
// answer soon.
func (f *Fetcher) handle(ctx context.Context, first claim) {
	if !f.isUseful(first) || !sleeper.Sleep(ctx, f.remainingGrace()) {
		return
	}
	claims := f.waitingClaims(first)
	for len(claims) > 0 && ctx.Err() == nil {
		f.fetchFirst(ctx, claims)
		claims = slices.DeleteFunc(claims, func(c claim) bool { return !f.isUseful(c) })
	}
}

// isUseful reports whether the claim is of a later version than the one in force, by a
// peer that did not fail a short time ago.
func (f *Fetcher) isUseful(c claim) bool {
	return c.version > f.hooks.inForce() && !time.Now().Before(f.failures[c.peer.ID()].until)
}

// waitingClaims returns the useful claims of different peers, the first one and those that
// wait.
func (f *Fetcher) waitingClaims(first claim) []claim {
	var claims []claim
	for next := first; ; {
		isKnown := slices.ContainsFunc(claims, func(c claim) bool { return c.peer.ID() == next.peer.ID() })
		if f.isUseful(next) && !isKnown {
			claims = append(claims, next)
		}
		select {
		case next = <-f.claims:
		default:
			return claims
		}
	}
}

// fetchFirst puts the first configuration in force that one of the peers delivers.
func (f *Fetcher) fetchFirst(ctx context.Context, claims []claim) {
	tries := make([]hedger.Try, 0, len(claims))
	took := make([]time.Duration, len(claims))
	for n, c := range claims {
		tries = append(tries, func(ctx context.Context) (err error) {
			started := time.Now()
			panicked := recoverer.Do(f.log, "fetch of a configuration", func() { err = f.fetch(ctx, c) })
			took[n] = time.Since(started)
			if panicked != nil {
				return panicked
			}
			return err
		})
	}
	winner, errs := hedger.Do(ctx, hedgeDelay, tries...)
	if winner != hedger.NoWinner {
		delete(f.failures, claims[winner].peer.ID())
	}
	for n, err := range errs {
		if err != nil && ctx.Err() == nil {
			f.recordFailure(claims[n], err, took[n])
		}
	}
}

// remainingGrace returns what is left of the grace since peers first named a later
// version than the one in force.
func (f *Fetcher) remainingGrace() time.Duration { return f.grace - f.Behind() }

// fetch puts the peer's configuration in force. It returns an error if that is not later
// than the one in force.
func (f *Fetcher) fetch(ctx context.Context, c claim) error {
	value, err := f.hooks.fetch(ctx, c.peer.PeerAddress())
	if err != nil {
		return err
	}
	have := f.hooks.inForce()
	if c.version <= have { // It has arrived meanwhile.
		return nil
	}
	got, err := f.hooks.apply(value, "peer "+c.peer.PeerAddress())
	if err == nil && got <= have {
		return &NotLaterError{have: have, got: got, named: c.version}
	}
	return err
}

func (f *Fetcher) recordFailure(c claim, err error, took time.Duration) {
	count := f.failures[c.peer.ID()].count
	pause := sleeper.Backoff(baseBackoff, maxBackoff, count)
	f.failures[c.peer.ID()] = failure{count: count + 1, until: time.Now().Add(pause)}
	f.log.Info().Err(err).Dur("took", took).Str("source", "peer "+c.peer.PeerAddress()).Int64("revision", int64(c.version)).
		Msg("later configuration could not be fetched from a peer")
}
