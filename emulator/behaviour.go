package emulator

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Behaviour is how a stand-in worker serves and misbehaves.
type Behaviour struct {
	mean       time.Duration
	sigma      float64
	slowFactor float64
	slowShare  float64
	slowSpell  time.Duration
	cold       time.Duration
	failShare  float64
	queue      int
	shed       bool
	draining   bool
	cutShare   float64
}

// BehaviourOption sets one property of a Behaviour.
type BehaviourOption func(*Behaviour)

// WithService sets the log-normal service time by its mean and sigma.
func WithService(mean time.Duration, sigma float64) BehaviourOption {
	return func(b *Behaviour) { b.mean, b.sigma = mean, sigma }
}

// WithNoise slows the worker by the factor for the share of the time, in
// spells of the mean length.
func WithNoise(factor, share float64, spell time.Duration) BehaviourOption {
	return func(b *Behaviour) { b.slowFactor, b.slowShare, b.slowSpell = factor, share, spell }
}

// WithCold makes the worker slow at first, for the time.
func WithCold(d time.Duration) BehaviourOption { return func(b *Behaviour) { b.cold = d } }

// WithFailures lets the share of the calls fail at once.
func WithFailures(share float64) BehaviourOption {
	return func(b *Behaviour) { b.failShare = share }
}

// WithCuts lets the share of the calls lose their connection after they ran.
func WithCuts(share float64) BehaviourOption { return func(b *Behaviour) { b.cutShare = share } }

// WithQueue sets how many calls wait for a slot; with shed, more are declined
// with 503 before they run, and else they wait too.
func WithQueue(calls int, shed bool) BehaviourOption {
	return func(b *Behaviour) { b.queue, b.shed = calls, shed }
}

// WithDraining announces on each answer that the worker is leaving.
func WithDraining() BehaviourOption { return func(b *Behaviour) { b.draining = true } }

// NewBehaviour returns a healthy behaviour with the given changes.
func NewBehaviour(opts ...BehaviourOption) Behaviour {
	b := Behaviour{mean: 10 * time.Millisecond, sigma: 0.5, slowFactor: 1, queue: 64}
	for _, opt := range opts {
		opt(&b)
	}
	return b
}

// coldFactor slows the calls of a worker that has just started.
const coldFactor = 5

// serviceTime draws a log-normal time whose mean is b.mean.
func (b Behaviour) serviceTime(slow bool, age time.Duration) time.Duration {
	if b.mean <= 0 {
		return 0
	}
	mu := math.Log(float64(b.mean)) - b.sigma*b.sigma/2
	d := math.Exp(mu + b.sigma*rand.NormFloat64())
	if slow {
		d *= b.slowFactor
	}
	if age < b.cold {
		d *= coldFactor
	}
	return time.Duration(d)
}

// noise switches a worker between fast and slow spells of random length.
type noise struct {
	slow   atomic.Bool
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newNoise(b Behaviour) *noise {
	ctx, cancel := context.WithCancel(context.Background())
	n := &noise{cancel: cancel}
	if b.slowShare <= 0 || b.slowSpell <= 0 {
		return n
	}
	n.done.Go(func() { n.run(ctx, b) })
	return n
}

func (n *noise) run(ctx context.Context, b Behaviour) {
	fast := time.Duration(float64(b.slowSpell) * (1 - b.slowShare) / b.slowShare)
	n.slow.Store(rand.Float64() < b.slowShare)
	for {
		mean := fast
		if n.slow.Load() {
			mean = b.slowSpell
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
