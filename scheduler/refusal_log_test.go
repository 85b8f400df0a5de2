package scheduler

import (
	"testing"

	"burdocklane/charger"
	"burdocklane/descriptor"

	qt "github.com/frankban/quicktest"
)

// Guards against a tenant's name that ends the process, and against metrics that grow with
// the number of tenants.
func TestRefusalsAreCountedByTenant(t *testing.T) {
	tests := []struct {
		name    string
		tenants []descriptor.TenantName
		want    int // Tenants with counters.
	}{
		{"plain", []descriptor.TenantName{"a", "b", "a"}, 2},
		{"quotes and line ends", []descriptor.TenantName{`a"b`, "a\nb", `a\`}, 3},
		{"many", manyNames(3 * maxCountedTenants), maxCountedTenants + 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r refusalLog
			for _, tenant := range test.tenants {
				r.count(0, tenant, charger.Short{})
			}
			qt.Assert(t, r.tenants, qt.HasLen, test.want)
		})
	}
}

func manyNames(n int) []descriptor.TenantName {
	names := make([]descriptor.TenantName, n)
	for i := range names {
		names[i] = descriptor.TenantName(rune('a' + i))
	}
	return names
}
