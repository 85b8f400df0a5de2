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

// fault is something that goes wrong for a while.
type fault struct {
	name string
	play func(ctx context.Context, r *soakRun, length time.Duration) error
}

func soakFaults() []fault {
	return []fault{
		{"worker-killed", killWorker},
		{"worker-frozen", freezeWorker},
		{"worker-drained", drainWorker},
		{"worker-cuts-connections", misbehave(emulator.WithCuts(0.3))},
		{"worker-fails-fast", misbehave(emulator.WithFailures(0.9))},
		{"worker-slow", misbehave(emulator.WithService(120*time.Millisecond, 0.5))},
		{"worker-sheds", misbehave(emulator.WithQueue(0, true), emulator.WithService(40*time.Millisecond, 0.5))},
		{"instance-killed", killInstance},
		{"instance-frozen", freezeInstance},
		{"instance-stopped", stopInstance},
		{"store-down", platformFault(`{"down": true}`)},
		{"store-slow", platformFault(`{"delay": "700ms"}`)},
		{"store-loses-answers", platformFault(`{"lose-answers": true}`)},
		{"list-lags", platformFault(`{"list-lag": "2s"}`)},
		{"operators-race", raceOperators},
	}
}

// disturb plays faults until the load ends, now and then two at once.
func (r *soakRun) disturb(ctx context.Context) {
	faults := soakFaults()
	for time.Since(r.started) < r.length-longestFault {
		f := faults[r.rng.IntN(len(faults))]
		length := shortestFault + time.Duration(r.rng.Int64N(int64(longestFault-shortestFault)))
		if r.rng.IntN(4) == 0 {
			second := faults[len(faults)-1-r.rng.IntN(5)] // One of the platform or the operators.
			r.play(ctx, second, length/2)
		}
		r.play(ctx, f, length)
		if !sleeper.Sleep(ctx, time.Duration(r.rng.Int64N(int64(faultGap)))) {
			return
		}
	}
}

func (r *soakRun) play(ctx context.Context, f fault, length time.Duration) {
	fmt.Fprintf(r.progress, "%7.2fs %s for %s\n", time.Since(r.started).Seconds(), f.name, length.Round(time.Millisecond))
	r.faults[f.name]++
	if err := f.play(ctx, r, length); err != nil {
		r.violate("fault %s could not be played: %v", f.name, err)
	}
}

func (r *soakRun) violate(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

func (r *soakRun) anyWorker() (int, *launcher.Worker) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n := r.rng.IntN(len(r.workers))
	return n, r.workers[n]
}

// takeInstance draws an instance, and takes it from the callers' targets if
// others are left.
func (r *soakRun) takeInstance(remove bool) *soakInstance {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n := r.rng.IntN(len(r.instances))
	i := r.instances[n]
	if remove {
		r.instances = append(r.instances[:n:n], r.instances[n+1:]...)
	}
	return i
}

func killWorker(ctx context.Context, r *soakRun, length time.Duration) error {
	n, w := r.anyWorker()
	w.Kill()
	sleeper.Sleep(ctx, length)
	return r.restartWorker(n, w)
}

