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
	controlSettle   = 20 * time.Second
	controlSpan     = 10 * time.Second
	controlChanges  = 10
	changeGap       = 300 * time.Millisecond
	workersEach     = 9
	registerAtOnce  = 500
	controlDeadline = time.Minute
)

// Control is the experiment that measures what control costs an instance, as
// the fleet grows.
type Control struct {
	launch   func() (*launcher.Launcher, func(), error)
	sizes    []ControlSize
	output   io.Writer
	progress io.Writer
}

// ControlSize is a number of instances and of listed workers.
type ControlSize struct {
	instances int
	workers   int
}

// NewControlSize returns a size.
func NewControlSize(instances, workers int) ControlSize {
	return ControlSize{instances: instances, workers: workers}
}

// NewControl returns the experiment; each size gets processes of its own.
func NewControl(launch func() (*launcher.Launcher, func(), error), sizes []ControlSize, output, progress io.Writer) *Control {
	return &Control{launch: launch, sizes: sizes, output: output, progress: progress}
}

// controlLine is one result line, for one instance on average.
type controlLine struct {
	Experiment    string  `json:"experiment"`
	Instances     int     `json:"instances"`
	Workers       int     `json:"workers"`
	Services      int     `json:"services"`
	IdleCore      float64 `json:"idle-core-share"`
	IdleBytesPS   float64 `json:"idle-bytes-per-s"`
	StoreCallsPS  float64 `json:"fleet-store-calls-per-s"`
	MemoryMB      float64 `json:"memory-mb"`
	ChangeCPUMs   float64 `json:"cpu-ms-per-change"`
	ChangeBytes   float64 `json:"bytes-per-change"`
	SpreadMs      float64 `json:"in-force-everywhere-ms"`
	SpreadDownMs  float64 `json:"in-force-everywhere-store-down-ms"`
	ListCPUMs     float64 `json:"cpu-ms-per-list-change"`
	ListBytes     float64 `json:"bytes-per-list-change"`
	StartReadyMs  float64 `json:"started-in-outage-ready-ms"`
	ListedMembers int     `json:"listed-members"`
}

// Run measures each size in turn.
func (b *Control) Run(ctx context.Context) error {
	for _, size := range b.sizes {
		line, err := b.measure(ctx, size)
		if err != nil {
			return err
		}
		if err := json.NewEncoder(b.output).Encode(line); err != nil {
			return errors.Wrap(err, "write result")
		}
		fmt.Fprintf(b.progress, "%4d instances %5d workers %4d services: idle %.4f core %7.0f B/s  store %.2f calls/s (fleet)  %5.1f MB  change %.2f ms cpu %7.0f B  in force %.0f ms, store down %.0f ms  list change %.2f ms cpu %8.0f B  start in outage %.0f ms\n",
			line.Instances, line.Workers, line.Services, line.IdleCore, line.IdleBytesPS, line.StoreCallsPS, line.MemoryMB,
			line.ChangeCPUMs, line.ChangeBytes, line.SpreadMs, line.SpreadDownMs, line.ListCPUMs, line.ListBytes, line.StartReadyMs)
	}
	return nil
}

// stand is a platform with listed workers, which do not run, and instances.
type stand struct {
	launcher  *launcher.Launcher
	size      ControlSize
	instances []*launcher.Instance
	version   int
}

func (b *Control) measure(ctx context.Context, size ControlSize) (controlLine, error) {
	line := controlLine{Experiment: "control", Instances: size.instances, Workers: size.workers, Services: size.services(), ListedMembers: size.instances + size.workers}
	l, done, err := b.launch()
	if err != nil {
		return line, err
	}
	defer done()
	s := &stand{launcher: l.WithProcessors(1), size: size}
	if err := s.start(ctx); err != nil {
		return line, err
	}
	for _, part := range []func(context.Context, *controlLine) error{s.idle, s.changes, s.listChanges, s.outage} {
		if err := part(ctx, &line); err != nil {
			return line, err
		}
	}
	return line, nil
}

func (s ControlSize) services() int { return max((s.workers+workersEach-1)/workersEach, 1) }

