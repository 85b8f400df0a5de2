package bencher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"burdocklane/descriptor"
	"burdocklane/emulator"
	"burdocklane/inspector"
	"burdocklane/launcher"
	"burdocklane/registrar"
	"burdocklane/sleeper"

	"github.com/go-faster/errors"
)

const (
	controlWarmup     = 20 * time.Second
	idleWindow        = 10 * time.Second
	controlChanges    = 10
	changeInterval    = 300 * time.Millisecond
	workersPerService = 9
	registerBatchSize = 500
	controlTimeout    = time.Minute
)

// ControlPlane is the experiment that measures the control-plane overhead of an
// instance as the fleet grows.
type ControlPlane struct {
	launch   func() (*launcher.Launcher, func(), error)
	sizes    []FleetSize
	output   io.Writer
	progress io.Writer
}

// FleetSize is the size of a fleet: its instances and its registered workers.
type FleetSize struct {
	instances int
	workers   int
}

// NewFleetSize returns the size of a fleet.
func NewFleetSize(instances, workers int) FleetSize {
	return FleetSize{instances: instances, workers: workers}
}

// NewControlPlane returns the experiment; launch is called once for each size, so
// that every size runs on processes of its own.
func NewControlPlane(launch func() (*launcher.Launcher, func(), error), sizes []FleetSize, output, progress io.Writer) *ControlPlane {
	return &ControlPlane{launch: launch, sizes: sizes, output: output, progress: progress}
}

// controlResult is the JSON result for one size. Costs are averages for one
// instance.
type controlResult struct {
	Experiment            string  `json:"experiment"`
	Instances             int     `json:"instances"`
	Workers               int     `json:"workers"`
	Services              int     `json:"services"`
	IdleCPUShare          float64 `json:"idle-core-share"`
	IdleBytesPS           float64 `json:"idle-bytes-per-s"`
	StoreCallsPS          float64 `json:"fleet-store-calls-per-s"`
	MemoryMB              float64 `json:"memory-mb"`
	ChangeCPUMs           float64 `json:"cpu-ms-per-change"`
	ChangeBytes           float64 `json:"bytes-per-change"`
	ActivationMs          float64 `json:"in-force-everywhere-ms"`
	ActivationStoreDownMs float64 `json:"in-force-everywhere-store-down-ms"`
	ListCPUMs             float64 `json:"cpu-ms-per-list-change"`
	ListBytes             float64 `json:"bytes-per-list-change"`
	StartInOutageMs       float64 `json:"started-in-outage-ready-ms"`
	ListedMembers         int     `json:"listed-members"`
}

// Run measures each size in turn.
func (b *ControlPlane) Run(ctx context.Context) error {
	for _, size := range b.sizes {
		result, err := b.measure(ctx, size)
		if err != nil {
			return err
		}
		if err := json.NewEncoder(b.output).Encode(result); err != nil {
			return errors.Wrap(err, "write result")
		}
		fmt.Fprintf(b.progress, "%4d instances %5d workers %4d services: idle %.4f core %7.0f B/s  store %.2f calls/s (fleet)  %5.1f MB  change %.2f ms cpu %7.0f B  active after %.0f ms, store down %.0f ms  list change %.2f ms cpu %8.0f B  start in outage %.0f ms\n",
			result.Instances, result.Workers, result.Services, result.IdleCPUShare, result.IdleBytesPS, result.StoreCallsPS, result.MemoryMB,
			result.ChangeCPUMs, result.ChangeBytes, result.ActivationMs, result.ActivationStoreDownMs, result.ListCPUMs, result.ListBytes, result.StartInOutageMs)
	}
	return nil
}

// controlFleet is a platform with running instances and with workers that are
// registered but do not run.
type controlFleet struct {
	launcher  *launcher.Launcher
	size      FleetSize
	instances []*launcher.Instance
	version   int
}

func (b *ControlPlane) measure(ctx context.Context, size FleetSize) (controlResult, error) {
	result := controlResult{Experiment: "control", Instances: size.instances, Workers: size.workers, Services: size.services(), ListedMembers: size.instances + size.workers}
	l, done, err := b.launch()
	if err != nil {
		return result, err
	}
	defer done()
	f := &controlFleet{launcher: l.WithMaxProcs(1), size: size}
	if err := f.start(ctx); err != nil {
		return result, err
	}
	for _, step := range []func(context.Context, *controlResult) error{f.idle, f.changes, f.listChanges, f.outage} {
		if err := step(ctx, &result); err != nil {
			return result, err
		}
	}
	return result, nil
}

func (s FleetSize) services() int { return max((s.workers+workersPerService-1)/workersPerService, 1) }

