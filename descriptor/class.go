package descriptor

import (
	"slices"
	"strings"
	"time"
)

// Class is a class of requests to a service: which requests match it, whether
// they may be executed more than once, and their latency target.
type Class struct {
	name              ClassName
	methods           []string
	paths             []string
	callSemantics     CallSemantics
	target            Target
	deadline          time.Duration
	maxAttempts       int
	priority          int
	retryServerErrors bool
	public            bool
	regions           Regions
}

// ClassOption configures a Class.
type ClassOption func(*Class)

// WithMethods limits a class to the given HTTP methods. Without any, every
// method matches.
func WithMethods(methods ...string) ClassOption {
	return func(c *Class) { c.methods = slices.Clone(methods) }
}

// WithPaths sets the path prefixes that match a class.
func WithPaths(paths ...string) ClassOption {
	return func(c *Class) { c.paths = slices.Clone(paths) }
}

// WithCallSemantics sets whether calls may be executed more than once. The default is
// AtMostOnce.
func WithCallSemantics(r CallSemantics) ClassOption { return func(c *Class) { c.callSemantics = r } }

// WithTarget sets the latency target of a class.
func WithTarget(t Target) ClassOption { return func(c *Class) { c.target = t } }

// WithDeadline sets the timeout of a call. A caller may ask for a shorter one.
func WithDeadline(d time.Duration) ClassOption { return func(c *Class) { c.deadline = d } }

// WithMaxAttempts limits how many workers one call may be sent to. With 0, the
// instance's own limit applies.
func WithMaxAttempts(limit int) ClassOption { return func(c *Class) { c.maxAttempts = limit } }

// WithServerErrorRetries allows an idempotent call that a worker answered with
// an internal server error to be retried on another worker.
func WithServerErrorRetries() ClassOption { return func(c *Class) { c.retryServerErrors = true } }

// WithPriority sets the priority of the class among those of its service; 0 is
// the highest.
func WithPriority(rank int) ClassOption { return func(c *Class) { c.priority = rank } }

// WithPublicAccess lets callers of the class omit the API key of a tenant.
func WithPublicAccess() ClassOption { return func(c *Class) { c.public = true } }

// WithRegions limits where calls of the class may be processed.
func WithRegions(r Regions) ClassOption { return func(c *Class) { c.regions = r } }

// NewClass returns a class with the given options. Its calls are AtMostOnce
// unless an option says otherwise.
func NewClass(name ClassName, opts ...ClassOption) Class {
	c := Class{name: name, callSemantics: AtMostOnce{}}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}

// Name returns the name of the class, unique within its service.
func (c Class) Name() ClassName { return c.name }

// Methods returns a copy of the HTTP methods that match; empty means all.
func (c Class) Methods() []string { return slices.Clone(c.methods) }

// MatchesAnyMethod reports whether the class matches every HTTP method.
func (c Class) MatchesAnyMethod() bool { return len(c.methods) == 0 }

// Paths returns a copy of the path prefixes that match.
func (c Class) Paths() []string { return slices.Clone(c.paths) }

// CallSemantics returns whether calls of the class may be executed more than once.
func (c Class) CallSemantics() CallSemantics { return c.callSemantics }

// Target returns the latency target of the class.
func (c Class) Target() Target { return c.target }

// Deadline returns the timeout of a call.
func (c Class) Deadline() time.Duration { return c.deadline }

// MaxAttempts returns how many workers one call may be sent to, or 0 if the class
// sets no limit.
func (c Class) MaxAttempts() int { return c.maxAttempts }

// RetriesServerErrors reports whether an idempotent call that a worker answered
// with an internal server error is retried on another worker.
func (c Class) RetriesServerErrors() bool { return c.retryServerErrors }

// Priority returns the priority of the class among those of its service; 0 is
// the highest.
func (c Class) Priority() int { return c.priority }

// IsPublic reports whether callers need no API key.
func (c Class) IsPublic() bool { return c.public }

// Regions returns where calls of the class may be processed.
func (c Class) Regions() Regions { return c.regions }

// MatchLength returns the length of the longest path prefix that matches the
// request. It returns false if the method or the path does not match. A prefix
// matches whole path segments only.
func (c Class) MatchLength(method, path string) (int, bool) {
	if len(c.methods) > 0 && !slices.Contains(c.methods, method) {
		return 0, false
	}
	longest, found := 0, false
	for _, prefix := range c.paths {
		if hasSegmentPrefix(path, prefix) && len(prefix) >= longest {
			longest, found = len(prefix), true
		}
	}
	return longest, found
}

// hasSegmentPrefix reports whether prefix consists of whole leading segments of
// path.
func hasSegmentPrefix(path, prefix string) bool {
	remainder, ok := strings.CutPrefix(path, prefix)
	return ok && (remainder == "" || remainder[0] == '/' || strings.HasSuffix(prefix, "/"))
}
