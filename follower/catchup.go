package follower

import (
	"context"
	"fmt"
	"sync"
	"time"

	"burdocklane/storer"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
)

// maxLoggedAttempts is how many reads of a catch-up are named in its log line.
const maxLoggedAttempts = 16

// catchUpSeconds counts how long the replica took to reach revisions that peers knew
// before.
var catchUpSeconds = metrics.NewHistogram("burdocklane_catch_up_seconds")

// catchUp records how long the replica has known that a later revision exists, and
// what was read meanwhile. The zero value is ready to use.
type catchUp struct {
	mutex    sync.Mutex      // Guards the fields below.
	target   storer.Revision // The earliest of the named revisions that is missing.
	latest   storer.Revision // The latest one.
	since    time.Duration   // When the target was first named.
	attempts []string
	omitted  int // The number of attempts beyond maxLoggedAttempts.
}

// begin records that peers have named a revision later than the replica's.
func (c *catchUp) begin(named storer.Revision, now time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.latest = storer.LatestRevision(c.latest, named)
	if c.target.IsZero() {
		c.target, c.since = named, now
	}
}

// pending returns the revision that is missing, and since when. It is zero if none is.
func (c *catchUp) pending() (target storer.Revision, since time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.target, c.since
}

// refute drops the missing revision if it was named before a read of the store itself that
// did not deliver it: the store has never had it.
func (c *catchUp) refute(readAt time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.since < readAt {
		c.target, c.latest, c.attempts, c.omitted = storer.Revision{}, storer.Revision{}, nil, 0
	}
}

// record records a read: its source, how long it took and its outcome.
func (c *catchUp) record(source string, took time.Duration, outcome string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case c.target.IsZero():
	case len(c.attempts) == maxLoggedAttempts:
		c.omitted++
	default:
		c.attempts = append(c.attempts, fmt.Sprintf("%s: %s after %d ms", source, outcome, took.Milliseconds()))
	}
}

// reached reports whether the target has been reached at the revision, how long that
// took and what was read. The next target is the latest revision that peers have named,
// if that is later.
func (c *catchUp) reached(have storer.Revision, now time.Duration) (delay time.Duration, attempts []string, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.target.IsZero() || c.target.After(have) {
		return 0, nil, false
	}
	delay, attempts = now-c.since, c.attempts
	if c.omitted > 0 {
		attempts = append(attempts, fmt.Sprintf("and %d more", c.omitted))
	}
	c.target, c.attempts, c.omitted = storer.Revision{}, nil, 0
	if c.latest.After(have) {
		c.target, c.since = c.latest, now
	}
	return delay, attempts, true
}

// advance records that the replica has reached a revision. If peers had named it for
// longer than a watch may take to deliver it, it logs what took the time.
func (f *Follower) advance(revision storer.Revision) {
	f.knownRevision.Advance(revision)
	delay, attempts, ok := f.catchUp.reached(f.knownRevision.Load(), f.now())
	if !ok {
		return
	}
	catchUpSeconds.Update(delay.Seconds())
	if delay < f.catchUpTimeout() {
		return
	}
	f.log.Info().Dur("delay", delay).Stringer("store-revision", revision).Str("source", f.Source()).Strs("reads", attempts).
		Msg("keys were behind the revision that peers know")
}

// readOutcome returns how a read ended, in one word.
func readOutcome(err error) string {
	if err == nil {
		return "read"
	}
	if errors.Is(err, context.Canceled) {
		return "not awaited"
	}
	return failureReason(err)
}