func (s *stand) start(ctx context.Context) error {
	if _, err := s.launcher.StartPlatform(); err != nil {
		return err
	}
	if err := s.listWorkers(ctx); err != nil {
		return err
	}
	if err := s.apply(ctx); err != nil {
		return err
	}
	for n := range s.size.instances {
		if err := s.startInstance(n); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, controlDeadline)
	defer cancel()
	for _, i := range s.instances {
		if err := i.AwaitReady(ctx); err != nil {
			return err
		}
	}
	sleeper.Sleep(ctx, controlSettle)
	return nil
}

func (s *stand) startInstance(n int) error {
	at, host := place(n, 1+n)
	i, err := s.launcher.StartInstance(launcher.NewInstanceSpec(registrar.InstanceID(fmt.Sprintf("instance-%d", n)), at, host).WithLogLevel("warn"))
	if err != nil {
		return err
	}
	s.instances = append(s.instances, i)
	return nil
}

func (s *stand) listWorkers(ctx context.Context) error {
	var workers []registrar.Worker
	for n := range s.size.workers {
		workers = append(workers, s.worker(n, false))
	}
	for part := range slices.Chunk(workers, registerAtOnce) {
		if err := emulator.Register(ctx, s.launcher.Platform(), part, nil); err != nil {
			return err
		}
	}
	return nil
}

func (s *stand) worker(n int, leaving bool) registrar.Worker {
	at, _ := place(n, 0)
	return registrar.NewWorker(registrar.WorkerID(fmt.Sprintf("worker-%d", n)), s.service(n/workersEach),
		fmt.Sprintf("127.100.%d.%d:9000", n/200, n%200+1), at, 6, leaving)
}

func (s *stand) service(n int) descriptor.ServiceName {
	return descriptor.ServiceName(fmt.Sprintf("service-%d", n))
}

// apply changes the target of one service at a time.
func (s *stand) apply(ctx context.Context) error {
	s.version++
	var services []descriptor.Service
	for n := range s.size.services() {
		latency := 100 * time.Millisecond
		if n == s.version%s.size.services() {
			latency += time.Duration(s.version) * time.Millisecond
		}
		class := descriptor.NewClass("lookup", descriptor.WithMethods("GET"), descriptor.WithPaths(fmt.Sprintf("/service-%d", n)),
			descriptor.WithRepeat(descriptor.Idempotent{}), descriptor.WithTarget(descriptor.NewTarget(latency, 0.99)),
			descriptor.WithDeadline(2*time.Second))
		reserve := descriptor.NewClass("reserve", descriptor.WithMethods("POST"), descriptor.WithPaths(fmt.Sprintf("/service-%d", n)),
			descriptor.WithTarget(descriptor.NewTarget(latency, 0.99)), descriptor.WithDeadline(2*time.Second))
		services = append(services, descriptor.NewService(s.service(n), []descriptor.Class{class, reserve}, []int{503}))
	}
	return applyDeployment(ctx, s.launcher.Platform(), descriptor.NewDeployment("bench", descriptor.NewMeasuring(15000, 0.01), services))
}

// spent is what all instances have used up to now, on average.
type spent struct {
	cpu    time.Duration
	bytes  float64
	calls  float64
	memory float64
	views  []inspector.View
}

func (s *stand) spent(ctx context.Context) (spent, error) {
	var total spent
	for _, i := range s.instances {
		cpu, err := cpuTime(i.ProcessID())
		if err != nil {
			return total, err
		}
		memory, err := residentBytes(i.ProcessID())
		if err != nil {
			return total, err
		}
		view, err := inspector.FetchView(ctx, i.Member().Admin())
		if err != nil {
			return total, err
		}
		total.cpu += cpu
		total.memory += float64(memory)
		total.bytes += float64(view.Control().Bytes())
		total.calls += float64(view.Control().StoreCalls())
		total.views = append(total.views, view)
	}
	count := float64(len(s.instances))
	total.cpu = time.Duration(float64(total.cpu) / count)
	total.bytes /= count
	total.memory /= count
	return total, nil
}

// over measures what the work costs each instance on average.
func (s *stand) over(ctx context.Context, work func() error) (before, after spent, err error) {
	if before, err = s.spent(ctx); err != nil {
		return before, after, err
	}
	if err = work(); err != nil {
		return before, after, err
	}
	after, err = s.spent(ctx)
	return before, after, err
}

