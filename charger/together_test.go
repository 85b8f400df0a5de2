package charger_test

import (
	"strconv"
	"testing"

	"burdocklane/authenticator"
	"burdocklane/charger"
	"burdocklane/descriptor"
	"burdocklane/granter"
	"burdocklane/registrar"

	qt "github.com/frankban/quicktest"
)

const manyTenants = 10_000

// newCheck returns a function that finds the tenant of a key and charges a call to its
// limit, as on the path of a call, and the keys of all tenants.
func newCheck() (check func(key string) charger.Verdict, keys []string) {
	tenants := make([]descriptor.Tenant, manyTenants)
	capacities := map[uint32]float64{}
	grants := make([]granter.Grant, manyTenants)
	for n := range tenants {
		name, key := "tenant-"+strconv.Itoa(n), "key-"+strconv.Itoa(n)
		tenants[n] = descriptor.NewTenant(descriptor.TenantName(name), descriptor.WithRateLimit(descriptor.NewRateLimit(10, 10)),
			descriptor.WithKeys(descriptor.DigestKey(key)))
		hash := registrar.Hash(tenants[n].Name())
		capacities[hash], grants[n] = capacity, granter.NewGrant(hash, 1<<15, false)
		keys = append(keys, key)
	}
	index, c := authenticator.NewIndex(tenants), charger.New()
	c.SetTenants(capacities)
	c.Collect(0, 1, manyTenants, true)
	c.Apply(0, 0, granter.NewReply(1, 1, granter.NewStamp(1, 0), true, grants))
	return func(key string) charger.Verdict {
		result, ok := index.Authenticate(authenticator.NewAPIKey(key), false).(authenticator.Authenticated)
		if !ok || !result.Tenant().RateLimit().IsLimited() {
			return nil
		}
		return c.Charge(0, registrar.Hash(result.Tenant().Name()))
	}, keys
}

// Guards against an allocation for each call of a tenant.
func TestKeyTenantAndLimitDoNotAllocate(t *testing.T) {
	check, keys := newCheck()
	qt.Assert(t, kindOf(check(keys[7])), qt.Equals, "charged")
	n := 0
	allocations := testing.AllocsPerRun(1000, func() { n++; check(keys[n]) })
	qt.Assert(t, allocations, qt.Equals, 0.0)
}

// BenchmarkKeyTenantAndLimit measures what a call pays for its key, its tenant and its limit.
func BenchmarkKeyTenantAndLimit(b *testing.B) {
	check, keys := newCheck()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		check(keys[n%manyTenants])
	}
}
