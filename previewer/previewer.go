// Package previewer tells where a request would go now, and why, without sending it. It asks
// the filters that a call passes, and changes nothing.
package previewer

import (
	"time"

	"burdocklane/authenticator"
	"burdocklane/classifier"
	"burdocklane/descriptor"
	"burdocklane/dispatcher"
	"burdocklane/limiter"
	"burdocklane/publisher"
	"burdocklane/registrar"
	"burdocklane/scheduler"
)

// TenantError reports a tenant that the configuration does not name. The text does not
// repeat the name, which may be a key that was passed by mistake.
type TenantError struct{ revision descriptor.Revision }

// Revision returns the revision of the configuration.
func (e *TenantError) Revision() descriptor.Revision { return e.revision }

// Error implements error.
func (e *TenantError) Error() string {
	return "tenant: the configuration names no such tenant (a tenant's name is asked for, not its key)"
}

// Question is the request to explain.
type Question struct {
	request classifier.Request
	tenant  descriptor.TenantName
}

// NewQuestion returns the question about a request of the named tenant, or of none with "".
func NewQuestion(request classifier.Request, tenant descriptor.TenantName) Question {
	return Question{request: request, tenant: tenant}
}

// Previewer answers questions by the state of one instance.
type Previewer struct {
	self      registrar.Instance
	publisher *publisher.Publisher
	deciders  DecidersFunc
	limitLeft LimitLeftFunc
}

// DecidersFunc returns the schedulers that are asked for a request, in order. Without any,
// the instance decides itself.
type DecidersFunc func(*limiter.Pool, limiter.Request) []scheduler.Decider

// LimitLeftFunc returns how many requests of a tenant the instance itself may admit now, and
// false if that is unknown. It charges nothing.
type LimitLeftFunc func(*descriptor.Tenant) (float64, bool)

// Option sets one property of a Previewer.
type Option func(*Previewer)

// WithDeciders sets the function that returns the schedulers. By default the instance
// decides itself.
func WithDeciders(deciders DecidersFunc) Option {
	return func(p *Previewer) { p.deciders = deciders }
}

// WithLimitLeft sets the function that returns what is left of a rate limit. By default that
// is unknown.
func WithLimitLeft(limitLeft LimitLeftFunc) Option {
	return func(p *Previewer) { p.limitLeft = limitLeft }
}

// New returns a Previewer of the instance by the snapshots of p.
func New(self registrar.Instance, p *publisher.Publisher, opts ...Option) *Previewer {
	v := &Previewer{
		self: self, publisher: p,
		deciders:  func(*limiter.Pool, limiter.Request) []scheduler.Decider { return nil },
		limitLeft: func(*descriptor.Tenant) (float64, bool) { return 0, false },
	}
	for _, opt := range opts {
		opt(v)
	}
	return v
}

// Instance returns the ID of the instance.
func (p *Previewer) Instance() registrar.InstanceID { return p.self.ID() }

// Preview returns what would become of the request now. The error is a *TenantError.
func (p *Previewer) Preview(q Question) (Answer, error) {
	snapshot, now := p.publisher.Current(), time.Now()
	if !snapshot.Ready() {
		return Unmatched{reason: "no-configuration"}, nil
	}
	tenant, err := findTenant(snapshot, q.tenant)
	if err != nil {
		return nil, err
	}
	peeked, ok := snapshot.Index().Peek(q.request, now)
	if !ok {
		return Unmatched{revision: snapshot.Deployment().Revision(), reason: "no-route"}, nil
	}
	call, reason := authenticate(snapshot, peeked.Call(), tenant)
	route := Route{
		revision: snapshot.Deployment().Revision(), host: peeked.Host(), shares: peeked.Shares(), call: call,
		limitLeft: -1,
	}
	if reason != "" {
		return Unauthorized{Route: route, reason: reason}, nil
	}
	if call.Tenant() != nil {
		if left, ok := p.limitLeft(call.Tenant()); ok {
			route.limitLeft = left
		}
	}
	return p.route(snapshot, route), nil
}

// route previews the pool's decision. A scheduler assigns workers of its own region first.
func (p *Previewer) route(snapshot *publisher.Snapshot, route Route) Answer {
	pool := snapshot.ServiceState(route.call.Service().Name()).Pool()
	request := dispatcher.NewAdmissionRequest(&route.call, limiter.NewConstraint(route.call.Regions()), true)
	deciders := p.deciders(pool, request)
	if len(deciders) > 0 && deciders[0].Region() == p.self.Locality().Region() {
		return Routed{Route: route, deciders: deciders, preview: pool.Preview(confine(request, deciders[0].Region()))}
	}
	return Routed{Route: route, deciders: deciders, preview: pool.Preview(request)}
}

// confine returns the request as the scheduler of the region decides it.
func confine(request limiter.Request, region string) limiter.Request {
	if request.Regions().IsRestricted() {
		request = request.ConfinedTo(region)
	}
	return request.LocalOnly()
}

// findTenant returns the named tenant, or nil for "". The error is a *TenantError.
func findTenant(snapshot *publisher.Snapshot, name descriptor.TenantName) (*descriptor.Tenant, error) {
	if name == "" {
		return nil, nil
	}
	tenants := snapshot.Deployment().Tenants()
	for i := range tenants {
		if tenants[i].Name() == name {
			return &tenants[i], nil
		}
	}
	return nil, &TenantError{revision: snapshot.Deployment().Revision()}
}

// authenticate returns the call of the tenant, or why it needs an API key. The tenant counts
// as having presented one.
func authenticate(snapshot *publisher.Snapshot, call classifier.Call, tenant *descriptor.Tenant) (classifier.Call, authenticator.Reason) {
	switch result := snapshot.Authenticator().Authenticate(authenticator.Credential{}, call.Class().IsPublic()).(type) {
	case authenticator.Rejected:
		if tenant == nil || len(tenant.Keys()) == 0 {
			return call, result.Reason()
		}
		return call.ForTenant(tenant), ""
	case authenticator.Anonymous:
		return call.ForTenant(nil), ""
	case authenticator.Open, authenticator.Authenticated:
	}
	return call, ""
}
