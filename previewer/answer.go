package previewer

import (
	"burdocklane/authenticator"
	"burdocklane/classifier"
	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/scheduler"
)

// Answer is what would become of a request: Unmatched, Unauthorized or Routed.
type Answer interface{ answer() }

// Unmatched means that no class matches the request, or that no configuration is in force.
type Unmatched struct {
	revision descriptor.Revision
	reason   string
}

// Unauthorized means that the request needs the API key of a tenant.
type Unauthorized struct {
	Route
	reason authenticator.Reason
}

// Routed holds what the service's pool would decide, as this instance sees its workers.
type Routed struct {
	Route
	deciders []scheduler.Decider
	preview  limiter.Preview
}

func (Unmatched) answer()    {}
func (Unauthorized) answer() {}
func (Routed) answer()       {}

// Route is the matched route or class, with the call.
type Route struct {
	revision  descriptor.Revision
	host      string
	shares    []classifier.Share
	call      classifier.Call
	limitLeft float64 // Or -1 if unknown.
}

// Revision returns the revision of the configuration, or 0 without one.
func (a Unmatched) Revision() descriptor.Revision { return a.revision }

// Reason returns why no class matches.
func (a Unmatched) Reason() string { return a.reason }

// Reason returns why the request would be refused.
func (a Unauthorized) Reason() authenticator.Reason { return a.reason }

// Deciders returns the schedulers that would be asked, in order; without any, the instance
// decides itself.
func (a Routed) Deciders() []scheduler.Decider { return a.deciders }

// Preview returns the decision and its candidates.
func (a Routed) Preview() limiter.Preview { return a.preview }

// Revision returns the revision of the configuration.
func (r Route) Revision() descriptor.Revision { return r.revision }

// Host returns the host of the route, or "" if it matches any host.
func (r Route) Host() string { return r.host }

// Shares returns the shares of the services between which the calls are split.
func (r Route) Shares() []classifier.Share { return r.shares }

// Call returns the call, with the service whose turn it is, and its tenant.
func (r Route) Call() *classifier.Call { return &r.call }

// LimitLeft returns how many requests of the tenant the instance itself may admit now, and
// false if that is unknown or there is none.
func (r Route) LimitLeft() (float64, bool) { return r.limitLeft, r.limitLeft >= 0 }