func (r *soakRun) restartWorker(n int, old *launcher.Worker) error {
	m := old.Member()
	again := registrar.NewWorker(m.ID(), m.Service(), m.Address(), m.Place(), m.Slots(), false)
	w, err := r.launcher.StartWorker(launcher.NewWorkerSpec(again, emulator.NewBehaviour(emulator.WithCold(time.Second))).
		WithJournal(r.journal(string(m.ID()))))
	if err != nil {
		return err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.workers[n] = w
	return nil
}

func freezeWorker(ctx context.Context, r *soakRun, length time.Duration) error {
	_, w := r.anyWorker()
	w.Freeze()
	sleeper.Sleep(ctx, length)
	w.Thaw()
	return nil
}

// drainWorker is a planned stop: the worker is listed as leaving, then stops.
func drainWorker(ctx context.Context, r *soakRun, length time.Duration) error {
	n, w := r.anyWorker()
	m := w.Member()
	leaving := registrar.NewWorker(m.ID(), m.Service(), m.Address(), m.Place(), m.Slots(), true)
	if err := emulator.Register(ctx, r.launcher.Platform(), []registrar.Worker{leaving}, nil); err != nil {
		return err
	}
	sleeper.Sleep(ctx, length)
	if err := w.Stop(); err != nil {
		return err
	}
	return r.restartWorker(n, w)
}

func misbehave(options ...emulator.BehaviourOption) func(context.Context, *soakRun, time.Duration) error {
	return func(ctx context.Context, r *soakRun, length time.Duration) error {
		_, w := r.anyWorker()
		if err := w.SetBehaviour(ctx, emulator.NewBehaviour(options...)); err != nil {
			return err
		}
		sleeper.Sleep(ctx, length)
		return w.SetBehaviour(context.WithoutCancel(ctx), emulator.NewBehaviour())
	}
}

func killInstance(ctx context.Context, r *soakRun, length time.Duration) error {
	i := r.takeInstance(true)
	r.setDisturbed(i)
	i.Kill()
	sleeper.Sleep(ctx, length)
	return r.addInstance(ctx)
}

func (r *soakRun) setDisturbed(i *soakInstance) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	i.disturbed = true
}

func freezeInstance(ctx context.Context, r *soakRun, length time.Duration) error {
	i := r.takeInstance(false)
	r.setDisturbed(i)
	i.Freeze()
	sleeper.Sleep(ctx, length)
	i.Thaw()
	return nil
}

// stopInstance is a planned stop. The balancer turns away once the instance is
// not ready, which it says at once.
func stopInstance(ctx context.Context, r *soakRun, _ time.Duration) error {
	if err := r.addInstance(ctx); err != nil {
		return err
	}
	i := r.takeInstance(true)
	if err := i.Stop(); err != nil {
		r.violate("planned stop of %s: %v", i.Name(), err)
	}
	return nil
}

func platformFault(text string) func(context.Context, *soakRun, time.Duration) error {
	return func(ctx context.Context, r *soakRun, length time.Duration) error {
		set := func(ctx context.Context, text string) error {
			return emulator.Control(ctx, "PUT", r.launcher.Platform()+"/faults", []byte(text))
		}
		if err := set(ctx, text); err != nil {
			return err
		}
		sleeper.Sleep(ctx, length)
		return set(context.WithoutCancel(ctx), `{}`)
	}
}

// raceOperators lets two operators change the configuration at once.
func raceOperators(ctx context.Context, r *soakRun, _ time.Duration) error {
	results := make(chan applier.Result, 2)
	for n := range cap(results) {
		changed := r.changed(r.rng, n)
		go func() {
			store := storer.NewGateway(r.launcher.Platform())
			defer store.Close()
			result, err := applier.New(store, assembler.NewKeys(keyPrefix), applier.WithAuthor(fmt.Sprintf("operator-%d", n)),
				applier.WithSettleTimeout(time.Second)).Apply(ctx, changed)
			if err != nil {
				result = nil
			}
			results <- result
		}()
	}
	seen := map[descriptor.Revision]bool{}
	for range cap(results) {
		accepted, ok := (<-results).(applier.Accepted)
		if !ok {
			continue
		}
		if seen[accepted.Revision()] {
			r.violate("two operators were told that revision %d is theirs", accepted.Revision())
		}
		seen[accepted.Revision()] = true
		r.mutex.Lock()
		r.accepted = max(r.accepted, accepted.Revision())
		r.mutex.Unlock()
	}
	return nil
}

// changed returns the configuration with another measuring budget, which does
// not change how calls are served.
func (r *soakRun) changed(rng *rand.Rand, n int) descriptor.Deployment {
	measuring := descriptor.NewMeasuring(4000+rng.Int64N(1000)*2+int64(n), 0.01)
	return descriptor.NewDeployment(r.base.Name(), measuring, r.base.Services())
}
