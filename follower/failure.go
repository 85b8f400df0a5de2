package follower

import (
	"strconv"

	"burdocklane/storer"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
)

// failureReason returns why a read or watch failed, in one word for logs and metrics.
func failureReason(err error) string {
	var stale *StaleReadError
	var stalled *StalledWatchError
	var compacted *storer.CompactedError
	var status *storer.StatusError
	var probe *ProbeError
	switch {
	case errors.As(err, &probe):
		return "probe-failed"
	case errors.As(err, &stale):
		return "stale-read"
	case errors.As(err, &stalled):
		return "stalled-watch"
	case errors.As(err, &compacted):
		return "compacted"
	case errors.As(err, &status):
		return "status-" + strconv.Itoa(status.Status())
	}
	return "unreachable"
}

func countFailure(reason string) {
	metrics.GetOrCreateCounter(`burdocklane_store_failures_total{reason="` + reason + `"}`).Inc()
}
