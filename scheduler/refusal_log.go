package scheduler

import (
	"sync"
	"time"

	"burdocklane/charger"
	"burdocklane/descriptor"
	"burdocklane/registrar"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

const (
	// refusalLogInterval is the shortest time between two log lines on a tenant.
	refusalLogInterval = 100 * time.Millisecond
	// maxCountedTenants bounds the tenants that have counters of their own.
	maxCountedTenants = 100
	// otherTenants is the label of the counters that the others share.
	otherTenants = "-"
)

// refusalLog logs and counts the calls that found no token.
type refusalLog struct {
	log     zerolog.Logger
	mutex   sync.Mutex
	tenants map[descriptor.TenantName]*tenantRefusals
}

type tenantRefusals struct {
	overLimit *metrics.Counter
	short     *metrics.Counter
	loggedAt  time.Duration
	logged    bool
	unlogged  int // Refusals since the last log line.
}

// record logs calls that were refused since the last log line, with what decided the last one.
func (r *refusalLog) record(now time.Duration, tenant descriptor.TenantName, since int, v charger.Verdict, s charger.State, owner registrar.InstanceID) {
	reason := "over-limit"
	if _, ok := v.(charger.Short); ok {
		reason = "limit-unknown"
	}
	r.log.Info().Str("tenant", string(tenant)).Str("reason", reason).Int("calls", since).Int64("tokens", s.Tokens()).
		Bool("valid", s.IsValid()).Bool("exhausted", s.IsExhausted()).Dur("last-grant-age", now-s.GrantedAt()).
		Str("owner", string(owner)).Msg("call found no token of its tenant")
}

// count counts a refusal. It returns how many there were since the last log line, if there
// is to be one.
func (r *refusalLog) count(now time.Duration, tenant descriptor.TenantName, v charger.Verdict) (since int, ok bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	t := r.tenantOf(tenant)
	if _, short := v.(charger.Short); short {
		t.short.Inc()
	} else {
		t.overLimit.Inc()
	}
	t.unlogged++
	if t.logged && now-t.loggedAt < refusalLogInterval {
		return 0, false
	}
	since, t.unlogged = t.unlogged, 0
	t.loggedAt, t.logged = now, true
	return since, true
}

// tenantOf returns the counters of a tenant. The caller holds the mutex.
func (r *refusalLog) tenantOf(tenant descriptor.TenantName) *tenantRefusals {
	if t := r.tenants[tenant]; t != nil {
		return t
	}
	if len(r.tenants) >= maxCountedTenants {
		if tenant = otherTenants; r.tenants[tenant] != nil {
			return r.tenants[tenant]
		}
	}
	if r.tenants == nil {
		r.tenants = map[descriptor.TenantName]*tenantRefusals{}
	}
	label := `{tenant="` + tenant.Label() + `"}`
	t := &tenantRefusals{
		overLimit: metrics.GetOrCreateCounter("burdocklane_over_limit_total" + label),
		short:     metrics.GetOrCreateCounter("burdocklane_limit_unknown_total" + label),
	}
	r.tenants[tenant] = t
	return t
}