func (s *stand) idle(ctx context.Context, line *controlLine) error {
	before, after, err := s.over(ctx, func() error { sleeper.Sleep(ctx, controlSpan); return nil })
	if err != nil {
		return err
	}
	line.IdleCore = (after.cpu - before.cpu).Seconds() / controlSpan.Seconds()
	line.IdleBytesPS = (after.bytes - before.bytes) / controlSpan.Seconds()
	line.StoreCallsPS = (after.calls - before.calls) / controlSpan.Seconds()
	line.MemoryMB = after.memory / (1 << 20)
	return nil
}

// changes applies several configurations and measures how long each takes to
// be in force on the last instance.
func (s *stand) changes(ctx context.Context, line *controlLine) error {
	var spreads []time.Duration
	before, after, err := s.over(ctx, func() error {
		for range controlChanges {
			spread, err := s.spread(ctx, func() error { return nil })
			if err != nil {
				return err
			}
			spreads = append(spreads, spread)
		}
		return nil
	})
	if err != nil {
		return err
	}
	idle := line.IdleCore * float64(controlChanges) * changeGap.Seconds() * 1000
	line.ChangeCPUMs = max(float64((after.cpu-before.cpu).Milliseconds())-idle, 0) / controlChanges
	line.ChangeBytes = max(after.bytes-before.bytes-line.IdleBytesPS*changeGap.Seconds()*controlChanges, 0) / controlChanges
	line.SpreadMs = float64(slices.Max(spreads).Microseconds()) / 1000
	return nil
}

// spread applies a change and returns how long after its acceptance it was in
// force on the last instance.
func (s *stand) spread(ctx context.Context, then func() error) (time.Duration, error) {
	if err := s.apply(ctx); err != nil {
		return 0, err
	}
	accepted := time.Now()
	if err := then(); err != nil {
		return 0, err
	}
	sleeper.Sleep(ctx, changeGap)
	deadline := accepted.Add(controlDeadline)
	for {
		slowest, reached, err := s.slowest(ctx, accepted)
		if err != nil || reached {
			return slowest, err
		}
		if time.Now().After(deadline) {
			return 0, errors.New("the change is not in force everywhere within a minute")
		}
		sleeper.Sleep(ctx, changeGap)
	}
}

func (s *stand) slowest(ctx context.Context, accepted time.Time) (time.Duration, bool, error) {
	now, err := s.spent(ctx)
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
		slowest = max(slowest, v.Since().Sub(accepted))
	}
	return slowest, true, nil
}

// listChanges lets a worker leave and come back.
func (s *stand) listChanges(ctx context.Context, line *controlLine) error {
	before, after, err := s.over(ctx, func() error {
		for n := range controlChanges {
			worker := s.worker(0, n%2 == 0)
			if err := emulator.Register(ctx, s.launcher.Platform(), []registrar.Worker{worker}, nil); err != nil {
				return err
			}
			sleeper.Sleep(ctx, changeGap)
		}
		return nil
	})
	if err != nil {
		return err
	}
	idle := line.IdleCore * float64(controlChanges) * changeGap.Seconds() * 1000
	line.ListCPUMs = max(float64((after.cpu-before.cpu).Milliseconds())-idle, 0) / controlChanges
	line.ListBytes = max(after.bytes-before.bytes-line.IdleBytesPS*changeGap.Seconds()*controlChanges, 0) / controlChanges
	return nil
}

// outage takes the store down right after a change was accepted, and then
// starts one more instance.
func (s *stand) outage(ctx context.Context, line *controlLine) error {
	down := func(text string) error {
		return emulator.Control(ctx, "PUT", s.launcher.Platform()+"/faults", []byte(text))
	}
	spread, err := s.spread(ctx, func() error { return down(`{"down": true}`) })
	if err != nil {
		return err
	}
	line.SpreadDownMs = float64(spread.Microseconds()) / 1000
	started := time.Now()
	if err := s.startInstance(len(s.instances)); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.instances[len(s.instances)-1].AwaitReady(ctx); err != nil {
		return err
	}
	line.StartReadyMs = float64(time.Since(started).Milliseconds())
	return nil
}
