package classifier

import (
	"net"
	"strings"
	"sync/atomic"
	"time"

	"burdocklane/descriptor"
)

// Result is the result of a classification: [Matched] or [Unmatched].
type Result interface{ result() }

// Matched holds the call for a request that matches a class.
type Matched struct{ call Call }

// Unmatched means that no class matches the request.
type Unmatched struct{}

func (Matched) result()   {}
func (Unmatched) result() {}

// Call returns the call for the request.
func (m Matched) Call() Call { return m.call }

// entry is a class with the services that its calls are split between.
type entry struct {
	class *descriptor.Class
	split *weightedSplit
}

// weightedSplit distributes calls over services in proportion to their weights.
type weightedSplit struct {
	services    []*descriptor.Service
	upperBounds []float64 // The end of each service's interval within 0 to 1.
	sequence    atomic.Uint64
}

// goldenRatioFraction times the call number, modulo 1, is a low-discrepancy sequence:
// it covers 0 to 1 evenly, so that whatever the weights, each service gets its share
// within any few calls.
const goldenRatioFraction = 0.6180339887498949

func (s *weightedSplit) nextService() *descriptor.Service {
	if len(s.services) == 1 {
		return s.services[0]
	}
	return s.serviceAt(s.sequence.Add(1))
}

// serviceAt returns the service of the call with the number.
func (s *weightedSplit) serviceAt(number uint64) *descriptor.Service {
	position := float64(number) * goldenRatioFraction
	position -= float64(uint64(position))
	for i, upperBound := range s.upperBounds {
		if position < upperBound {
			return s.services[i]
		}
	}
	return s.services[len(s.services)-1]
}

// Index finds the class of a request by its host and the longest matching path
// prefix. Its tables are immutable. A lookup takes time proportional to the length of
// the path.
type Index struct {
	hosts map[string]map[string][]entry // By host ("" matches any host) and by path.
}

// NewIndex returns an index of the classes of all services and of the routes.
// A route to a service that is not in the deployment is ignored.
func NewIndex(d descriptor.Deployment) *Index {
	x := &Index{hosts: map[string]map[string][]entry{}}
	services := make(map[descriptor.ServiceName]*descriptor.Service, len(d.Services()))
	for i := range d.Services() {
		service := &d.Services()[i]
		services[service.Name()] = service
		for j := range service.Classes() {
			x.add("", &service.Classes()[j], &weightedSplit{services: []*descriptor.Service{service}})
		}
	}
	for _, route := range d.Routes() {
		class := route.Class()
		if s := newWeightedSplit(route.WeightedServices(), services); s != nil {
			x.add(strings.ToLower(route.Host()), &class, s)
		}
	}
	return x
}

// newWeightedSplit returns the split of a route's calls, or nil if one of its services
// is unknown or no weight is positive.
func newWeightedSplit(parts []descriptor.WeightedService, services map[descriptor.ServiceName]*descriptor.Service) *weightedSplit {
	total := 0
	for _, part := range parts {
		total += part.Weight()
	}
	s := &weightedSplit{}
	sum := 0
	for _, part := range parts {
		service := services[part.Service()]
		if service == nil {
			return nil
		}
		if part.Weight() <= 0 {
			continue
		}
		sum += part.Weight()
		s.services = append(s.services, service)
		s.upperBounds = append(s.upperBounds, float64(sum)/float64(total))
	}
	if len(s.services) == 0 {
		return nil
	}
	return s
}

func (x *Index) add(host string, class *descriptor.Class, s *weightedSplit) {
	paths := x.hosts[host]
	if paths == nil {
		paths = map[string][]entry{}
		x.hosts[host] = paths
	}
	for _, path := range class.Paths() {
		key := strings.TrimSuffix(path, "/")
		paths[key] = append(paths[key], entry{class: class, split: s})
	}
}

// Classify returns the call for the request, or [Unmatched]. Routes for the request's
// host take precedence over classes that match any host.
func (x *Index) Classify(r Request, now time.Time) Result {
	if _, e, ok := x.find(r); ok {
		return Matched{call: newCall(r, e, e.split.nextService(), now)}
	}
	return Unmatched{}
}

// find returns the entry that matches the request, and the host of its route or "".
func (x *Index) find(r Request) (string, entry, bool) {
	for _, host := range [...]string{normalizeHost(r.host), ""} {
		if e, ok := longestMatch(x.hosts[host], r); ok {
			return host, e, true
		}
	}
	return "", entry{}, false
}

// normalizeHost returns the host in lower case without its port.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// longestMatch returns the entry with the longest path prefix that matches the
// request.
func longestMatch(paths map[string][]entry, r Request) (entry, bool) {
	if len(paths) == 0 {
		return entry{}, false
	}
	path := strings.TrimSuffix(r.path, "/")
	for {
		if e, ok := matchMethod(paths[path], r); ok {
			return e, true
		}
		if path == "" {
			return entry{}, false
		}
		path = path[:strings.LastIndexByte(path, '/')+1]
		path = strings.TrimSuffix(path, "/")
	}
}

// matchMethod returns the matching entry, preferring a class that names the method to
// one that accepts any.
func matchMethod(entries []entry, r Request) (entry, bool) {
	var anyMethod entry
	for _, e := range entries {
		if _, ok := e.class.MatchLength(r.method, r.path); !ok {
			continue
		}
		if !e.class.MatchesAnyMethod() {
			return e, true
		}
		anyMethod = e
	}
	return anyMethod, anyMethod.class != nil
}

// newCall returns the call for a request that matched the entry. The caller's timeout
// can shorten the class's deadline but not extend it.
func newCall(r Request, e entry, service *descriptor.Service, now time.Time) Call {
	timeout := e.class.Deadline()
	if r.timeout > 0 && r.timeout < timeout {
		timeout = r.timeout
	}
	call := NewCall(r.id, service, e.class, now, now.Add(timeout))
	call.caller = r.caller
	call.idempotencyKey = r.idempotencyKey
	call.timeout = r.timeout
	return call
}
