// Package limiter controls admission of calls to the slots of a service's
// workers: a call is granted a slot, queued until one is free, or refused
// without having run.
package limiter

import (
	"time"

	"burdocklane/descriptor"
	"burdocklane/ranker"
	"burdocklane/registrar"
	"burdocklane/sharer"
)

// Reason says why a call was refused. A refused call has not run.
type Reason string

// Reasons for refusing a call.
const (
	ReasonNoWorker  Reason = "no-worker"
	ReasonQueueFull Reason = "queue-full"
	ReasonOverload  Reason = "overload"
	// ReasonNoRoom refuses a call that is not expected to get a slot in time.
	ReasonNoRoom    Reason = "no-room-in-time"
	ReasonDeadline  Reason = "deadline"
	ReasonCancelled Reason = "cancelled"
	// ReasonOverLimit refuses a call beyond the rate limit of its tenant.
	ReasonOverLimit Reason = "over-limit"
	// ReasonLimitUnknown refuses a call of which it is not known whether it is within the
	// rate limit of its tenant.
	ReasonLimitUnknown Reason = "limit-unknown"
	// ReasonNoRegion refuses a call that no region may process.
	ReasonNoRegion Reason = "no-allowed-region"
	// ReasonNoAllowedWorker refuses a call of which no worker is left that may process it.
	ReasonNoAllowedWorker Reason = "no-allowed-worker"
)

// Request is a request for one slot.
type Request struct {
	caller         string
	target         time.Duration
	deadline       time.Time
	avoid          []registrar.WorkerID
	lending        bool
	targetDeadline time.Time
	origin         optional[registrar.Locality]
	onBehalfOfPeer bool
	localOnly      bool
	noWait         bool
	hedge          bool
	lastResort     bool // Workers that are about to stop and still serve may be used too.
	constraint     Constraint
	priority       int
	timeout        time.Duration      // Given by the caller, or 0.
	tenant         *descriptor.Tenant // Or nil.
	charged        bool
}

// RequestOption configures an optional property of a request.
type RequestOption func(*Request)

// WithCaller sets the caller, which the queue uses for fairness: a caller with
// many calls does not get ahead of the others.
func WithCaller(caller string) RequestOption { return func(r *Request) { r.caller = caller } }

// WithAvoid sets the workers that earlier attempts were sent to.
func WithAvoid(workers ...registrar.WorkerID) RequestOption {
	return func(r *Request) { r.avoid = workers }
}

// WithConstraint limits the workers that may get the call.
func WithConstraint(c Constraint) RequestOption {
	return func(r *Request) { r.constraint = c }
}

// WithPriority sets the priority of the call; 0 is the highest.
func WithPriority(priority int) RequestOption {
	return func(r *Request) { r.priority = priority }
}

// WithTimeout sets how long the caller waits for an answer. Zero means that it is unknown.
func WithTimeout(d time.Duration) RequestOption { return func(r *Request) { r.timeout = d } }

// WithTenant sets the tenant of the call. If charged, the request counts against the
// tenant's rate limit; only the first request of a call does.
func WithTenant(t *descriptor.Tenant, charged bool) RequestOption {
	return func(r *Request) { r.tenant, r.charged = t, charged }
}

// ForLoan marks a request for a slot to lend to a peer. It is queued behind
// all of the instance's own calls.
func ForLoan() RequestOption { return func(r *Request) { r.lending = true } }

// NewRequest returns a request for a call whose class has the given target
// latency. The call is abandoned after the deadline.
func NewRequest(target time.Duration, deadline time.Time, opts ...RequestOption) Request {
	r := Request{target: target, deadline: deadline}
	for _, opt := range opts {
		opt(&r)
	}
	return r
}

// WithTargetDeadline returns r with the time until which an answer meets the class's
// target.
func (r Request) WithTargetDeadline(at time.Time) Request {
	r.targetDeadline = at
	return r
}

// LocalOnly returns r restricted to workers of the local region.
func (r Request) LocalOnly() Request {
	r.localOnly = true
	return r
}

// OnBehalfOfPeer returns r marked as a request for a call that another instance
// sends.
func (r Request) OnBehalfOfPeer() Request {
	r.onBehalfOfPeer = true
	return r
}

// FromLocality returns r for a call that is sent from another locality than the pool's
// own.
func (r Request) FromLocality(locality registrar.Locality) Request {
	r.origin = optional[registrar.Locality]{value: locality, set: true}
	return r
}

// optional is a value that may be absent.
type optional[T any] struct {
	value T
	set   bool
}

// Target returns the target latency of the call's class.
func (r Request) Target() time.Duration { return r.target }

// TargetDeadline returns the time until which an answer meets the class's target.
func (r Request) TargetDeadline() time.Time { return r.targetDeadline }

// TokenWait returns how long the call may wait for a token of its tenant.
func (r Request) TokenWait() time.Duration { return ranker.LateWait(r.target) }

// Deadline returns the time after which the call is abandoned.
func (r Request) Deadline() time.Time { return r.deadline }

// Avoided returns the workers that earlier attempts were sent to.
func (r Request) Avoided() []registrar.WorkerID { return r.avoid }

// NoWait reports whether the request must be answered at once, without queueing
// for capacity.
func (r Request) NoWait() bool { return r.noWait }

// Constraint returns the limit of the workers that may get the call.
func (r Request) Constraint() Constraint { return r.constraint }

// Regions returns the regions whose workers may get the call.
func (r Request) Regions() descriptor.Regions { return r.constraint.regions }

// ConfinedTo returns r as a request for a worker of one region.
func (r Request) ConfinedTo(region string) Request {
	r.constraint.regions = r.constraint.regions.Intersect(descriptor.NewRegions(region))
	return r
}

// Priority returns the priority of the call; 0 is the highest.
func (r Request) Priority() int { return r.priority }

// Tenant returns the tenant of the call, or nil.
func (r Request) Tenant() *descriptor.Tenant { return r.tenant }

// IsCharged reports whether the request counts against the tenant's rate limit.
func (r Request) IsCharged() bool { return r.charged && r.tenant != nil }

// Uncharged returns r as a request that does not count against the rate limit again.
func (r Request) Uncharged() Request {
	r.charged = false
	return r
}

func (r *Request) kind() sharer.Kind { return sharer.NewKind(r.priority, r.target) }

// pastTarget reports whether an answer can no longer meet the target.
func (r *Request) pastTarget() bool { return time.Until(r.targetDeadline) <= 0 }

// WithoutWaiting returns r as a request that never queues for capacity. Its deadline
// becomes the time until which an answer meets the target, unless that has
// passed.
func (r Request) WithoutWaiting() Request {
	if !r.pastTarget() {
		r.deadline = r.targetDeadline
	}
	r.noWait = true
	return r
}

// AsHedge returns r as a request for a hedge beside a running attempt. It never
// queues. After the target has passed it may still use capacity that nothing
// else needs.
func (r Request) AsHedge() Request {
	r = r.WithoutWaiting()
	r.hedge = true
	return r
}

// IsHedge reports whether the request is for a hedge.
func (r Request) IsHedge() bool { return r.hedge }

func (r *Request) avoids(id registrar.WorkerID) bool {
	for _, worker := range r.avoid {
		if worker == id {
			return true
		}
	}
	return false
}
