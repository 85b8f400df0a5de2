package descriptor

import "slices"

// Part is one service's share of the calls of a route.
type Part struct {
	service ServiceName
	weight  int
}

// NewPart returns a service's share of a route, in proportion to the weights
// of the route's other parts.
func NewPart(service ServiceName, weight int) Part { return Part{service: service, weight: weight} }

// Service returns the service that takes the calls.
func (p Part) Service() ServiceName { return p.service }

// Weight returns the share in proportion to the other parts.
func (p Part) Weight() int { return p.weight }

// Route sends the requests of a host to services other than by the classes
// that the services declare themselves. The paths are those of its class.
type Route struct {
	host  string
	class Class
	parts []Part
}

// NewRoute returns a route for the host, "" for every host.
func NewRoute(host string, class Class, parts ...Part) Route {
	return Route{host: host, class: class, parts: slices.Clone(parts)}
}

// Host returns the host, or "" for every host.
func (r Route) Host() string { return r.host }

// Class returns the class of the route's calls.
func (r Route) Class() Class { return r.class }

// Parts returns the services of the route. The caller must not change the slice.
func (r Route) Parts() []Part { return r.parts }
