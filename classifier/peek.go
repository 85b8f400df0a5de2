package classifier

import (
	"time"

	"burdocklane/descriptor"
)

// Peeked is what the next request of its kind would match. Unlike a classification, it takes
// no turn in the split of a route.
type Peeked struct {
	host   string
	call   Call
	shares []Share
}

// Share is the share of a route's calls that a service gets, from 0 to 1.
type Share struct {
	service descriptor.ServiceName
	ratio   float64
}

// Host returns the host of the matching route, or "" if it matches any host.
func (p Peeked) Host() string { return p.host }

// Call returns the call, with the service whose turn it is.
func (p Peeked) Call() Call { return p.call }

// Shares returns the shares of all services of the route.
func (p Peeked) Shares() []Share { return p.shares }

// Service returns the name of the service.
func (s Share) Service() descriptor.ServiceName { return s.service }

// Ratio returns the share, from 0 to 1.
func (s Share) Ratio() float64 { return s.ratio }

// Peek returns what Classify would return next for the request, and false if no class
// matches. It changes nothing.
func (x *Index) Peek(r Request, now time.Time) (Peeked, bool) {
	host, e, ok := x.find(r)
	if !ok {
		return Peeked{}, false
	}
	service := e.split.services[0]
	if len(e.split.services) > 1 {
		service = e.split.serviceAt(e.split.sequence.Load() + 1)
	}
	p := Peeked{host: host, call: newCall(r, e, service, now)}
	begin := 0.0
	for i, s := range e.split.services {
		end := 1.0
		if i < len(e.split.upperBounds) {
			end = e.split.upperBounds[i]
		}
		p.shares = append(p.shares, Share{service: s.Name(), ratio: end - begin})
		begin = end
	}
	return p, true
}

// Match returns a call of the class that Classify matches the request to, for the first
// service of its route, and false if no class matches. It changes nothing.
func (x *Index) Match(r Request, now time.Time) (Call, bool) {
	_, e, ok := x.find(r)
	if !ok {
		return Call{}, false
	}
	return newCall(r, e, e.split.services[0], now), true
}
