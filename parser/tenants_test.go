package parser_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"burdocklane/descriptor"
	"burdocklane/parser"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

// Guards against a configuration of which it is unclear whose key a key is, or that opens
// all classes by a slip, and against a key in an error message.
func TestTenantViolations(t *testing.T) {
	const digest = "5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8"
	tests := []struct {
		name    string
		tenants string
		want    string
	}{
		{"none", `{}`, "f: tenants: declares no tenant; without the field, calls need no key"},
		{"no object", `[]`, "f: tenants: must be an object, got []"},
		{"null", `null`, "f: tenants: must be an object, got null"},
		{"no keys", `{"a": {}}`, "f: tenants.a.key-digests: is missing"},
		{"a key in place of its digest", `{"a": {"key-digests": ["secret"]}}`, "f: tenants.a.key-digests: item 0 is not a SHA-256 digest in hexadecimal"},
		{"a digest that is too short", `{"a": {"key-digests": ["5e88"]}}`, "f: tenants.a.key-digests: item 0 is not a SHA-256 digest in hexadecimal"},
		{"a key of two tenants", `{"a": {"key-digests": ["` + digest + `"]}, "b": {"key-digests": ["` + strings.ToUpper(digest) + `"]}}`, "f: tenants.b.key-digests: item 0 is a key of tenant a already"},
		{"a key twice", `{"a": {"key-digests": ["` + digest + `", "` + digest + `"]}}`, "f: tenants.a.key-digests: item 1 is a key of tenant a already"},
		{"a tenant twice", `{"a": {"key-digests": []}, "a": {"key-digests": []}}`, "f: tenants.a: is a duplicate field"},
		{"a field twice", `{"a": {"key-digests": [], "key-digests": []}}`, "f: tenants.a.key-digests: is a duplicate field"},
		{"an unknown field", `{"a": {"key-digests": [], "keys": ["secret"]}}`, "f: tenants.a.keys: is not a known field"},
		{"an odd name", `{"A B": {"key-digests": []}}`, `f: tenants.A B: "A B" is not in kebab case (a-z, 0-9, -)`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			text := fmt.Sprintf(`{"deployment": "d", "services": {"s": {"classes": {"c": %s}}}, "tenants": %s}`, validClass, test.tenants)
			_, err := parser.ParseDeployment("f", []byte(text))
			var documentError *parser.DocumentError
			c.Assert(errors.As(err, &documentError), qt.IsTrue)
			c.Assert(err.Error(), qt.Equals, test.want)
		})
	}
}

// Guards against tenants or public classes that get lost on the way to the store.
func TestTenantsOfTheExample(t *testing.T) {
	c := qt.New(t)
	data, err := os.ReadFile("../examples/tenants.json")
	c.Assert(err, qt.IsNil)
	read, err := parser.ParseDeployment("f", data)
	c.Assert(err, qt.IsNil)
	stored, err := parser.EncodeTenants(read.Tenants())
	c.Assert(err, qt.IsNil)
	tenants, err := parser.ParseTenants("stored", stored)
	c.Assert(err, qt.IsNil)
	c.Assert(tenants, qt.HasLen, 2)
	c.Assert(tenants[0].Name(), qt.Equals, descriptor.TenantName("studio-jaffa"))
	c.Assert(tenants[0].Keys(), qt.HasLen, 2)
	c.Assert(tenants[1].Keys(), qt.DeepEquals, []descriptor.KeyDigest{descriptor.DigestKey("key-of-zarqa")})
	service, err := parser.EncodeService(read.Services()[0])
	c.Assert(err, qt.IsNil)
	again, err := parser.ParseService("stored", "pattern-catalogue", service)
	c.Assert(err, qt.IsNil)
	for _, class := range again.Classes() {
		c.Assert(class.IsPublic(), qt.Equals, class.Name() == "terms")
	}
}
