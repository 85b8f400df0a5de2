package bencher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"burdocklane/applier"
	"burdocklane/assembler"
	"burdocklane/descriptor"
	"burdocklane/emulator"
	"burdocklane/launcher"
	"burdocklane/registrar"
	"burdocklane/sleeper"
	"burdocklane/storer"
)

// fault is a failure that is injected for a given time.
type fault struct {
	name   string
	inject func(ctx context.Context, r *soakRun, duration time.Duration) error
}

func soakFaults() []fault {
	return []fault{
		{"worker-killed", killWorker},
		{"worker-frozen", suspendWorker},
		{"worker-drained", drainWorker},
		{"worker-cuts-connections", workerFault(emulator.WithAbortRate(0.3))},
		{"worker-fails-fast", workerFault(emulator.WithFailureRate(0.9))},
		{"worker-slow", workerFault(emulator.WithServiceTime(120*time.Millisecond, 0.5))},
		{"worker-sheds", workerFault(emulator.WithQueue(0, true), emulator.WithServiceTime(40*time.Millisecond, 0.5))},
		{"instance-killed", killInstance},
		{"instance-frozen", suspendInstance},
		{"instance-stopped", stopInstance},
		{"store-down", platformFault(`{"down": true}`)},
		{"store-slow", platformFault(`{"delay": "700ms"}`)},
		{"store-loses-answers", platformFault(`{"lose-answers": true}`)},
		{"list-lags", platformFault(`{"list-lag": "2s"}`)},
		{"operators-race", applyConcurrently},
	}
}

// injectFaults injects faults until the load ends. Before a quarter of them it
// injects a fault of the platform or the operators as well.
func (r *soakRun) injectFaults(ctx context.Context) {
	faults := soakFaults()
	for time.Since(r.started) < r.duration-maxFaultDuration {
		f := faults[r.rng.IntN(len(faults))]
		duration := minFaultDuration + time.Duration(r.rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		if r.rng.IntN(4) == 0 {
			second := faults[len(faults)-1-r.rng.IntN(5)] // A fault of the platform or the operators.
			r.injectFault(ctx, second, duration/2)
		}
		r.injectFault(ctx, f, duration)
		if !sleeper.Sleep(ctx, time.Duration(r.rng.Int64N(int64(maxFaultInterval)))) {
			return
		}
	}
}

func (r *soakRun) injectFault(ctx context.Context, f fault, duration time.Duration) {
	fmt.Fprintf(r.progress, "%7.2fs %s for %s\n", time.Since(r.started).Seconds(), f.name, duration.Round(time.Millisecond))
	r.faults[f.name]++
	if err := f.inject(ctx, r, duration); err != nil {
		r.addViolation("could not inject fault %s: %v", f.name, err)
	}
}

func (r *soakRun) addViolation(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *soakRun) pickWorker() (int, *launcher.Worker) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n := r.rng.IntN(len(r.workers))
	return n, r.workers[n]
}

// pickInstance picks an instance at random and, on request, removes it from the
// callers' targets.
func (r *soakRun) pickInstance(remove bool) *soakInstance {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n := r.rng.IntN(len(r.instances))
	i := r.instances[n]
	if remove {
		r.instances = append(r.instances[:n:n], r.instances[n+1:]...)
	}
	return i
}

func killWorker(ctx context.Context, r *soakRun, duration time.Duration) error {
	n, w := r.pickWorker()
	w.Kill()
	sleeper.Sleep(ctx, duration)
	return r.restartWorker(n, w)
}

