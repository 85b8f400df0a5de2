package registrar_test

import (
	"strings"
	"testing"

	"burdocklane/registrar"

	"github.com/go-faster/errors"

	qt "github.com/frankban/quicktest"
)

// Guards against addresses that need a lookup, or that no connection can be opened to.
func TestParseAddress(t *testing.T) {
	tests := []struct {
		name, text string
		valid      bool
	}{
		{"IPv4", "10.0.0.1:80", true},
		{"IPv6", "[2001:db8::1]:80", true},
		{"the last port", "10.0.0.1:65535", true},
		{"a port out of range", "10.0.0.1:65536", false},
		{"a negative port", "10.0.0.1:-1", false},
		{"port 0", "10.0.0.1:0", false},
		{"a named port", "10.0.0.1:http", false},
		{"no port", "10.0.0.1", false},
		{"a host name", "localhost:80", false},
		{"no host", ":80", false},
		{"the unspecified address, which leads back to the sender", "0.0.0.0:80", false},
		{"a multicast address", "224.0.0.1:80", false},
		{"a line break in an address zone", "[fe80::1%a\r\nX-Other: 1]:80", false},
		{"nothing", "", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, err := registrar.ParseAddress(test.text)
			c.Assert(err == nil, qt.Equals, test.valid, qt.Commentf("%v", err))
			var addressErr *registrar.AddressError
			c.Assert(errors.As(err, &addressErr), qt.Equals, !test.valid)
			if test.valid {
				c.Assert(address.String(), qt.Equals, test.text)
			}
		})
	}
}

// Guards against IDs that would add or break lines of a request's header.
func TestIsValidID(t *testing.T) {
	tests := []struct {
		name, id string
		valid    bool
	}{
		{"an ID", "i-7f3a91c2", true},
		{"the longest", strings.Repeat("x", 200), true},
		{"too long", strings.Repeat("x", 201), false},
		{"empty", "", false},
		{"a line break", "a\r\nX-Other: 1", false},
		{"a space", "a b", false},
		{"not ASCII", "ä", false},
		{"the delete character", "a\x7f", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, registrar.IsValidID(test.id), qt.Equals, test.valid)
		})
	}
}
