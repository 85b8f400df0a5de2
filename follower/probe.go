package follower

import (
	"context"
	"fmt"
	"time"

	"burdocklane/sleeper"
	"burdocklane/storer"

	"github.com/go-faster/errors"
)

const (
	// probeInterval is how often an instance that watches the store itself probes it.
	probeInterval   = 400 * time.Millisecond
	minProbeTimeout = 400 * time.Millisecond
	// probeTimeoutRatio is the timeout of a probe as a multiple of the time that the
	// last read of the keys took: a slow store is not a silent one.
	probeTimeoutRatio = 2
	// maxRefusedProbes is how many probes in a row may get an answer without a usable
	// revision before the watch is ended. An answer shows that the store is reachable.
	maxRefusedProbes = 3
)

// ProbeError reports that the store did not answer a probe, so that the watch in
// progress may never get an answer either.
type ProbeError struct{ cause error }

// Error implements error.
func (e *ProbeError) Error() string { return fmt.Sprintf("probe failed: %v", e.cause) }

// Unwrap returns why the probe failed.
func (e *ProbeError) Unwrap() error { return e.cause }

// endWhenProbeFails probes the store during a watch. A store that stays silent looks
// the same to a watch as one without changes: a probe without an answer ends the
// watch, and one that returns a later revision than the watch reveals that it has
// stalled. readTime is how long the store took for the read before the watch.
func (f *Follower) endWhenProbeFails(ctx context.Context, end context.CancelCauseFunc, readTime time.Duration) {
	if !storer.CanProbe(f.store) {
		return
	}
	timeout := max(minProbeTimeout, probeTimeoutRatio*readTime)
	refused := 0
	for sleeper.Sleep(ctx, probeInterval) {
		revision, err := f.probe(ctx, timeout)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			refused = 0
			f.lastContact.Store(int64(f.now()))
			f.NotifyRevision(revision)
			continue
		}
		if f.isReceiving(timeout) {
			continue // The answer to the probe waits behind the transfer.
		}
		if refused++; !isAnswer(err) || refused >= maxRefusedProbes {
			end(&ProbeError{cause: err})
			return
		}
	}
}

// isReceiving reports whether a part of a change has arrived at the watch within the given
// time.
func (f *Follower) isReceiving(within time.Duration) bool {
	last := time.Duration(f.lastReceived.Load())
	return last > 0 && f.now()-last < within
}

// isAnswer reports whether a failed probe got an answer: a refusal, or one of a replica
// of the store that lags.
func isAnswer(err error) bool {
	var status *storer.StatusError
	var stale *storer.StaleEraError
	return errors.As(err, &status) || errors.As(err, &stale)
}

func (f *Follower) probe(ctx context.Context, timeout time.Duration) (storer.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return storer.Probe(ctx, f.store)
}

// lossTime returns when the store became unreachable. A probe that failed before
// shows that it has been so for some time, possibly since the last contact.
func (f *Follower) lossTime() time.Duration {
	if f.probeFailed {
		return time.Duration(f.lastContact.Load())
	}
	return f.now()
}