func (r *soakRun) restartWorker(n int, old *launcher.Worker) error {
	m := old.Member()
	restarted := registrar.NewWorker(m.ID(), m.Service(), m.Address(), m.Locality(), m.Slots(), false)
	w, err := r.launcher.StartWorker(launcher.NewWorkerSpec(restarted, emulator.NewBehaviour(emulator.WithColdStart(time.Second))).
		WithJournal(r.journalPath(string(m.ID()))))
	if err != nil {
		return err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.workers[n] = w
	return nil
}

func suspendWorker(ctx context.Context, r *soakRun, duration time.Duration) error {
	_, w := r.pickWorker()
	w.Suspend()
	sleeper.Sleep(ctx, duration)
	w.Resume()
	return nil
}

// drainWorker is a planned stop: the worker is registered as leaving, then stops.
func drainWorker(ctx context.Context, r *soakRun, duration time.Duration) error {
	n, w := r.pickWorker()
	m := w.Member()
	leaving := registrar.NewWorker(m.ID(), m.Service(), m.Address(), m.Locality(), m.Slots(), true)
	if err := emulator.Register(ctx, r.launcher.PlatformURL(), []registrar.Worker{leaving}, nil); err != nil {
		return err
	}
	sleeper.Sleep(ctx, duration)
	if err := w.Stop(); err != nil {
		return err
	}
	return r.restartWorker(n, w)
}

func workerFault(options ...emulator.BehaviourOption) func(context.Context, *soakRun, time.Duration) error {
	return func(ctx context.Context, r *soakRun, duration time.Duration) error {
		_, w := r.pickWorker()
		if err := w.SetBehaviour(ctx, emulator.NewBehaviour(options...)); err != nil {
			return err
		}
		sleeper.Sleep(ctx, duration)
		return w.SetBehaviour(context.WithoutCancel(ctx), emulator.NewBehaviour())
	}
}

func killInstance(ctx context.Context, r *soakRun, duration time.Duration) error {
	i := r.pickInstance(true)
	r.markDisturbed(i)
	i.Kill()
	sleeper.Sleep(ctx, duration)
	return r.addInstance(ctx)
}

func (r *soakRun) markDisturbed(i *soakInstance) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	i.disturbed = true
}

func suspendInstance(ctx context.Context, r *soakRun, duration time.Duration) error {
	i := r.pickInstance(false)
	r.markDisturbed(i)
	i.Suspend()
	sleeper.Sleep(ctx, duration)
	i.Resume()
	return nil
}

// stopInstance is a planned stop. The instance leaves the callers' targets before
// it stops, as at a load balancer that follows the readiness check, which fails
// at once.
func stopInstance(ctx context.Context, r *soakRun, _ time.Duration) error {
	if err := r.addInstance(ctx); err != nil {
		return err
	}
	i := r.pickInstance(true)
	if err := i.Stop(); err != nil {
		r.addViolation("planned stop of %s failed: %v", i.Name(), err)
	}
	return nil
}

func platformFault(faults string) func(context.Context, *soakRun, time.Duration) error {
	return func(ctx context.Context, r *soakRun, duration time.Duration) error {
		setFaults := func(ctx context.Context, text string) error {
			return emulator.SendControlRequest(ctx, "PUT", r.launcher.PlatformURL()+"/faults", []byte(text))
		}
		if err := setFaults(ctx, faults); err != nil {
			return err
		}
		sleeper.Sleep(ctx, duration)
		return setFaults(context.WithoutCancel(ctx), `{}`)
	}
}

// applyConcurrently lets two operators change the configuration at the same time.
// No revision may be confirmed to both.
func applyConcurrently(ctx context.Context, r *soakRun, _ time.Duration) error {
	results := make(chan applier.Result, 2)
	for n := range cap(results) {
		changed := r.changedDeployment(r.rng, n)
		go func() {
			store := storer.NewGateway(r.launcher.PlatformURL())
			defer store.Close()
			result, err := applier.New(store, assembler.NewKeys(keyPrefix), applier.WithAuthor(fmt.Sprintf("operator-%d", n)),
				applier.WithConfirmTimeout(time.Second)).Apply(ctx, changed)
			if err != nil {
				result = nil
			}
			results <- result
		}()
	}
	confirmed := map[descriptor.Revision]bool{}
	for range cap(results) {
		accepted, ok := (<-results).(applier.Accepted)
		if !ok {
			continue
		}
		if confirmed[accepted.Revision()] {
			r.addViolation("revision %d was confirmed to two operators", accepted.Revision())
		}
		confirmed[accepted.Revision()] = true
		r.mutex.Lock()
		r.lastAccepted = max(r.lastAccepted, accepted.Revision())
		r.mutex.Unlock()
	}
	return nil
}

// changedDeployment returns the configuration with another measurement budget,
// which does not affect how calls are served.
func (r *soakRun) changedDeployment(rng *rand.Rand, n int) descriptor.Deployment {
	measuring := descriptor.NewMeasurementBudget(4000+rng.Int64N(1000)*2+int64(n), 0.01)
	return descriptor.NewDeployment(r.deployment.Name(), measuring, r.deployment.Services())
}
