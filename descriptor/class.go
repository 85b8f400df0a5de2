package descriptor

import (
	"slices"
	"strings"
	"time"
)

// Class is a kind of work within a service: how its requests are recognised,
// whether they may repeat, and the target that they have to meet.
type Class struct {
	name     ClassName
	methods  []string
	paths    []string
	repeat   Repeat
	target   Target
	deadline time.Duration
	attempts int
	priority int
	resends  bool
}

// ClassOption sets one property of a Class.
type ClassOption func(*Class)

// WithMethods limits a class to the given HTTP methods. None means every method.
func WithMethods(methods ...string) ClassOption {
	return func(c *Class) { c.methods = slices.Clone(methods) }
}

// WithPaths sets the path prefixes of a class.
func WithPaths(paths ...string) ClassOption {
	return func(c *Class) { c.paths = slices.Clone(paths) }
}

// WithRepeat says whether calls may repeat. The default is AtMostOnce.
func WithRepeat(r Repeat) ClassOption { return func(c *Class) { c.repeat = r } }

// WithTarget sets the target of a class.
func WithTarget(t Target) ClassOption { return func(c *Class) { c.target = t } }

// WithDeadline sets the time after which a call is given up, unless the
// caller asks for less.
func WithDeadline(d time.Duration) ClassOption { return func(c *Class) { c.deadline = d } }

// WithAttempts bounds the workers that one call may be sent to; 0 leaves it to
// the instance.
func WithAttempts(most int) ClassOption { return func(c *Class) { c.attempts = most } }

// WithServerErrorRetries lets an idempotent call that a worker failed with an
// error of its own be sent to another.
func WithServerErrorRetries() ClassOption { return func(c *Class) { c.resends = true } }

// WithPriority ranks the class among the others of its service; 0 is the most
// urgent.
func WithPriority(rank int) ClassOption { return func(c *Class) { c.priority = rank } }

// NewClass returns a class with the given options.
func NewClass(name ClassName, opts ...ClassOption) Class {
	c := Class{name: name, repeat: AtMostOnce{}}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}

// Name returns the name of the class within its service.
func (c Class) Name() ClassName { return c.name }

// Methods returns a copy of the HTTP methods; empty means every method.
func (c Class) Methods() []string { return slices.Clone(c.methods) }

// AnyMethod tells whether the class takes every HTTP method.
func (c Class) AnyMethod() bool { return len(c.methods) == 0 }

// Paths returns a copy of the path prefixes.
func (c Class) Paths() []string { return slices.Clone(c.paths) }

// Repeat says whether calls of the class may run more than once.
func (c Class) Repeat() Repeat { return c.repeat }

// Target returns the outcome that is asked of the class.
func (c Class) Target() Target { return c.target }

// Deadline returns the longest time that a call may take.
func (c Class) Deadline() time.Duration { return c.deadline }

// Attempts bounds the workers that one call may be sent to; 0 means that the
// class sets no bound.
func (c Class) Attempts() int { return c.attempts }

// RetriesServerErrors tells whether an idempotent call that a worker failed with
// an error of its own is sent to another.
func (c Class) RetriesServerErrors() bool { return c.resends }

// Priority ranks the class among the others of its service; 0 is the most
// urgent.
func (c Class) Priority() int { return c.priority }

// MatchLength returns the length of the longest path prefix that matches the
// request, and false if the method or the path does not match. A prefix
// matches whole path segments only.
func (c Class) MatchLength(method, path string) (int, bool) {
	if len(c.methods) > 0 && !slices.Contains(c.methods, method) {
		return 0, false
	}
	best, found := 0, false
	for _, prefix := range c.paths {
		if hasSegments(path, prefix) && len(prefix) >= best {
			best, found = len(prefix), true
		}
	}
	return best, found
}

func hasSegments(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}