func (f *controlFleet) start(ctx context.Context) error {
	if _, err := f.launcher.StartPlatform(); err != nil {
		return err
	}
	if err := f.registerWorkers(ctx); err != nil {
		return err
	}
	if err := f.applyNextVersion(ctx); err != nil {
		return err
	}
	for n := range f.size.instances {
		if err := f.startInstance(n); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	for _, i := range f.instances {
		if err := i.AwaitReady(ctx); err != nil {
			return err
		}
	}
	sleeper.Sleep(ctx, controlWarmup)
	return nil
}

func (f *controlFleet) startInstance(n int) error {
	locality, host := memberLocality(n, 1+n)
	i, err := f.launcher.StartInstance(launcher.NewInstanceSpec(registrar.InstanceID(fmt.Sprintf("instance-%d", n)), locality, host).WithLogLevel("warn"))
	if err != nil {
		return err
	}
	f.instances = append(f.instances, i)
	return nil
}

func (f *controlFleet) registerWorkers(ctx context.Context) error {
	var workers []registrar.Worker
	for n := range f.size.workers {
		workers = append(workers, f.worker(n, false))
	}
	for batch := range slices.Chunk(workers, registerBatchSize) {
		if err := emulator.Register(ctx, f.launcher.PlatformURL(), batch, nil); err != nil {
			return err
		}
	}
	return nil
}

func (f *controlFleet) worker(n int, leaving bool) registrar.Worker {
	locality, _ := memberLocality(n, 0)
	return registrar.NewWorker(registrar.WorkerID(fmt.Sprintf("worker-%d", n)), f.service(n/workersPerService),
		fmt.Sprintf("127.100.%d.%d:9000", n/200, n%200+1), locality, 6, leaving)
}

func (f *controlFleet) service(n int) descriptor.ServiceName {
	return descriptor.ServiceName(fmt.Sprintf("service-%d", n))
}

// applyNextVersion applies the next version of the configuration, which changes
// the latency target of one service.
func (f *controlFleet) applyNextVersion(ctx context.Context) error {
	f.version++
	var services []descriptor.Service
	for n := range f.size.services() {
		latency := 100 * time.Millisecond
		if n == f.version%f.size.services() {
			latency += time.Duration(f.version) * time.Millisecond
		}
		class := descriptor.NewClass("lookup", descriptor.WithMethods("GET"), descriptor.WithPaths(fmt.Sprintf("/service-%d", n)),
			descriptor.WithCallSemantics(descriptor.Idempotent{}), descriptor.WithTarget(descriptor.NewTarget(latency, 0.99)),
			descriptor.WithDeadline(2*time.Second))
		reserve := descriptor.NewClass("reserve", descriptor.WithMethods("POST"), descriptor.WithPaths(fmt.Sprintf("/service-%d", n)),
			descriptor.WithTarget(descriptor.NewTarget(latency, 0.99)), descriptor.WithDeadline(2*time.Second))
		services = append(services, descriptor.NewService(f.service(n), []descriptor.Class{class, reserve}, []int{503}))
	}
	return applyDeployment(ctx, f.launcher.PlatformURL(), descriptor.NewDeployment("bench", descriptor.NewMeasurementBudget(15000, 0.01), services))
}

// instanceUsage is the resource usage up to now, averaged over all instances, and
// the current view of each instance. The number of calls to the store is that of
// all instances together.
type instanceUsage struct {
	cpu    time.Duration
	bytes  float64
	calls  float64
	memory float64
	views  []inspector.ControlPlaneStatus
}

func (f *controlFleet) averageUsage(ctx context.Context) (instanceUsage, error) {
	var total instanceUsage
	for _, i := range f.instances {
		cpu, err := cpuTime(i.ProcessID())
		if err != nil {
			return total, err
		}
		memory, err := residentBytes(i.ProcessID())
		if err != nil {
			return total, err
		}
		view, err := inspector.FetchControlPlaneStatus(ctx, i.Member().AdminAddress())
		if err != nil {
			return total, err
		}
		total.cpu += cpu
		total.memory += float64(memory)
		total.bytes += float64(view.ControlTraffic().Bytes())
		total.calls += float64(view.ControlTraffic().StoreCalls())
		total.views = append(total.views, view)
	}
	count := float64(len(f.instances))
	total.cpu = time.Duration(float64(total.cpu) / count)
	total.bytes /= count
	total.memory /= count
	return total, nil
}

// usageAround returns the average resource usage before and after work.
func (f *controlFleet) usageAround(ctx context.Context, work func() error) (before, after instanceUsage, err error) {
	if before, err = f.averageUsage(ctx); err != nil {
		return before, after, err
	}
	if err = work(); err != nil {
		return before, after, err
	}
	after, err = f.averageUsage(ctx)
	return before, after, err
}

func (f *controlFleet) idle(ctx context.Context, result *controlResult) error {
	before, after, err := f.usageAround(ctx, func() error { sleeper.Sleep(ctx, idleWindow); return nil })
	if err != nil {
		return err
	}
	result.IdleCPUShare = (after.cpu - before.cpu).Seconds() / idleWindow.Seconds()
	result.IdleBytesPS = (after.bytes - before.bytes) / idleWindow.Seconds()
	result.StoreCallsPS = (after.calls - before.calls) / idleWindow.Seconds()
	result.MemoryMB = after.memory / (1 << 20)
	return nil
}

// changes applies several configurations and measures how long each takes to
// become active on all instances.
func (f *controlFleet) changes(ctx context.Context, result *controlResult) error {
	var times []time.Duration
	before, after, err := f.usageAround(ctx, func() error {
		for range controlChanges {
			elapsed, err := f.activationTime(ctx, func() error { return nil })
			if err != nil {
				return err
			}
			times = append(times, elapsed)
		}
		return nil
	})
	if err != nil {
		return err
	}
	idle := result.IdleCPUShare * float64(controlChanges) * changeInterval.Seconds() * 1000
	result.ChangeCPUMs = max(float64((after.cpu-before.cpu).Milliseconds())-idle, 0) / controlChanges
	result.ChangeBytes = max(after.bytes-before.bytes-result.IdleBytesPS*changeInterval.Seconds()*controlChanges, 0) / controlChanges
	result.ActivationMs = float64(slices.Max(times).Microseconds()) / 1000
	return nil
}

// activationTime applies a change, calls afterAccepted, and returns the time from
// the acceptance of the change until it was active on all instances.
func (f *controlFleet) activationTime(ctx context.Context, afterAccepted func() error) (time.Duration, error) {
	if err := f.applyNextVersion(ctx); err != nil {
		return 0, err
	}
	accepted := time.Now()
	if err := afterAccepted(); err != nil {
		return 0, err
	}
	sleeper.Sleep(ctx, changeInterval)
	deadline := accepted.Add(controlTimeout)
	for {
		slowest, active, err := f.slowestActivation(ctx, accepted)
		if err != nil || active {
			return slowest, err
		}
		if time.Now().After(deadline) {
			return 0, errors.New("the change did not become active on all instances within a minute")
		}
		sleeper.Sleep(ctx, changeInterval)
	}
}

// slowestActivation returns the longest time that an instance took to activate the
// highest revision, and false while an instance still has a lower one.
func (f *controlFleet) slowestActivation(ctx context.Context, accepted time.Time) (time.Duration, bool, error) {
	now, err := f.averageUsage(ctx)
	if err != nil {
		return 0, false, err
	}
	highest := descriptor.Revision(0)
	for _, v := range now.views {
		highest = max(highest, v.Revision())
	}
	slowest := time.Duration(0)
	for _, v := range now.views {
		if v.Revision() < highest {
			return 0, false, nil
		}
		slowest = max(slowest, v.ActiveSince().Sub(accepted))
	}
	return slowest, true, nil
}

// listChanges marks a worker as leaving and as staying by turns, and measures
// what each such change of the worker list costs an instance.
func (f *controlFleet) listChanges(ctx context.Context, result *controlResult) error {
	before, after, err := f.usageAround(ctx, func() error {
		for n := range controlChanges {
			worker := f.worker(0, n%2 == 0)
			if err := emulator.Register(ctx, f.launcher.PlatformURL(), []registrar.Worker{worker}, nil); err != nil {
				return err
			}
			sleeper.Sleep(ctx, changeInterval)
		}
		return nil
	})
	if err != nil {
		return err
	}
	idle := result.IdleCPUShare * float64(controlChanges) * changeInterval.Seconds() * 1000
	result.ListCPUMs = max(float64((after.cpu-before.cpu).Milliseconds())-idle, 0) / controlChanges
	result.ListBytes = max(after.bytes-before.bytes-result.IdleBytesPS*changeInterval.Seconds()*controlChanges, 0) / controlChanges
	return nil
}

// outage measures how long a change takes to become active if the store goes
// down right after accepting it, and how long an instance that is started
// during the outage takes to become ready.
func (f *controlFleet) outage(ctx context.Context, result *controlResult) error {
	setFaults := func(faults string) error {
		return emulator.SendControlRequest(ctx, "PUT", f.launcher.PlatformURL()+"/faults", []byte(faults))
	}
	elapsed, err := f.activationTime(ctx, func() error { return setFaults(`{"down": true}`) })
	if err != nil {
		return err
	}
	result.ActivationStoreDownMs = float64(elapsed.Microseconds()) / 1000
	started := time.Now()
	if err := f.startInstance(len(f.instances)); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.instances[len(f.instances)-1].AwaitReady(ctx); err != nil {
		return err
	}
	result.StartInOutageMs = float64(time.Since(started).Milliseconds())
	return nil
}
