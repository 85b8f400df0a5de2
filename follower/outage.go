package follower

import (
	"time"

	"burdocklane/storer"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
)

// storeRestores counts how often the store was found to have gone back to an older
// copy.
var storeRestores = metrics.NewCounter("burdocklane_store_restores_total")

// recordFailure logs why a read or watch failed, and reports whether to read
// again without a backoff: neither a compacted history nor a stalled watch is an
// outage, and after a failed probe the next read tells. For all other errors it
// records the start of the outage.
func (f *Follower) recordFailure(err error) bool {
	var compacted *storer.CompactedError
	var stalled *StalledWatchError
	var probe *ProbeError
	reason := failureReason(err)
	countFailure(reason)
	switch {
	case errors.As(err, &probe):
		f.log.Info().Err(err).Msg("store did not answer a probe; reading the keys again")
		f.probeFailed = true
		return true
	case errors.As(err, &stalled):
		return true
	case errors.As(err, &compacted):
		f.log.Info().Err(err).Msg("store has compacted its history; reading the keys again")
		return true
	case f.lostAt.CompareAndSwap(0, int64(f.lossTime())):
		f.log.Warn().Err(err).Str("reason", reason).Msg("lost the store")
		f.onLost()
	case reason != f.lastFailure:
		f.log.Warn().Err(err).Str("reason", reason).Msg("the store is still lost, for another reason")
	default:
		f.log.Debug().Err(err).Msg("store is not reachable")
	}
	f.lastFailure = reason
	return false
}

// recordRead records that the keys could be read from a source. After an outage,
// missing keys are retained for a grace period.
func (f *Follower) recordRead(source string) {
	f.lastContact.Store(int64(f.now()))
	f.probeFailed = false
	lostAt := f.lostAt.Swap(0)
	if lostAt == 0 {
		return
	}
	outage := f.now() - time.Duration(lostAt)
	f.log.Info().Dur("outage", outage).Str("source", source).Msg("regained the store")
	if outage >= minOutage {
		f.retainMissingKeys()
	}
}

// recordEra records that the store has gone back to an older copy if the revision is
// of a later era than the replica's. Missing keys are then retained for a grace
// period, as after an outage: their writers put them again.
func (f *Follower) recordEra(read storer.Revision) {
	have := f.knownRevision.Load()
	if have.IsZero() || read.Era() == have.Era() {
		return
	}
	storeRestores.Inc()
	f.log.Info().Stringer("have", have).Stringer("store-revision", read).Msg("store has gone back to an older copy")
	f.retainMissingKeys()
}

// retainMissingKeys makes the replica retain keys that are missing in the next read
// for a grace period.
func (f *Follower) retainMissingKeys() { f.replica.RetainUntil(time.Now().Add(missingKeyGrace)) }
