package authenticator_test

import (
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"burdocklane/authenticator"
	"burdocklane/descriptor"

	qt "github.com/frankban/quicktest"
)

func tenant(name descriptor.TenantName, keys ...string) descriptor.Tenant {
	digests := make([]descriptor.KeyDigest, 0, len(keys))
	for _, key := range keys {
		digests = append(digests, descriptor.DigestKey(key))
	}
	return descriptor.NewTenant(name, descriptor.WithKeys(digests...))
}

// describe returns a result as text.
func describe(r authenticator.Result) string {
	switch v := r.(type) {
	case authenticator.Open:
		return "open"
	case authenticator.Anonymous:
		return "anonymous"
	case authenticator.Authenticated:
		return "tenant " + string(v.Tenant().Name())
	case authenticator.Rejected:
		return string(v.Reason())
	}
	return "other"
}

// Guards against a call that runs under a key that nobody holds, and against a key that is
// asked for where none is needed.
func TestAuthenticate(t *testing.T) {
	two := []descriptor.Tenant{tenant("a", "a-1", "a-2"), tenant("b", "b-1"), tenant("c")}
	tests := []struct {
		name       string
		tenants    []descriptor.Tenant
		credential authenticator.Credential
		public     bool
		want       string
	}{
		{"no tenants, no key", nil, authenticator.Credential{}, false, "open"},
		{"no tenants, a key", nil, authenticator.NewAPIKey("a-1"), false, "open"},
		{"no tenants, malformed", nil, authenticator.NewMalformed(), false, "open"},
		{"no tenants, public class", nil, authenticator.Credential{}, true, "open"},
		{"first key of a tenant", two, authenticator.NewAPIKey("a-1"), false, "tenant a"},
		{"second key of a tenant", two, authenticator.NewAPIKey("a-2"), false, "tenant a"},
		{"another tenant", two, authenticator.NewAPIKey("b-1"), false, "tenant b"},
		{"no key", two, authenticator.Credential{}, false, "key-missing"},
		{"malformed", two, authenticator.NewMalformed(), false, "key-malformed"},
		{"empty key", two, authenticator.NewAPIKey(""), false, "key-malformed"},
		{"unknown key", two, authenticator.NewAPIKey("x"), false, "key-unknown"},
		{"beginning of a key", two, authenticator.NewAPIKey("a-"), false, "key-unknown"},
		{"key in another case", two, authenticator.NewAPIKey("A-1"), false, "key-unknown"},
		{"name of a tenant", two, authenticator.NewAPIKey("a"), false, "key-unknown"},
		{"digest of a key", two, authenticator.NewAPIKey(fmt.Sprintf("%x", descriptor.DigestKey("a-1"))), false, "key-unknown"},
		{"public class, no key", two, authenticator.Credential{}, true, "anonymous"},
		{"public class, a key", two, authenticator.NewAPIKey("a-1"), true, "anonymous"},
		{"public class, unknown key", two, authenticator.NewAPIKey("x"), true, "anonymous"},
		{"public class, malformed", two, authenticator.NewMalformed(), true, "anonymous"},
		{"tenants without keys", []descriptor.Tenant{tenant("c")}, authenticator.NewAPIKey("a-1"), false, "key-unknown"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			index := authenticator.NewIndex(test.tenants)
			c.Assert(describe(index.Authenticate(test.credential, test.public)), qt.Equals, test.want)
		})
	}
}

// Guards against a key that reaches a log line or an error text by way of fmt.
func TestCredentialIsNotPrinted(t *testing.T) {
	credential := authenticator.NewAPIKey("secret-1")
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q"} {
		c := qt.New(t)
		c.Assert(strings.Contains(fmt.Sprintf(verb, credential), "secret-1"), qt.IsFalse, qt.Commentf("%s", verb))
	}
}

const (
	manyTenants   = 10_000
	keysPerTenant = 2
)

// newTenants returns tenants whose keys are "key-TENANT-NUMBER".
func newTenants(count int) []descriptor.Tenant {
	tenants := make([]descriptor.Tenant, 0, count)
	for n := range count {
		keys := make([]string, 0, keysPerTenant)
		for k := range keysPerTenant {
			keys = append(keys, "key-"+strconv.Itoa(n)+"-"+strconv.Itoa(k))
		}
		tenants = append(tenants, tenant(descriptor.TenantName("tenant-"+strconv.Itoa(n)), keys...))
	}
	return tenants
}

// Guards against keys that take the memory of a small instance: tenants and index together
// hold less than 8 MB.
func TestMemoryOfManyTenants(t *testing.T) {
	const maxBytes = 8 << 20
	c := qt.New(t)
	before := liveBytes()
	tenants := newTenants(manyTenants)
	index := authenticator.NewIndex(tenants)
	held := liveBytes() - before
	c.Logf("%d tenants with %d keys each hold %d kB", manyTenants, keysPerTenant, held>>10)
	c.Assert(held < maxBytes, qt.IsTrue, qt.Commentf("%d bytes", held))
	runtime.KeepAlive(tenants)
	runtime.KeepAlive(index)
}

// liveBytes returns the size of the reachable heap.
func liveBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against an allocation for each call.
func TestAuthenticateDoesNotAllocate(t *testing.T) {
	index := authenticator.NewIndex(newTenants(manyTenants))
	tests := []struct {
		name       string
		credential authenticator.Credential
	}{
		{"known key", authenticator.NewAPIKey("key-77-1")},
		{"unknown key", authenticator.NewAPIKey("key-x")},
		{"long unknown key", authenticator.NewAPIKey(strings.Repeat("k", 200))},
		{"no key", authenticator.Credential{}},
		{"malformed", authenticator.NewMalformed()},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			allocations := testing.AllocsPerRun(100, func() { result = index.Authenticate(test.credential, false) })
			c.Assert(allocations, qt.Equals, 0.0)
		})
	}
}

var result authenticator.Result

func BenchmarkAuthenticate(b *testing.B) {
	index := authenticator.NewIndex(newTenants(manyTenants))
	keys := make([]authenticator.Credential, 0, manyTenants)
	for n := range manyTenants {
		keys = append(keys, authenticator.NewAPIKey("key-"+strconv.Itoa(n)+"-1"))
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		result = index.Authenticate(keys[n%manyTenants], false)
	}
}

func BenchmarkNewIndex(b *testing.B) {
	tenants := newTenants(manyTenants)
	b.ReportAllocs()
	for b.Loop() {
		authenticator.NewIndex(tenants)
	}
}
