package integrator_test

import (
	"encoding/hex"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"burdocklane/descriptor"
	"burdocklane/emulator"

	qt "github.com/frankban/quicktest"
)

// Guards against calls without a key of a tenant on instances whose configuration comes
// from the product's own documents, and against a key that works after it was withdrawn.
func TestTenantsOfOwnDocuments(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	f.addWorker("worker-1", "pattern-catalogue", 3, emulator.NewBehaviour())
	f.applyConfig("../examples/tenants.json")
	f.addInstance("instance-1")
	f.addInstance("instance-2")
	f.awaitReady()
	tests := []struct {
		name   string
		path   string
		key    string
		status int
	}{
		{"public", "/terms", "", http.StatusOK},
		{"no-key", "/patterns/1", "", http.StatusUnauthorized},
		{"unknown-key", "/patterns/1", "another", http.StatusUnauthorized},
		{"key", "/patterns/1", "first-key-of-jaffa", http.StatusOK},
		{"key-of-another-tenant", "/patterns/1", "key-of-zarqa", http.StatusOK},
	}
	statusOf := func(address, path, id, key string) int {
		got, err := call(http.DefaultClient, address, http.MethodGet, path, id, 10, "", "Authorization", "Bearer "+key)
		c.Assert(err, qt.IsNil)
		return got.status
	}
	for _, instance := range f.instances {
		for _, test := range tests {
			status := statusOf(instance.Callers(), test.path, instance.Name()+test.name, test.key)
			c.Assert(status, qt.Equals, test.status, qt.Commentf("%s: %s", instance.Name(), test.name))
		}
	}
	example, err := os.ReadFile("../examples/tenants.json")
	c.Assert(err, qt.IsNil)
	first, next := digestOf("first-key-of-jaffa"), digestOf("key-that-replaces-it")
	f.applyConfig(f.writeFile("withdrawn.json", strings.Replace(string(example), first, next, 1)))
	for _, instance := range f.instances {
		for deadline := time.Now().Add(20 * time.Second); statusOf(instance.Callers(), "/patterns/1", "later", "first-key-of-jaffa") != http.StatusUnauthorized; {
			c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s still serves a withdrawn key", instance.Name()))
			time.Sleep(20 * time.Millisecond)
		}
		c.Assert(statusOf(instance.Callers(), "/patterns/1", "last", "key-that-replaces-it"), qt.Equals, http.StatusOK)
	}
}

// digestOf returns the digest of a key as documents have it.
func digestOf(key string) string {
	digest := descriptor.DigestKey(key)
	return hex.EncodeToString(digest[:])
}
