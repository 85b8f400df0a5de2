package dispatcher

import (
	"sync"
	"time"

	"burdocklane/classifier"
	"burdocklane/descriptor"
	"burdocklane/retrier"

	"github.com/VictoriaMetrics/metrics"
)

// meter keeps the metrics of calls and attempts.
type meter struct {
	hedges   *metrics.Counter
	attempts sync.Map // From the result's text to *metrics.Counter.
	classes  sync.Map // From classKey to *classMeter.
}

type classKey struct {
	service descriptor.ServiceName
	class   descriptor.ClassName
}

type classMeter struct {
	latency *metrics.Histogram
	met     *metrics.Counter
	missed  *metrics.Counter
	broken  *metrics.Counter
	failed  *metrics.Counter
}

func newMeter() *meter {
	return &meter{hedges: metrics.GetOrCreateCounter("burdocklane_hedges_total")}
}

func (m *meter) attempt(result retrier.Result) {
	text := retrier.Text(result)
	counter, ok := m.attempts.Load(text)
	if !ok {
		counter, _ = m.attempts.LoadOrStore(text,
			metrics.GetOrCreateCounter(`burdocklane_attempts_total{result="`+text+`"}`))
	}
	counter.(*metrics.Counter).Inc()
}

func (m *meter) outcome(call *classifier.Call, outcome string) {
	metrics.GetOrCreateCounter(`burdocklane_calls_total{` +
		serviceLabel(call.Service().Name(), call.Class().Name()) + `,outcome="` + outcome + `"}`).Inc()
}

// finished counts a call whose answer was passed on. A worker's own refusal or
// error meets no target.
func (m *meter) finished(call *classifier.Call, took time.Duration, result retrier.Result, whole bool) {
	c := m.class(call.Service().Name(), call.Class().Name())
	c.latency.Update(took.Seconds())
	answer, ok := result.(retrier.Answered)
	switch {
	case !whole:
		c.broken.Inc()
	case !ok || answer.Status() >= leastServerError:
		c.failed.Inc()
	case took <= call.Class().Target().Latency():
		c.met.Inc()
	default:
		c.missed.Inc()
	}
}

func (m *meter) class(service descriptor.ServiceName, class descriptor.ClassName) *classMeter {
	key := classKey{service: service, class: class}
	if found, ok := m.classes.Load(key); ok {
		return found.(*classMeter)
	}
	label := serviceLabel(service, class)
	found, _ := m.classes.LoadOrStore(key, &classMeter{
		latency: metrics.GetOrCreateHistogram(`burdocklane_call_seconds{` + label + `}`),
		met:     metrics.GetOrCreateCounter(`burdocklane_calls_total{` + label + `,outcome="target-met"}`),
		missed:  metrics.GetOrCreateCounter(`burdocklane_calls_total{` + label + `,outcome="target-missed"}`),
		broken:  metrics.GetOrCreateCounter(`burdocklane_calls_total{` + label + `,outcome="broken"}`),
		failed:  metrics.GetOrCreateCounter(`burdocklane_calls_total{` + label + `,outcome="worker-error"}`),
	})
	return found.(*classMeter)
}
