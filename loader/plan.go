// Package loader generates open-loop load: calls start at times that don't
// depend on the responses to earlier calls, and their latency is measured from
// the intended start.
package loader

import (
	"time"
)

// CallType is one type of call in the load.
type CallType struct {
	method        string
	path          string
	targetLatency time.Duration
	weight        int
	requestBytes  int
	responseBytes int
}

// NewCallType returns a type of call with its target latency and its weight in the
// mix.
func NewCallType(method, path string, targetLatency time.Duration, weight int) CallType {
	return CallType{method: method, path: path, targetLatency: targetLatency, weight: weight}
}

// WithSizes sets the sizes of the request body and of the response body.
func (s CallType) WithSizes(requestBytes, responseBytes int) CallType {
	s.requestBytes, s.responseBytes = requestBytes, responseBytes
	return s
}

// Plan defines the types, rate, targets and duration of a load.
type Plan struct {
	targets   func() []string
	callTypes []CallType
	rate      float64
	duration  time.Duration
	seed      uint64
	burst     Burst
	observe   func(Outcome)
	prefix    string
}

// Burst multiplies the rate of the load for a limited time.
type Burst struct {
	at     time.Duration
	length time.Duration
	factor float64
}

// NewBurst returns a burst that starts at a time relative to the load's start.
func NewBurst(at, length time.Duration, factor float64) Burst {
	return Burst{at: at, length: length, factor: factor}
}

// Option sets one property of a Plan.
type Option func(*Plan)

// WithSeed sets the random seed of the arrival times, call types and targets.
func WithSeed(seed uint64) Option { return func(p *Plan) { p.seed = seed } }

// WithBurst adds a burst to the load.
func WithBurst(b Burst) Option { return func(p *Plan) { p.burst = b } }

// WithObserver sets a function that is called with the outcome of each call, from
// another goroutine than the one that calls Run.
func WithObserver(observe func(Outcome)) Option { return func(p *Plan) { p.observe = observe } }

// WithPrefix sets the prefix of the request IDs.
func WithPrefix(prefix string) Option { return func(p *Plan) { p.prefix = prefix } }

// WithTargets sets a function that returns the current targets for each call, as
// a load balancer does that follows the instances' readiness. It must return at
// least one.
func WithTargets(targets func() []string) Option { return func(p *Plan) { p.targets = targets } }

// NewPlan returns a plan that sends rate calls per second to the targets, each a
// host:port. They are chosen at random, as the platform's load balancer does.
func NewPlan(targets []string, callTypes []CallType, rate float64, duration time.Duration, opts ...Option) Plan {
	p := Plan{targets: func() []string { return targets }, callTypes: callTypes, rate: rate, duration: duration, seed: 1, prefix: "load", observe: func(Outcome) {}}
	for _, opt := range opts {
		opt(&p)
	}
	return p
}
