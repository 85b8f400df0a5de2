// Package authenticator decides which tenant a request belongs to, by the API key that it
// presents. Keys are kept as digests.
package authenticator

import "burdocklane/descriptor"

// Index finds the tenant that holds an API key. It is immutable.
type Index struct {
	tenants    map[descriptor.KeyDigest]*descriptor.Tenant
	hasTenants bool
}

// NewIndex returns the index of the keys of the tenants, which it refers to.
func NewIndex(tenants []descriptor.Tenant) *Index {
	keys := 0
	for i := range tenants {
		keys += len(tenants[i].Keys())
	}
	x := &Index{tenants: make(map[descriptor.KeyDigest]*descriptor.Tenant, keys), hasTenants: len(tenants) > 0}
	for i := range tenants {
		for _, digest := range tenants[i].Keys() {
			x.tenants[digest] = &tenants[i]
		}
	}
	return x
}

// Authenticate returns the tenant of a request that presents the credential. A public
// class of requests needs none.
func (x *Index) Authenticate(c Credential, public bool) Result {
	switch {
	case !x.hasTenants:
		return Open{}
	case public:
		return Anonymous{}
	case c.IsMalformed():
		return rejectedMalformed
	case c.IsMissing():
		return rejectedMissing
	}
	tenant, ok := x.tenants[c.Digest()]
	if !ok {
		return rejectedUnknown
	}
	return Authenticated{tenant: tenant}
}
