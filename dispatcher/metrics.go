package dispatcher

import (
	"sync"
	"time"

	"burdocklane/authenticator"
	"burdocklane/classifier"
	"burdocklane/descriptor"
	"burdocklane/retrier"

	"github.com/VictoriaMetrics/metrics"
)

// callMetrics holds the metrics of calls and attempts. It is safe for concurrent use.
type callMetrics struct {
	hedges   *metrics.Counter
	attempts sync.Map // Result text to *metrics.Counter.
	classes  sync.Map // classKey to *classMetrics.
	tenants  tenantCounters
}

type classKey struct {
	service descriptor.ServiceName
	class   descriptor.ClassName
}

type classMetrics struct {
	latency      *metrics.Histogram
	targetMet    *metrics.Counter
	targetMissed *metrics.Counter
	broken       *metrics.Counter
	workerErrors *metrics.Counter
}

func newCallMetrics() *callMetrics {
	return &callMetrics{hedges: metrics.GetOrCreateCounter("burdocklane_hedges_total")}
}

// countUnauthorized counts a request without an API key that is in force.
func (m *callMetrics) countUnauthorized(reason authenticator.Reason) {
	metrics.GetOrCreateCounter(`burdocklane_unauthorized_total{reason="` + string(reason) + `"}`).Inc()
}

func (m *callMetrics) countAttempt(result retrier.Result) {
	text := retrier.ResultText(result)
	counter, ok := m.attempts.Load(text)
	if !ok {
		counter, _ = m.attempts.LoadOrStore(text,
			metrics.GetOrCreateCounter(`burdocklane_attempts_total{result="`+text+`"}`))
	}
	counter.(*metrics.Counter).Inc()
}

func (m *callMetrics) countOutcome(call *classifier.Call, outcome string) {
	metrics.GetOrCreateCounter(`burdocklane_calls_total{` +
		classLabels(call.Service().Name(), call.Class().Name()) + `,outcome="` + outcome + `"}`).Inc()
}

// observeResponse records a call whose response was forwarded. A worker's rejection or
// server error counts as a worker error, however fast it was.
func (m *callMetrics) observeResponse(call *classifier.Call, took time.Duration, result retrier.Result, complete bool) {
	c := m.forClass(call.Service().Name(), call.Class().Name())
	c.latency.Update(took.Seconds())
	response, ok := result.(retrier.Answered)
	switch {
	case !complete:
		c.broken.Inc()
	case !ok || response.Status() >= minServerErrorStatus:
		c.workerErrors.Inc()
	case took <= call.Class().Target().Latency():
		c.targetMet.Inc()
	default:
		c.targetMissed.Inc()
	}
}

// forClass returns the metrics of a class and creates them on first use.
func (m *callMetrics) forClass(service descriptor.ServiceName, class descriptor.ClassName) *classMetrics {
	key := classKey{service: service, class: class}
	if found, ok := m.classes.Load(key); ok {
		return found.(*classMetrics)
	}
	label := classLabels(service, class)
	found, _ := m.classes.LoadOrStore(key, &classMetrics{
		latency:      metrics.GetOrCreateHistogram(`burdocklane_call_seconds{` + label + `}`),
		targetMet:    metrics.GetOrCreateCounter(`burdocklane_calls_total{` + label + `,outcome="target-met"}`),
		targetMissed: metrics.GetOrCreateCounter(`burdocklane_calls_total{` + label + `,outcome="target-missed"}`),
		broken:       metrics.GetOrCreateCounter(`burdocklane_calls_total{` + label + `,outcome="broken"}`),
		workerErrors: metrics.GetOrCreateCounter(`burdocklane_calls_total{` + label + `,outcome="worker-error"}`),
	})
	return found.(*classMetrics)
}
