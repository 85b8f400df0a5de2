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

// scenario is a load on the workers, with their behaviour and an optional event
// that runs during the load.
type scenario struct {
	name           string
	load           float64
	behaviour      func(worker int, s timeScale) emulator.Behaviour
	event          func(ctx context.Context, r *routingFleet, window time.Duration)
	burst          bool
	capacityFactor float64
	overreporting  bool
}

// timeScale multiplies the times that the requirements give, so that one machine
// can carry fleets of the required sizes.
type timeScale struct{ factor float64 }

func (s timeScale) apply(d time.Duration) time.Duration { return time.Duration(float64(d) * s.factor) }

const (
	serviceMean      = 10 * time.Millisecond
	serviceSigma     = 0.5
	noiseFactor      = 4
	noiseShare       = 0.15
	slowWorkerFactor = 10
	defaultLoad      = 0.7

	// longNoiseCapacity is the fraction of a worker's throughput that remains if its
	// slow periods are longer than a call. shortNoiseCapacity is the fraction for
	// shorter periods, which slow down a share of the calls.
	longNoiseCapacity  = 1 - noiseShare + noiseShare/noiseFactor
	shortNoiseCapacity = 1 / (1 + noiseShare*(noiseFactor-1))
)

func healthyBehaviour(_ int, s timeScale) emulator.Behaviour {
	return emulator.NewBehaviour(emulator.WithServiceTime(s.apply(serviceMean), serviceSigma))
}

// noisyWorkers makes workers run noiseFactor times slower for noiseShare of the
// time, in periods of the given length.
func noisyWorkers(period time.Duration) func(int, timeScale) emulator.Behaviour {
	return func(_ int, s timeScale) emulator.Behaviour {
		return emulator.NewBehaviour(emulator.WithServiceTime(s.apply(serviceMean), serviceSigma),
			emulator.WithNoisyNeighbour(noiseFactor, noiseShare, s.apply(period)))
	}
}

// firstWorkerOnly gives the first worker a special behaviour and all others the
// healthy one.
func firstWorkerOnly(special func(s timeScale) emulator.Behaviour) func(int, timeScale) emulator.Behaviour {
	return func(worker int, s timeScale) emulator.Behaviour {
		if worker == 0 {
			return special(s)
		}
		return healthyBehaviour(worker, s)
	}
}

// scenarios returns all scenarios. Flag --scenario selects them by name.
func scenarios() []scenario {
	return []scenario{
		{name: "steady", load: defaultLoad, behaviour: healthyBehaviour},
		{name: "noisy-5ms", load: defaultLoad, capacityFactor: shortNoiseCapacity, behaviour: noisyWorkers(5 * time.Millisecond)},
		{name: "noisy-50ms", load: defaultLoad, capacityFactor: longNoiseCapacity, behaviour: noisyWorkers(50 * time.Millisecond)},
		{name: "noisy-500ms", load: defaultLoad, capacityFactor: longNoiseCapacity, behaviour: noisyWorkers(500 * time.Millisecond)},
		{name: "one-slow-10x", load: defaultLoad, behaviour: firstWorkerOnly(func(s timeScale) emulator.Behaviour {
			return emulator.NewBehaviour(emulator.WithServiceTime(s.apply(slowWorkerFactor*serviceMean), serviceSigma))
		})},
		{name: "one-failing-fast", load: defaultLoad, behaviour: firstWorkerOnly(func(s timeScale) emulator.Behaviour {
			return emulator.NewBehaviour(emulator.WithServiceTime(s.apply(serviceMean), serviceSigma), emulator.WithFailureRate(1))
		})},
		{name: "rolling-drain", load: defaultLoad, behaviour: healthyBehaviour, event: rollingDrain},
		{name: "cold-restart", load: defaultLoad, behaviour: healthyBehaviour, event: coldRestart},
		{name: "burst-3x", load: 0.6, behaviour: healthyBehaviour, burst: true},
		{name: "zone-loss", load: 0.5, behaviour: healthyBehaviour, event: zoneLoss},
		{name: "lying-report", load: defaultLoad, capacityFactor: longNoiseCapacity, behaviour: noisyWorkers(50 * time.Millisecond), overreporting: true},
		{name: "overload-2x", load: 2, behaviour: healthyBehaviour},
	}
}

const (
	burstDuration = 200 * time.Millisecond
	burstFactor   = 3
	drainDivisor  = 4
)

// rate returns the calls per second that put the scenario's load on the slots.
func (s scenario) rate(slots int, times timeScale) float64 {
	factor := s.capacityFactor
	if factor == 0 {
		factor = 1
	}
	return s.load * factor * float64(slots) / times.apply(serviceMean).Seconds()
}

func (s scenario) burstDuring(window time.Duration, times timeScale) loader.Burst {
	if !s.burst {
		return loader.Burst{}
	}
	return loader.NewBurst(window/3, times.apply(burstDuration), burstFactor)
}

// rollingDrain drains a quarter of the workers one after another: each is
// registered as leaving and later as live again.
func rollingDrain(ctx context.Context, r *routingFleet, window time.Duration) {
	count := len(r.workers) / drainDivisor
	for n := range count {
		r.updateRegistration(ctx, r.workers[n], true)
		if !sleeper.Sleep(ctx, window/time.Duration(count+1)) {
			break
		}
		r.updateRegistration(ctx, r.workers[n], false)
	}
}

// coldRestart slows down a third of the workers for the first half of the window,
// as after a restart.
func coldRestart(ctx context.Context, r *routingFleet, window time.Duration) {
	const coldDivisor = 3
	var updates sync.WaitGroup
	for n := range len(r.workers) / coldDivisor {
		updates.Go(func() {
			r.workers[n].SetBehaviour(ctx, emulator.NewBehaviour( //nolint:errcheck // A failure shows in the results.
				emulator.WithServiceTime(r.scale.apply(3*serviceMean), serviceSigma)))
		})
	}
	updates.Wait()
	sleeper.Sleep(ctx, window/2)
	for n := range len(r.workers) / coldDivisor {
		r.workers[n].SetBehaviour(context.WithoutCancel(ctx), healthyBehaviour(n, r.scale)) //nolint:errcheck // A failure shows in the results.
	}
}

// zoneLoss suspends the workers of one availability zone for the middle half of
// the window.
func zoneLoss(ctx context.Context, r *routingFleet, window time.Duration) {
	sleeper.Sleep(ctx, window/4)
	zone := r.workers[0].Member().Locality().Zone()
	var suspended []*launcher.Worker
	for _, w := range r.workers {
		if w.Member().Locality().Zone() == zone {
			w.Suspend()
			suspended = append(suspended, w)
		}
	}
	sleeper.Sleep(ctx, window/2)
	for _, w := range suspended {
		w.Resume()
	}
}

// updateRegistration updates a worker's registration at all policies' platforms.
func (r *routingFleet) updateRegistration(ctx context.Context, w *launcher.Worker, leaving bool) {
	m := w.Member()
	registration := registrar.NewWorker(m.ID(), m.Service(), m.Address(), m.Locality(), r.reportedSlots(m), leaving)
	for _, platform := range r.platforms {
		emulator.Register(context.WithoutCancel(ctx), platform, []registrar.Worker{registration}, nil) //nolint:errcheck // A failure shows in the results.
	}
}
