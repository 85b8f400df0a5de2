package dispatcher

import (
	"maps"
	"sync"
	"sync/atomic"

	"burdocklane/descriptor"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxCountedTenants is how many tenants have counters of their own: the first ones
	// whose calls arrive. It bounds the size of the metrics whatever the configuration.
	maxCountedTenants = 100
	// otherTenants is the label of all other tenants together.
	otherTenants = "other"
)

// tenantCounters counts calls by tenant. The zero value is ready to use, by many
// goroutines at once.
type tenantCounters struct {
	requests atomic.Pointer[map[descriptor.TenantName]*metrics.Counter] // Immutable.
}

// countRequest counts an authenticated request of the tenant.
func (t *tenantCounters) countRequest(name descriptor.TenantName) { t.counter(name).Inc() }

// counter returns the counter of the tenant's requests and creates it on first use.
func (t *tenantCounters) counter(name descriptor.TenantName) *metrics.Counter {
	for {
		old := t.requests.Load()
		var known map[descriptor.TenantName]*metrics.Counter
		if old != nil {
			known = *old
		}
		if counter, ok := known[name]; ok {
			return counter
		}
		if len(known) >= maxCountedTenants {
			return otherRequests()
		}
		next := maps.Clone(known)
		if next == nil {
			next = map[descriptor.TenantName]*metrics.Counter{}
		}
		next[name] = newTenantCounter(name.Label())
		if t.requests.CompareAndSwap(old, &next) {
			return next[name]
		}
	}
}

// otherRequests returns the counter of the tenants without one of their own.
var otherRequests = sync.OnceValue(func() *metrics.Counter { return newTenantCounter(otherTenants) })

func newTenantCounter(label string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`burdocklane_tenant_requests_total{tenant="` + label + `"}`)
}
