package bencher

import (
	"context"
	"sync"
	"time"

	"burdocklane/emulator"
	"burdocklane/launcher"
	"burdocklane/loader"
	"burdocklane/registrar"
	"burdocklane/sleeper"
)

// Scenario is a way for the workers' load to shift.
type Scenario struct {
	name      string
	load      float64
	behaviour func(worker int, s scale) emulator.Behaviour
	event     func(ctx context.Context, r *rig, window time.Duration)
	burst     bool
	capacity  float64
	lying     bool
}

// scale stretches the brief's times, so that the machine carries the sizes.
type scale struct{ factor float64 }

func (s scale) of(d time.Duration) time.Duration { return time.Duration(float64(d) * s.factor) }

const (
	serviceMean  = 10 * time.Millisecond
	serviceSigma = 0.5
	slowFactor   = 4
	slowShare    = 0.15
	tenfold      = 10
	defaultLoad  = 0.7

	// noisyCapacity is what is left of a worker's throughput by slow spells that
	// are longer than a call, and flickerCapacity by shorter ones, which slow a
	// share of the calls.
	noisyCapacity   = 1 - slowShare + slowShare/slowFactor
	flickerCapacity = 1 / (1 + slowShare*(slowFactor-1))
)

func healthy(_ int, s scale) emulator.Behaviour {
	return emulator.NewBehaviour(emulator.WithService(s.of(serviceMean), serviceSigma))
}

func noisy(spell time.Duration) func(int, scale) emulator.Behaviour {
	return func(_ int, s scale) emulator.Behaviour {
		return emulator.NewBehaviour(emulator.WithService(s.of(serviceMean), serviceSigma),
			emulator.WithNoise(slowFactor, slowShare, s.of(spell)))
	}
}

// firstOf gives the first worker the special behaviour.
func firstOf(special func(s scale) emulator.Behaviour) func(int, scale) emulator.Behaviour {
	return func(worker int, s scale) emulator.Behaviour {
		if worker == 0 {
			return special(s)
		}
		return healthy(worker, s)
	}
}

// scenarios returns all scenarios, by the names that --scenario takes.
func scenarios() []Scenario {
	return []Scenario{
		{name: "steady", load: defaultLoad, behaviour: healthy},
		{name: "noisy-5ms", load: defaultLoad, capacity: flickerCapacity, behaviour: noisy(5 * time.Millisecond)},
		{name: "noisy-50ms", load: defaultLoad, capacity: noisyCapacity, behaviour: noisy(50 * time.Millisecond)},
		{name: "noisy-500ms", load: defaultLoad, capacity: noisyCapacity, behaviour: noisy(500 * time.Millisecond)},
		{name: "one-slow-10x", load: defaultLoad, behaviour: firstOf(func(s scale) emulator.Behaviour {
			return emulator.NewBehaviour(emulator.WithService(s.of(tenfold*serviceMean), serviceSigma))
		})},
		{name: "one-failing-fast", load: defaultLoad, behaviour: firstOf(func(s scale) emulator.Behaviour {
			return emulator.NewBehaviour(emulator.WithService(s.of(serviceMean), serviceSigma), emulator.WithFailures(1))
		})},
		{name: "rolling-drain", load: defaultLoad, behaviour: healthy, event: rollingDrain},
		{name: "cold-restart", load: defaultLoad, behaviour: healthy, event: coldRestart},
		{name: "burst-3x", load: 0.6, behaviour: healthy, burst: true},
		{name: "zone-loss", load: 0.5, behaviour: healthy, event: zoneLoss},
		{name: "lying-report", load: defaultLoad, capacity: noisyCapacity, behaviour: noisy(50 * time.Millisecond), lying: true},
		{name: "overload-2x", load: 2, behaviour: healthy},
	}
}

const (
	burstLength = 200 * time.Millisecond
	burstFactor = 3
	drainShare  = 4
)

// rate returns the calls a second that load the slots as the scenario asks.
func (s Scenario) rate(slots int, factor scale) float64 {
	capacity := s.capacity
	if capacity == 0 {
		capacity = 1
	}
	return s.load * capacity * float64(slots) / factor.of(serviceMean).Seconds()
}

func (s Scenario) burstAt(window time.Duration, factor scale) loader.Burst {
	if !s.burst {
		return loader.Burst{}
	}
	return loader.NewBurst(window/3, factor.of(burstLength), burstFactor)
}

// rollingDrain lets a quarter of the workers drain one after another: each is
// listed as leaving, and listed as live again later.
func rollingDrain(ctx context.Context, r *rig, window time.Duration) {
	count := len(r.workers) / drainShare
	for n := range count {
		r.list(ctx, r.workers[n], true)
		if !sleeper.Sleep(ctx, window/time.Duration(count+1)) {
			break
		}
		r.list(ctx, r.workers[n], false)
	}
}

// coldRestart lets a third of the workers run slow for the first half of the
// window, as after a restart.
func coldRestart(ctx context.Context, r *rig, window time.Duration) {
	const share = 3
	var set sync.WaitGroup
	for n := range len(r.workers) / share {
		set.Go(func() {
			r.workers[n].SetBehaviour(ctx, emulator.NewBehaviour( //nolint:errcheck // The result shows it.
				emulator.WithService(r.scale.of(3*serviceMean), serviceSigma)))
		})
	}
	set.Wait()
	sleeper.Sleep(ctx, window/2)
	for n := range len(r.workers) / share {
		r.workers[n].SetBehaviour(context.WithoutCancel(ctx), healthy(n, r.scale)) //nolint:errcheck // The result shows it.
	}
}

// zoneLoss freezes the workers of one availability zone for the middle of the
// window.
func zoneLoss(ctx context.Context, r *rig, window time.Duration) {
	sleeper.Sleep(ctx, window/4)
	zone := r.workers[0].Member().Place().Zone()
	var lost []*launcher.Worker
	for _, w := range r.workers {
		if w.Member().Place().Zone() == zone {
			w.Freeze()
			lost = append(lost, w)
		}
	}
	sleeper.Sleep(ctx, window/2)
	for _, w := range lost {
		w.Thaw()
	}
}

// list changes how a worker is listed, at the platforms of all policies.
func (r *rig) list(ctx context.Context, w *launcher.Worker, leaving bool) {
	m := w.Member()
	listed := registrar.NewWorker(m.ID(), m.Service(), m.Address(), m.Place(), r.reported(m), leaving)
	for _, platform := range r.platforms {
		emulator.Register(context.WithoutCancel(ctx), platform, []registrar.Worker{listed}, nil) //nolint:errcheck // The result shows it.
	}
}
