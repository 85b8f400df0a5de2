package authenticator

import "burdocklane/descriptor"

// Result is the result of an authentication: [Open], [Anonymous], [Authenticated] or
// [Rejected].
type Result interface{ result() }

// Open means that the configuration declares no tenants.
type Open struct{}

// Anonymous means that tenants are declared and the class of the request is public. A
// key that the request presents is not looked at.
type Anonymous struct{}

// Authenticated means that the request presents an API key of a tenant.
type Authenticated struct{ tenant *descriptor.Tenant }

// Rejected means that the request presents no API key of a tenant, although its class is
// not public.
type Rejected struct{ reason Reason }

func (Open) result()          {}
func (Anonymous) result()     {}
func (Authenticated) result() {}
func (Rejected) result()      {}

// Tenant returns the tenant that holds the API key.
func (a Authenticated) Tenant() *descriptor.Tenant { return a.tenant }

// Reason returns why the request is rejected.
func (r Rejected) Reason() Reason { return r.reason }

// Reason says why a request is rejected, in decision lines and metrics.
type Reason string

const (
	// ReasonMissing rejects a request without a credential.
	ReasonMissing Reason = "key-missing"
	// ReasonMalformed rejects a request with something else than one API key.
	ReasonMalformed Reason = "key-malformed"
	// ReasonUnknown rejects a request whose API key no tenant holds.
	ReasonUnknown Reason = "key-unknown"
)

// The rejections are boxed once, so that a rejection doesn't allocate.
var (
	rejectedMissing   Result = Rejected{reason: ReasonMissing}
	rejectedMalformed Result = Rejected{reason: ReasonMalformed}
	rejectedUnknown   Result = Rejected{reason: ReasonUnknown}
)
