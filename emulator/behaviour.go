package emulator

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Behaviour sets the service times and the injected faults of an emulated
// worker.
type Behaviour struct {
	mean         time.Duration
	sigma        float64
	slowFactor   float64
	slowFraction float64
	slowPeriod   time.Duration
	coldPeriod   time.Duration
	failureRate  float64
	queue        int
	shed         bool
	draining     bool
	abortRate    float64
}

// BehaviourOption sets one property of a Behaviour.
type BehaviourOption func(*Behaviour)

// WithServiceTime sets the mean and the sigma of the log-normal service time.
func WithServiceTime(mean time.Duration, sigma float64) BehaviourOption {
	return func(b *Behaviour) { b.mean, b.sigma = mean, sigma }
}

// WithNoisyNeighbour emulates a noisy neighbour: service times are multiplied by factor
// for the given fraction of the time, in slow periods whose mean length is
// period.
func WithNoisyNeighbour(factor, fraction float64, period time.Duration) BehaviourOption {
	return func(b *Behaviour) { b.slowFactor, b.slowFraction, b.slowPeriod = factor, fraction, period }
}

// WithColdStart makes the worker slow for the given time after its start.
func WithColdStart(d time.Duration) BehaviourOption { return func(b *Behaviour) { b.coldPeriod = d } }

// WithFailureRate makes a fraction of the calls fail immediately with status 500.
func WithFailureRate(rate float64) BehaviourOption {
	return func(b *Behaviour) { b.failureRate = rate }
}

// WithAbortRate aborts the connection of a fraction of the calls after they ran.
func WithAbortRate(rate float64) BehaviourOption { return func(b *Behaviour) { b.abortRate = rate } }

// WithQueue sets how many calls may wait for a slot. With shed, calls beyond
// that are rejected with status 503 before they run; without, they wait too.
func WithQueue(calls int, shed bool) BehaviourOption {
	return func(b *Behaviour) { b.queue, b.shed = calls, shed }
}

// WithDraining sets the drain header on each response, which announces that the
// worker is leaving.
func WithDraining() BehaviourOption { return func(b *Behaviour) { b.draining = true } }

// NewBehaviour returns the behaviour of a healthy worker, changed by opts.
func NewBehaviour(opts ...BehaviourOption) Behaviour {
	b := Behaviour{mean: 10 * time.Millisecond, sigma: 0.5, slowFactor: 1, queue: 64}
	for _, opt := range opts {
		opt(&b)
	}
	return b
}

// coldSlowdown multiplies the service times of a worker that has just started.
const coldSlowdown = 5

// serviceTime draws a service time from a log-normal distribution with the mean
// b.mean.
func (b Behaviour) serviceTime(slow bool, age time.Duration) time.Duration {
	if b.mean <= 0 {
		return 0
	}
	mu := math.Log(float64(b.mean)) - b.sigma*b.sigma/2
	d := math.Exp(mu + b.sigma*rand.NormFloat64())
	if slow {
		d *= b.slowFactor
	}
	if age < b.coldPeriod {
		d *= coldSlowdown
	}
	return time.Duration(d)
}

// noise alternates a worker between fast and slow periods of exponentially
// distributed length.
type noise struct {
	slow   atomic.Bool
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newNoise(b Behaviour) *noise {
	ctx, cancel := context.WithCancel(context.Background())
	n := &noise{cancel: cancel}
	if b.slowFraction <= 0 || b.slowPeriod <= 0 {
		return n
	}
	n.done.Go(func() { n.run(ctx, b) })
	return n
}

func (n *noise) run(ctx context.Context, b Behaviour) {
	fast := time.Duration(float64(b.slowPeriod) * (1 - b.slowFraction) / b.slowFraction)
	n.slow.Store(rand.Float64() < b.slowFraction)
	for {
		mean := fast
		if n.slow.Load() {
			mean = b.slowPeriod
		}
		timer := time.NewTimer(time.Duration(rand.ExpFloat64() * float64(mean)))
		select {
		case <-timer.C:
			n.slow.Store(!n.slow.Load())
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

func (n *noise) close() {
	n.cancel()
	n.done.Wait()
}
