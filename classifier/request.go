// Package classifier matches a request to its service and class of work and sets its
// deadline.
package classifier

import (
	"time"

	"burdocklane/authenticator"
	"burdocklane/descriptor"
)

// Request holds the properties of a request that classification depends on, independent
// of the protocol.
type Request struct {
	id             string
	method         string
	path           string
	host           string
	caller         string
	idempotencyKey string
	timeout        time.Duration
	credential     authenticator.Credential
}

// RequestOption sets one property of a [Request].
type RequestOption func(*Request)

// WithCaller sets the caller that sent the request, for fair queueing between callers.
func WithCaller(caller string) RequestOption { return func(r *Request) { r.caller = caller } }

// WithHost sets the host that the request is addressed to, with or without a port.
func WithHost(host string) RequestOption { return func(r *Request) { r.host = host } }

// WithIdempotencyKey sets the key that the caller sends with each repetition of a
// request.
func WithIdempotencyKey(key string) RequestOption {
	return func(r *Request) { r.idempotencyKey = key }
}

// WithTimeout sets the caller's timeout; zero means that it sent none.
func WithTimeout(d time.Duration) RequestOption { return func(r *Request) { r.timeout = d } }

// NewRequest returns the properties of the request with the given ID.
func NewRequest(id, method, path string, opts ...RequestOption) Request {
	r := Request{id: id, method: method, path: path}
	for _, opt := range opts {
		opt(&r)
	}
	return r
}

// WithCredential returns the request with what it presents to show its tenant. It is no
// option since that would allocate for each request.
func (r Request) WithCredential(c authenticator.Credential) Request {
	r.credential = c
	return r
}

// Call is a request with its service and class.
type Call struct {
	id              string
	service         *descriptor.Service
	class           *descriptor.Class
	caller          string
	idempotencyKey  string
	arrival         time.Time
	deadline        time.Time
	tenant          *descriptor.Tenant // Or nil.
	timeout         time.Duration
	hidesCredential bool
}

// NewCall returns a call of the class that arrived at the given time and fails at the
// deadline.
func NewCall(id string, service *descriptor.Service, class *descriptor.Class, arrival, deadline time.Time) Call {
	return Call{id: id, service: service, class: class, arrival: arrival, deadline: deadline}
}

// ID returns the request ID.
func (c *Call) ID() string { return c.id }

// ForTenant returns the call as one of the tenant, or as an anonymous one with nil. In
// both cases the credential of the request is not for the worker.
func (c *Call) ForTenant(t *descriptor.Tenant) Call {
	owned := *c
	owned.tenant = t
	owned.hidesCredential = true
	return owned
}

// HidesCredential reports whether the system authenticates callers: the worker gets the
// call's tenant and not the credential. Otherwise both are the caller's business.
func (c *Call) HidesCredential() bool { return c.hidesCredential }

// Tenant returns the tenant whose API key the request carried, or nil if it needs none.
func (c *Call) Tenant() *descriptor.Tenant { return c.tenant }

// Priority returns the priority of the call; 0 is the highest. That of its tenant goes
// before that of its class.
func (c *Call) Priority() int {
	if c.tenant != nil {
		if rank, ok := c.tenant.Priority(); ok {
			return rank
		}
	}
	return c.class.Priority()
}

// Regions returns where the call may be processed: the limits of its class and of its
// tenant both apply.
func (c *Call) Regions() descriptor.Regions {
	if c.tenant == nil {
		return c.class.Regions()
	}
	return c.class.Regions().Intersect(c.tenant.Regions())
}

// Service returns the service that the call is for.
func (c *Call) Service() *descriptor.Service { return c.service }

// Class returns the class of work.
func (c *Call) Class() *descriptor.Class { return c.class }

// Caller returns the caller that sent the request, or "".
func (c *Call) Caller() string { return c.caller }

// IdempotencyKey returns the caller's idempotency key, or "".
func (c *Call) IdempotencyKey() string { return c.idempotencyKey }

// Timeout returns how long the caller waits for an answer, or 0 if it is unknown.
func (c *Call) Timeout() time.Duration { return c.timeout }

// Arrival returns when the request arrived.
func (c *Call) Arrival() time.Time { return c.arrival }

// Deadline returns the time after which a response is of no use to the caller.
func (c *Call) Deadline() time.Time { return c.deadline }

// EndingBy returns the call with a deadline that is not after the given time.
func (c *Call) EndingBy(end time.Time) Call {
	limited := *c
	if limited.deadline.After(end) {
		limited.deadline = end
	}
	return limited
}

// MayRepeat reports whether the call may run more than once.
func (c *Call) MayRepeat() bool {
	switch c.class.CallSemantics().(type) {
	case descriptor.Idempotent:
		return true
	case descriptor.AtMostOnce:
		return false
	}
	return false
}

// ID returns the request ID.
func (r Request) ID() string { return r.id }

// Credential returns what the request presents to show its tenant.
func (r Request) Credential() authenticator.Credential { return r.credential }
