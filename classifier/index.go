package classifier

import (
	"strings"
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

type entry struct {
	service *descriptor.Service
	class   *descriptor.Class
}

// Index finds the class of a request by the longest path prefix. It is
// immutable; its look-up takes time in proportion to the length of the path.
type Index struct {
	entries map[string][]entry
}

// NewIndex returns an index of the classes of all services.
func NewIndex(d descriptor.Deployment) *Index {
	x := &Index{entries: map[string][]entry{}}
	for i := range d.Services() {
		service := &d.Services()[i]
		for j := range service.Classes() {
			class := &service.Classes()[j]
			for _, path := range class.Paths() {
				key := strings.TrimSuffix(path, "/")
				x.entries[key] = append(x.entries[key], entry{service: service, class: class})
			}
		}
	}
	return x
}

// Classify returns the call that the request stands for, or Unmatched.
func (x *Index) Classify(h Head, now time.Time) Result {
	path := strings.TrimSuffix(h.path, "/")
	for {
		if e, ok := x.match(h, path); ok {
			return Matched{call: newCall(h, e, now)}
		}
		if path == "" {
			return Unmatched{}
		}
		path = path[:strings.LastIndexByte(path, '/')+1]
		path = strings.TrimSuffix(path, "/")
	}
}

// match prefers a class that names the method to one that takes any.
func (x *Index) match(h Head, prefix string) (entry, bool) {
	var anyMethod entry
	for _, e := range x.entries[prefix] {
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
	call := NewCall(h.id, e.service, e.class, now, now.Add(timeout))
	call.caller = h.caller
	call.idempotencyKey = h.idempotencyKey
	return call
}
