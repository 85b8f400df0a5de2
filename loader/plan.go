// Package loader sends open-loop load: calls start at times drawn beforehand,
// whatever became of the earlier ones, and their latency counts from there.
package loader

import (
	"time"
)

// Shot is one kind of call in the load.
type Shot struct {
	method string
	path   string
	target time.Duration
	weight int
	body   int
	answer int
}

// NewShot returns a kind of call with a target latency and its weight in the
// mix.
func NewShot(method, path string, target time.Duration, weight int) Shot {
	return Shot{method: method, path: path, target: target, weight: weight}
}

// WithSizes sets the bytes of the request's and of the answer's body.
func (s Shot) WithSizes(body, answer int) Shot {
	s.body, s.answer = body, answer
	return s
}

// Plan says how much of what is sent where, and for how long.
type Plan struct {
	targets  func() []string
	shots    []Shot
	rate     float64
	duration time.Duration
	seed     uint64
	burst    Burst
	observe  func(Outcome)
	prefix   string
}

// Burst multiplies the rate for a while.
type Burst struct {
	at     time.Duration
	length time.Duration
	factor float64
}

// NewBurst returns a burst that starts at a time into the load.
func NewBurst(at, length time.Duration, factor float64) Burst {
	return Burst{at: at, length: length, factor: factor}
}

// Option sets one property of a Plan.
type Option func(*Plan)

// WithSeed sets the seed of the arrival times and of the mix.
func WithSeed(seed uint64) Option { return func(p *Plan) { p.seed = seed } }

// WithBurst multiplies the rate for a while.
func WithBurst(b Burst) Option { return func(p *Plan) { p.burst = b } }

// WithObserver is told of each call's outcome, from several goroutines.
func WithObserver(observe func(Outcome)) Option { return func(p *Plan) { p.observe = observe } }

// WithPrefix sets how the request IDs begin.
func WithPrefix(prefix string) Option { return func(p *Plan) { p.prefix = prefix } }

// WithTargets asks for the targets anew for each call, as a balancer does that
// follows the instances' readiness. There must always be one.
func WithTargets(targets func() []string) Option { return func(p *Plan) { p.targets = targets } }

// NewPlan returns a plan of calls a second to the targets, host:port, which
// are drawn at random as the platform's balancer does.
func NewPlan(targets []string, shots []Shot, rate float64, duration time.Duration, opts ...Option) Plan {
	p := Plan{targets: func() []string { return targets }, shots: shots, rate: rate, duration: duration, seed: 1, prefix: "load", observe: func(Outcome) {}}
	for _, opt := range opts {
		opt(&p)
	}
	return p
}
