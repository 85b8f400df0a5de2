package authenticator

import "burdocklane/descriptor"

// Credential is what a request presents to show which tenant sent it. The zero value is
// none. It is a struct since boxing a key in an interface would allocate for each call. The
// key is neither printed nor logged.
type Credential struct {
	key       string
	malformed bool
}

// NewAPIKey returns the credential of a request that presents the API key. An empty
// key is malformed.
func NewAPIKey(key string) Credential { return Credential{key: key, malformed: key == ""} }

// NewMalformed returns the credential of a request that presents something else than one
// API key.
func NewMalformed() Credential { return Credential{malformed: true} }

// IsMissing reports whether the request presents nothing.
func (c Credential) IsMissing() bool { return c.key == "" && !c.malformed }

// IsMalformed reports whether the request presents something else than one API key.
func (c Credential) IsMalformed() bool { return c.malformed }

// Digest returns the digest of the API key.
func (c Credential) Digest() descriptor.KeyDigest { return descriptor.DigestKey(c.key) }

// String implements fmt.Stringer without the key.
func (c Credential) String() string {
	switch {
	case c.malformed:
		return "malformed"
	case c.key == "":
		return "none"
	}
	return "API key"
}

// GoString implements fmt.GoStringer without the key.
func (c Credential) GoString() string { return c.String() }
