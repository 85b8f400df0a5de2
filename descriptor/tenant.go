package descriptor

import (
	"crypto/sha256"
	"slices"
	"strings"
)

// TenantName is the name of a tenant, unique within a deployment.
type TenantName string

// Label returns the name as the value of a metric's label. Characters that would need
// escapes become underscores.
func (n TenantName) Label() string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == '"' || r == '\\' || r == 0x7f {
			return '_'
		}
		return r
	}, string(n))
}

// KeyDigest is the SHA-256 digest of an API key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// usualKeyBytes is the length up to which a key is digested without an allocation.
const usualKeyBytes = 256

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest {
	if len(key) > usualKeyBytes {
		return sha256.Sum256([]byte(key))
	}
	var buffer [usualKeyBytes]byte
	n := copy(buffer[:], key)
	return sha256.Sum256(buffer[:n])
}

// RateLimit limits how many requests all instances together admit: a rate in requests per
// second and a burst in requests. The zero value is no limit.
type RateLimit struct {
	perSecond float64
	burst     float64
}

// NewRateLimit returns a limit; a rate of 0 is no limit.
func NewRateLimit(perSecond, burst float64) RateLimit {
	return RateLimit{perSecond: perSecond, burst: burst}
}

// IsLimited reports whether there is a limit.
func (l RateLimit) IsLimited() bool { return l.perSecond > 0 }

// PerSecond returns the rate in requests per second, or 0 without a limit.
func (l RateLimit) PerSecond() float64 { return l.perSecond }

// Burst returns the number of requests that are admitted beyond the rate.
func (l RateLimit) Burst() float64 { return l.burst }

// Tenant is a customer whose requests carry one of its API keys.
type Tenant struct {
	name        TenantName
	hash        uint32
	keys        []KeyDigest
	priority    int
	hasPriority bool
	rateLimit   RateLimit
	regions     Regions
}

// TenantOption configures a Tenant.
type TenantOption func(*Tenant)

// WithKeys sets the digests of the tenant's API keys.
func WithKeys(keys ...KeyDigest) TenantOption {
	return func(t *Tenant) { t.keys = slices.Clone(keys) }
}

// WithTenantPriority sets the priority of the tenant's calls in place of that of their
// class; 0 is the highest.
func WithTenantPriority(rank int) TenantOption {
	return func(t *Tenant) { t.priority, t.hasPriority = rank, true }
}

// WithRateLimit limits the tenant's requests.
func WithRateLimit(l RateLimit) TenantOption { return func(t *Tenant) { t.rateLimit = l } }

// WithTenantRegions limits where the tenant's calls may be processed.
func WithTenantRegions(r Regions) TenantOption { return func(t *Tenant) { t.regions = r } }

// NewTenant returns a tenant without keys, limits and a priority of its own, unless
// options say otherwise.
func NewTenant(name TenantName, opts ...TenantOption) Tenant {
	t := Tenant{name: name, hash: hashOf(name, 0)}
	for _, opt := range opts {
		opt(&t)
	}
	return t
}

// Name returns the name of the tenant.
func (t Tenant) Name() TenantName { return t.name }

// Keys returns the digests of the API keys. The caller must not modify the slice.
func (t Tenant) Keys() []KeyDigest { return t.keys }

// Priority returns the priority of the tenant's calls, and false if that of their class
// applies.
func (t Tenant) Priority() (rank int, ok bool) { return t.priority, t.hasPriority }

// RateLimit returns the limit on the tenant's requests.
func (t Tenant) RateLimit() RateLimit { return t.rateLimit }

// Regions returns where the tenant's calls may be processed.
func (t Tenant) Regions() Regions { return t.regions }
