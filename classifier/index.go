package classifier

import (
	"net"
	"strings"
	"sync/atomic"
	"time"

	"burdocklane/descriptor"
)

// Result is what became of a request: Matched or Unmatched.
type Result interface{ result() }

// Matched carries the call that the request stands for.
type Matched struct{ call Call }

// Unmatched says that no class matches the request.
type Unmatched struct{}

func (Matched) result()   {}
func (Unmatched) result() {}

// Call returns the call.
func (m Matched) Call() Call { return m.call }

// entry is a class with the services that take its calls.
type entry struct {
	class *descriptor.Class
	split *split
}

// split deals calls out to services in proportion to their weights.
type split struct {
	services []*descriptor.Service
	until    []float64 // The end of each service's part of 0 to 1.
	turn     atomic.Uint64
}

// goldenRatio spreads the turns evenly over 0 to 1, whatever the weights: each
// part gets its share within a few calls of any run of turns.
const goldenRatio = 0.6180339887498949

func (s *split) next() *descriptor.Service {
	if len(s.services) == 1 {
		return s.services[0]
	}
	at := float64(s.turn.Add(1)) * goldenRatio
	at -= float64(uint64(at))
	for i, until := range s.until {
		if at < until {
			return s.services[i]
		}
	}
	return s.services[len(s.services)-1]
}

// Index finds the class of a request by its host and the longest path prefix.
// Its tables are immutable; a look-up takes time in proportion to the length
// of the path.
type Index struct {
	hosts map[string]map[string][]entry // By host, "" for any, and by path.
}

// NewIndex returns an index of the classes of all services and of the routes.
// A route that names a service unknown to the deployment is left out.
func NewIndex(d descriptor.Deployment) *Index {
	x := &Index{hosts: map[string]map[string][]entry{}}
	services := make(map[descriptor.ServiceName]*descriptor.Service, len(d.Services()))
	for i := range d.Services() {
		service := &d.Services()[i]
		services[service.Name()] = service
		for j := range service.Classes() {
			x.add("", &service.Classes()[j], &split{services: []*descriptor.Service{service}})
		}
	}
	for _, route := range d.Routes() {
		class := route.Class()
		if s := newSplit(route.Parts(), services); s != nil {
			x.add(strings.ToLower(route.Host()), &class, s)
		}
	}
	return x
}

func newSplit(parts []descriptor.Part, services map[descriptor.ServiceName]*descriptor.Service) *split {
	total := 0
	for _, part := range parts {
		total += part.Weight()
	}
	s := &split{}
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
		s.until = append(s.until, float64(sum)/float64(total))
	}
	if len(s.services) == 0 {
		return nil
	}
	return s
}

func (x *Index) add(host string, class *descriptor.Class, s *split) {
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

// Classify returns the call that the request stands for, or Unmatched. Routes
// of the request's host go before classes that take every host.
func (x *Index) Classify(h Head, now time.Time) Result {
	for _, host := range [...]string{hostName(h.host), ""} {
		if e, ok := find(x.hosts[host], h); ok {
			return Matched{call: newCall(h, e, now)}
		}
	}
	return Unmatched{}
}

// hostName returns the host in lower case and without a port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

func find(paths map[string][]entry, h Head) (entry, bool) {
	if len(paths) == 0 {
		return entry{}, false
	}
	path := strings.TrimSuffix(h.path, "/")
	for {
		if e, ok := match(paths[path], h); ok {
			return e, true
		}
		if path == "" {
			return entry{}, false
		}
		path = path[:strings.LastIndexByte(path, '/')+1]
		path = strings.TrimSuffix(path, "/")
	}
}

// match prefers a class that names the method to one that takes any.
func match(entries []entry, h Head) (entry, bool) {
	var anyMethod entry
	for _, e := range entries {
		if _, ok := e.class.MatchLength(h.method, h.path); !ok {
			continue
		}
		if !e.class.AnyMethod() {
			return e, true
		}
		anyMethod = e
	}
	return anyMethod, anyMethod.class != nil
}

func newCall(h Head, e entry, now time.Time) Call {
	timeout := e.class.Deadline()
	if h.timeout > 0 && h.timeout < timeout {
		timeout = h.timeout
	}
	call := NewCall(h.id, e.split.next(), e.class, now, now.Add(timeout))
	call.caller = h.caller
	call.idempotencyKey = h.idempotencyKey
	return call
}
