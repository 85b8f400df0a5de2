// Package classifier finds the service and the class of work that a request
// belongs to, and the time that it may take.
package classifier

import (
	"time"

	"burdocklane/descriptor"
)

// Head is what the decision needs to know of a request, whatever protocol it
// came by.
type Head struct {
	id             string
	method         string
	path           string
	host           string
	caller         string
	idempotencyKey string
	timeout        time.Duration
}

// HeadOption sets one property of a Head.
type HeadOption func(*Head)

// WithCaller names who sent the request, for fairness between callers.
func WithCaller(caller string) HeadOption { return func(h *Head) { h.caller = caller } }

// WithHost sets the host that the request names.
func WithHost(host string) HeadOption { return func(h *Head) { h.host = host } }

// WithIdempotencyKey sets the key under which the caller repeats a request.
func WithIdempotencyKey(key string) HeadOption {
	return func(h *Head) { h.idempotencyKey = key }
}

// WithTimeout sets how long the caller waits; zero means that it did not say.
func WithTimeout(d time.Duration) HeadOption { return func(h *Head) { h.timeout = d } }

// NewHead returns the head of the request with the given ID.
func NewHead(id, method, path string, opts ...HeadOption) Head {
	h := Head{id: id, method: method, path: path}
	for _, opt := range opts {
		opt(&h)
	}
	return h
}

// Call is a request with its service and class.
type Call struct {
	id             string
	service        *descriptor.Service
	class          *descriptor.Class
	caller         string
	idempotencyKey string
	arrival        time.Time
	deadline       time.Time
}

// NewCall returns a call of a class that arrived at a time and is given up at
// the deadline.
func NewCall(id string, service *descriptor.Service, class *descriptor.Class, arrival, deadline time.Time) Call {
	return Call{id: id, service: service, class: class, arrival: arrival, deadline: deadline}
}

// ID returns the request ID.
func (c *Call) ID() string { return c.id }

// Service returns the service that the call is for.
func (c *Call) Service() *descriptor.Service { return c.service }

// Class returns the class of work.
func (c *Call) Class() *descriptor.Class { return c.class }

// Caller returns who sent the request.
func (c *Call) Caller() string { return c.caller }

// IdempotencyKey returns the caller's key for repeated sends, or "".
func (c *Call) IdempotencyKey() string { return c.idempotencyKey }

// Arrival returns when the request came in.
func (c *Call) Arrival() time.Time { return c.arrival }

// Deadline returns when the call is given up.
func (c *Call) Deadline() time.Time { return c.deadline }

// MayRepeat tells whether the call may run more than once.
func (c *Call) MayRepeat() bool {
	switch c.class.Repeat().(type) {
	case descriptor.Idempotent:
		return true
	case descriptor.AtMostOnce:
		return false
	}
	return false
}

// ID returns the request ID.
func (h Head) ID() string { return h.id }
