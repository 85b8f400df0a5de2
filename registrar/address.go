package registrar

import (
	"fmt"
	"net/netip"
)

// maxIDBytes is the length of the longest ID, which is part of a key in the store.
const maxIDBytes = 200

// AddressError reports a text that is not an IP address with a port to connect to.
type AddressError struct {
	text   string
	reason string
}

// Error implements error.
func (e *AddressError) Error() string { return fmt.Sprintf("address %q: %s", e.text, e.reason) }

// ParseAddress parses an IP address with a port. A host name is not an address: each
// connection would wait for its lookup. The error is an *AddressError.
func ParseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	switch ip := address.Addr(); {
	case err != nil:
		return netip.AddrPort{}, &AddressError{text: text, reason: "is not an IP address and a port"}
	case address.Port() == 0:
		return netip.AddrPort{}, &AddressError{text: text, reason: "the port is 0"}
	case ip.IsUnspecified(), ip.IsMulticast(), ip.Zone() != "":
		return netip.AddrPort{}, &AddressError{text: text, reason: "is not that of one host"}
	}
	return address, nil
}

// IsValidID reports whether an ID can be sent in a header field: it is printable ASCII
// without spaces.
func IsValidID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}
