package descriptor

import "slices"

// WeightedService is a service that receives a weighted share of a route's calls.
type WeightedService struct {
	service ServiceName
	weight  int
}

// NewWeightedService returns a service with its weight. The service's share of the calls
// is its weight divided by the sum of the route's weights.
func NewWeightedService(service ServiceName, weight int) WeightedService {
	return WeightedService{service: service, weight: weight}
}

// Service returns the service that receives the calls.
func (p WeightedService) Service() ServiceName { return p.service }

// Weight returns the service's weight relative to the route's other services.
func (p WeightedService) Weight() int { return p.weight }

// Route maps requests for a host to services, independently of the classes that
// the services declare themselves. Its class holds the path prefixes.
type Route struct {
	host             string
	class            Class
	weightedServices []WeightedService
}

// NewRoute returns a route for the host. The empty host matches every host.
func NewRoute(host string, class Class, weightedServices ...WeightedService) Route {
	return Route{host: host, class: class, weightedServices: slices.Clone(weightedServices)}
}

// Host returns the host that matches, or "" if every host does.
func (r Route) Host() string { return r.host }

// Class returns the request class of the route.
func (r Route) Class() Class { return r.class }

// WeightedServices returns the weighted services of the route. The caller must not modify
// the slice.
func (r Route) WeightedServices() []WeightedService { return r.weightedServices }
