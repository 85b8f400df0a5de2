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
	var relayLost *storer.RelayLostStoreError
	if reason := eraReason(err); reason != "" {
		return reason // Also of a probe: the store does answer.
	}
	switch {
	case errors.As(err, &probe):
		return "probe-failed"
	case errors.As(err, &stale):
		return "stale-read"
	case errors.As(err, &stalled):
		return "stalled-watch"
	case errors.As(err, &compacted):
		return "compacted"
	case errors.As(err, &relayLost):
		return "relay-lost-store"
	case errors.As(err, &status):
		return "status-" + strconv.Itoa(status.Status())
	}
	return "unreachable"
}

// eraReason returns why an answer of the store was discarded because of its era, or "".
func eraReason(err error) string {
	var missing *storer.MissingEraError
	var invalid *storer.InvalidEraError
	var stale *storer.StaleEraError
	var unconfirmed *storer.UnconfirmedEraError
	var superseded *storer.SupersededError
	var changed *storer.EraChangedError
	switch {
	case errors.As(err, &missing):
		return "era-missing"
	case errors.As(err, &invalid):
		return "era-invalid"
	case errors.As(err, &stale):
		return "era-stale"
	case errors.As(err, &unconfirmed):
		return "era-unconfirmed"
	case errors.As(err, &superseded):
		return "era-superseded"
	case errors.As(err, &changed):
		return "era-changed"
	}
	return ""
}

func countFailure(reason string) {
	metrics.GetOrCreateCounter(`burdocklane_store_failures_total{reason="` + reason + `"}`).Inc()
}
