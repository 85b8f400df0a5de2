package limiter

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"
)

// countVerdict counts a verdict on a call for which no slot was free.
func countVerdict(priority int, verdict string) {
	metrics.GetOrCreateCounter(`burdocklane_ranked_total{priority="` + strconv.Itoa(priority) + `",verdict="` + verdict + `"}`).Inc()
}
