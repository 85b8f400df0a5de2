package descriptor

import (
	"slices"
	"time"
)

// Service is a group of workers that serve the same request classes.
type Service struct {
	name           ServiceName
	classes        []Class
	notRunStatuses []int
	healthPath     string
	warmup         Warmup
}

// Warmup describes how the workers of a service behave for some time after they start,
// while they are cold. The zero value is no limit.
type Warmup struct {
	duration  time.Duration
	perSecond float64
}

// NewWarmup returns the warm-up of workers that are cold for the duration, and take so
// many calls per second meanwhile from all instances together.
func NewWarmup(duration time.Duration, perSecond float64) Warmup {
	return Warmup{duration: duration, perSecond: perSecond}
}

// Duration returns how long a worker is cold after its start.
func (w Warmup) Duration() time.Duration { return w.duration }

// PerSecond returns how many calls per second a cold worker takes, or 0 without a limit.
func (w Warmup) PerSecond() float64 { return w.perSecond }

// NewService returns a service. By contract, a worker that answers with one of
// notRunStatuses has not executed the request.
func NewService(name ServiceName, classes []Class, notRunStatuses []int) Service {
	return Service{name: name, classes: slices.Clone(classes), notRunStatuses: slices.Clone(notRunStatuses)}
}

// WithHealthPath returns a copy of s whose workers answer health checks on the
// path.
func (s Service) WithHealthPath(path string) Service {
	s.healthPath = path
	return s
}

// HealthPath returns the path of health checks, or "" if there are none.
func (s Service) HealthPath() string { return s.healthPath }

// WithWarmup returns a copy of s whose workers warm up after their start.
func (s Service) WithWarmup(w Warmup) Service {
	s.warmup = w
	return s
}

// Warmup returns how the workers warm up after their start.
func (s Service) Warmup() Warmup { return s.warmup }

// Name returns the name of the service, unique within its deployment.
func (s Service) Name() ServiceName { return s.name }

// Classes returns the request classes. The caller must not modify the slice.
func (s Service) Classes() []Class { return s.classes }

// NotRunStatuses returns a copy of the status codes by which a worker signals
// that it has not executed the request.
func (s Service) NotRunStatuses() []int { return slices.Clone(s.notRunStatuses) }

// IsNotRunStatus reports whether a worker that answers with the status code has not
// executed the request.
func (s Service) IsNotRunStatus(status int) bool { return slices.Contains(s.notRunStatuses, status) }

// Change records who made a revision, when, and by which operation.
type Change struct {
	id     string
	author string
	at     time.Time
}

// NewChange returns the record of an operator's change. Each attempt to change
// the configuration must have an ID of its own.
func NewChange(id, author string, at time.Time) Change {
	return Change{id: id, author: author, at: at}
}

// ID returns the ID of the attempt that made the change.
func (c Change) ID() string { return c.id }

// Author returns the name of the operator who made the change.
func (c Change) Author() string { return c.author }

// At returns the time of the change by the operator's wall clock.
func (c Change) At() time.Time { return c.at }

// Deployment is the complete configuration that operators declare.
type Deployment struct {
	name              string
	measurementBudget MeasurementBudget
	services          []Service
	routes            []Route
	requestLimits     RequestLimits
	tenants           []Tenant
	revision          Revision
	change            Change
	origin            Origin
}

// NewDeployment returns a deployment that has no revision yet.
func NewDeployment(name string, measurementBudget MeasurementBudget, services []Service) Deployment {
	return Deployment{name: name, measurementBudget: measurementBudget, services: slices.Clone(services)}
}

// WithRevision returns a copy of d with the revision that the store gave it and
// the change that wrote it.
func (d Deployment) WithRevision(r Revision, c Change) Deployment {
	d.revision, d.change = r, c
	return d
}

// WithRoutes returns a copy of d with routes in addition to the classes of its
// services.
func (d Deployment) WithRoutes(routes []Route) Deployment {
	d.routes = slices.Clone(routes)
	return d
}

// WithRequestLimits returns a copy of d with limits on callers' requests.
func (d Deployment) WithRequestLimits(b RequestLimits) Deployment {
	d.requestLimits = b
	return d
}

// WithTenants returns a copy of d whose calls need the API key of one of the tenants,
// unless their class is public. Without tenants, calls need no key.
func (d Deployment) WithTenants(tenants []Tenant) Deployment {
	d.tenants = slices.Clone(tenants)
	setDistinctHashes(d.tenants)
	return d
}

// Tenants returns the tenants. The caller must not modify the slice.
func (d Deployment) Tenants() []Tenant { return d.tenants }

// Routes returns the routes. The caller must not modify the slice.
func (d Deployment) Routes() []Route { return d.routes }

// ShortestTargets returns the shortest target latency of the classes and routes of each
// service.
func (d Deployment) ShortestTargets() map[ServiceName]time.Duration {
	shortest := map[ServiceName]time.Duration{}
	add := func(name ServiceName, class Class) {
		if known, ok := shortest[name]; !ok || class.Target().Latency() < known {
			shortest[name] = class.Target().Latency()
		}
	}
	for _, service := range d.services {
		for _, class := range service.classes {
			add(service.name, class)
		}
	}
	for _, route := range d.routes {
		for _, part := range route.weightedServices {
			add(part.Service(), route.class)
		}
	}
	return shortest
}

// RequestLimits returns the limits on callers' requests.
func (d Deployment) RequestLimits() RequestLimits { return d.requestLimits }

// Name returns the name of the deployment.
func (d Deployment) Name() string { return d.name }

// MeasurementBudget returns the budget for measuring the state of workers.
func (d Deployment) MeasurementBudget() MeasurementBudget { return d.measurementBudget }

// Services returns the services. The caller must not modify the slice.
func (d Deployment) Services() []Service { return d.services }

// Revision returns the store's revision, or 0 for a deployment that is not from
// the store.
func (d Deployment) Revision() Revision { return d.revision }

// WithOrigin returns a copy of d with the write that it was read from.
func (d Deployment) WithOrigin(o Origin) Deployment {
	d.origin = o
	return d
}

// Origin returns the write that the deployment was read from.
func (d Deployment) Origin() Origin { return d.origin }

// Change returns the change that wrote the revision.
func (d Deployment) Change() Change { return d.change }
