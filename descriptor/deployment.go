package descriptor

import (
	"slices"
	"time"
)

// Service is a group of workers that serve the same classes of work.
type Service struct {
	name    ServiceName
	classes []Class
	notRun  []int
	health  string
}

// NewService returns a service. A worker that answers with one of the notRun
// statuses has, by its contract, not run the request.
func NewService(name ServiceName, classes []Class, notRun []int) Service {
	return Service{name: name, classes: slices.Clone(classes), notRun: slices.Clone(notRun)}
}

// WithHealthPath returns a copy of s whose workers answer status checks on the
// path.
func (s Service) WithHealthPath(path string) Service {
	s.health = path
	return s
}

// HealthPath returns the path of status checks, or "" if there are none.
func (s Service) HealthPath() string { return s.health }

// Name returns the name of the service.
func (s Service) Name() ServiceName { return s.name }

// Classes returns the classes. The caller must not change the slice.
func (s Service) Classes() []Class { return s.classes }

// NotRunStatuses returns a copy of the statuses that promise "not run".
func (s Service) NotRunStatuses() []int { return slices.Clone(s.notRun) }

// NotRun tells whether a worker's answer with the status promises that the
// request has not run.
func (s Service) NotRun(status int) bool { return slices.Contains(s.notRun, status) }

// Change says who made a revision, when, and by which operation.
type Change struct {
	id     string
	author string
	at     time.Time
}

// NewChange returns the record of one operator's change. The ID is unique for
// each attempt to change the configuration.
func NewChange(id, author string, at time.Time) Change {
	return Change{id: id, author: author, at: at}
}

// ID returns the unique ID of the change.
func (c Change) ID() string { return c.id }

// Author returns the name of the operator who made the change.
func (c Change) Author() string { return c.author }

// At returns the operator's wall-clock time of the change.
func (c Change) At() time.Time { return c.at }

// Deployment is the whole of what operators declare.
type Deployment struct {
	name      string
	measuring Measuring
	services  []Service
	routes    []Route
	bounds    Bounds
	revision  Revision
	change    Change
}

// NewDeployment returns a deployment without a revision.
func NewDeployment(name string, measuring Measuring, services []Service) Deployment {
	return Deployment{name: name, measuring: measuring, services: slices.Clone(services)}
}

// WithRevision returns a copy of d as it was accepted by the store.
func (d Deployment) WithRevision(r Revision, c Change) Deployment {
	d.revision, d.change = r, c
	return d
}

// WithRoutes returns a copy of d with routes beside the services' own classes.
func (d Deployment) WithRoutes(routes []Route) Deployment {
	d.routes = slices.Clone(routes)
	return d
}

// WithBounds returns a copy of d with bounds for callers' requests.
func (d Deployment) WithBounds(b Bounds) Deployment {
	d.bounds = b
	return d
}

// Routes returns the routes. The caller must not change the slice.
func (d Deployment) Routes() []Route { return d.routes }

// Bounds returns the bounds of callers' requests.
func (d Deployment) Bounds() Bounds { return d.bounds }

// Name returns the name of the deployment.
func (d Deployment) Name() string { return d.name }

// Measuring returns the budget for measuring.
func (d Deployment) Measuring() Measuring { return d.measuring }

// Services returns the services. The caller must not change the slice.
func (d Deployment) Services() []Service { return d.services }

// Revision returns the store's revision, or 0 for a deployment never accepted.
func (d Deployment) Revision() Revision { return d.revision }

// Change returns who made the revision and when.
func (d Deployment) Change() Change { return d.change }
