package descriptor_test

import (
	"fmt"
	"testing"

	"burdocklane/descriptor"

	qt "github.com/frankban/quicktest"
)

// sameHash returns two names whose tenants have the same hash when they are alone.
func sameHash(c *qt.C) (a, b descriptor.TenantName) {
	const names = 1 << 20 // About 128 pairs are expected.
	byHash := make(map[uint32]descriptor.TenantName, names)
	for n := range names {
		name := descriptor.TenantName(fmt.Sprintf("tenant-%d", n))
		hash := descriptor.NewTenant(name).Hash()
		if other, found := byHash[hash]; found {
			return other, name
		}
		byHash[hash] = name
	}
	c.Fatal("no two names have the same hash")
	return "", ""
}

// Guards against calls that a scheduler charges to another tenant, whose name has the same
// hash, and against hashes that depend on the order of the tenants.
func TestTenantsHaveDistinctHashes(t *testing.T) {
	c := qt.New(t)
	a, b := sameHash(c)
	tests := []struct {
		name     string
		tenants  []descriptor.TenantName
		distinct int // The number of hashes other than 0.
	}{
		{"one", []descriptor.TenantName{a}, 1},
		{"different names", []descriptor.TenantName{"x", "y"}, 2},
		{"same hash", []descriptor.TenantName{a, b}, 2},
		{"same hash in another order", []descriptor.TenantName{"x", b, a}, 3},
		{"same name", []descriptor.TenantName{"x", "x"}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var tenants []descriptor.Tenant
			for _, name := range test.tenants {
				tenants = append(tenants, descriptor.NewTenant(name))
			}
			hashes := map[uint32]bool{}
			for _, tenant := range descriptor.NewDeployment("d", descriptor.MeasurementBudget{}, nil).WithTenants(tenants).Tenants() {
				if tenant.Hash() != 0 {
					hashes[tenant.Hash()] = true
				}
			}
			c.Assert(hashes, qt.HasLen, test.distinct)
		})
	}
}

// Guards against instances with different versions of the configuration, one of which
// takes the hash of a tenant for that of another one.
func TestHashNeverNamesAnotherTenantOfAnotherVersion(t *testing.T) {
	c := qt.New(t)
	a, b := sameHash(c)
	hashes := func(names ...descriptor.TenantName) map[uint32]descriptor.TenantName {
		var tenants []descriptor.Tenant
		for _, name := range names {
			tenants = append(tenants, descriptor.NewTenant(name))
		}
		byHash := map[uint32]descriptor.TenantName{}
		for _, tenant := range descriptor.NewDeployment("d", descriptor.MeasurementBudget{}, nil).WithTenants(tenants).Tenants() {
			byHash[tenant.Hash()] = tenant.Name()
		}
		return byHash
	}
	both, reversed := hashes(a, b), hashes(b, a)
	c.Assert(both, qt.DeepEquals, reversed)
	for _, alone := range []descriptor.TenantName{a, b} {
		for hash, name := range hashes(alone) {
			got, found := both[hash]
			c.Assert(!found || got == name, qt.IsTrue, qt.Commentf("hash of %s names %s", name, got))
		}
	}
}
