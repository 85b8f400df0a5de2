package registrar

import (
	"fmt"
	"net/netip"
)

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
