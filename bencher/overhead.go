package bencher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/descriptor"
	"burdocklane/emulator"
	"burdocklane/launcher"
	"burdocklane/loader"
	"burdocklane/registrar"

	"github.com/go-faster/errors"
)

const (
	overheadService       = "design-registry"
	overheadPath          = "/designs/1"
	workerSlots           = 256
	overheadResponseBytes = 512
	overheadWarmup        = time.Second
	saturationWindow      = 2 * time.Second
	saturationConns       = 64
	// instanceMaxProcs is the number of processors that an instance and the relay
	// may use: the users' entry instances are small, and the load generator needs
	// the remaining processors.
	instanceMaxProcs = 2
)

// Overhead is the experiment that compares the latency of calls sent directly to
// a worker, through a bare relay and through an instance.
type Overhead struct {
	launcher     *launcher.Launcher
	example      string
	rounds       int
	window       time.Duration
	seed         uint64
	loadFraction float64
	output       io.Writer
	progress     io.Writer
}

// NewOverhead returns the experiment. In each round every path in turn gets load
// for the given time, at the given fraction of the instance's saturation rate.
func NewOverhead(l *launcher.Launcher, example string, rounds int, window time.Duration, loadFraction float64, seed uint64, output, progress io.Writer) *Overhead {
	return &Overhead{launcher: l, example: example, rounds: rounds, window: window, loadFraction: loadFraction, seed: seed, output: output, progress: progress}
}

// path is one route to the worker: direct, through the relay or through an
// instance.
type path struct {
	name       string
	address    string
	pid        int
	admin      string
	rounds     []*loader.Summary
	saturation float64
	cpu        time.Duration
	mallocs    float64
	bytes      float64
}

// overheadResult is the JSON result for one path.
type overheadResult struct {
	Experiment        string  `json:"experiment"`
	Path              string  `json:"path"`
	Seed              uint64  `json:"seed"`
	Calls             int64   `json:"calls"`
	Good              int64   `json:"good"`
	CallsPerS         float64 `json:"rate-per-s"`
	SaturationPS      float64 `json:"saturation-per-s"`
	P50Us             int64   `json:"p50-us"`
	P99Us             int64   `json:"p99-us"`
	AddedP50Us        int64   `json:"added-p50-us"`
	AddedP99Us        int64   `json:"added-p99-us"`
	CallsPerCore      float64 `json:"calls-per-s-per-core,omitempty"`
	AllocsPerCall     float64 `json:"allocs-per-call,omitempty"`
	AllocBytesPerCall float64 `json:"alloc-bytes-per-call,omitempty"`
}

// Run starts the processes, measures each path and writes one JSON line for it.
func (o *Overhead) Run(ctx context.Context) error {
	paths, err := o.start(ctx)
	if err != nil {
		return err
	}
	client := loader.NewClient()
	defer client.CloseIdleConnections()
	for i := range paths {
		if paths[i].saturation, err = saturate(ctx, client, paths[i].address); err != nil {
			return err
		}
		fmt.Fprintf(o.progress, "%-12s saturates at %.0f calls/s\n", paths[i].name, paths[i].saturation)
	}
	rate := paths[len(paths)-1].saturation * o.loadFraction
	for round := range o.rounds {
		for i := range paths {
			if err := o.measure(ctx, client, &paths[i], rate, uint64(round)); err != nil {
				return err
			}
		}
	}
	return o.report(paths, rate)
}

func (o *Overhead) start(ctx context.Context) ([]path, error) {
	if _, err := o.launcher.StartPlatform(); err != nil {
		return nil, err
	}
	locality := registrar.NewLocality("pwani", "pwani-a")
	member := registrar.NewWorker("worker-1", descriptor.ServiceName(overheadService), "127.0.0.1:0", locality, workerSlots, false)
	worker, err := o.launcher.StartWorker(launcher.NewWorkerSpec(member, emulator.NewBehaviour(emulator.WithServiceTime(0, 0))))
	if err != nil {
		return nil, err
	}
	relay, err := o.launcher.WithMaxProcs(instanceMaxProcs).StartRelay(worker.Member().Address())
	if err != nil {
		return nil, err
	}
	if err := applyExample(ctx, o.launcher.PlatformURL(), o.example); err != nil {
		return nil, err
	}
	instance, err := o.launcher.WithMaxProcs(instanceMaxProcs).StartInstance(launcher.NewInstanceSpec("instance-1", locality, "127.0.0.1"))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := instance.AwaitReady(ctx); err != nil {
		return nil, err
	}
	return []path{
		{name: "direct", address: worker.Member().Address()},
		{name: "relay", address: relay.Address(), pid: relay.ProcessID()},
		{name: "instance", address: instance.Callers(), pid: instance.ProcessID(), admin: instance.Member().AdminAddress()},
	}, nil
}

// saturate sends closed-loop load and returns its throughput in calls per second.
func saturate(ctx context.Context, client *http.Client, address string) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, saturationWindow)
	defer cancel()
	var count atomic.Int64
	var clients sync.WaitGroup
	started := time.Now()
	for range saturationConns {
		clients.Go(func() {
			for sendGet(ctx, client, address) == nil {
				count.Add(1)
			}
		})
	}
	clients.Wait()
	if count.Load() == 0 {
		return 0, errors.Errorf("no response from %s", address)
	}
	return float64(count.Load()) / time.Since(started).Seconds(), nil
}

func sendGet(ctx context.Context, client *http.Client, address string) error {
	url := fmt.Sprintf("http://%s%s?bytes=%d", address, overheadPath, overheadResponseBytes)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "saturate")
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "saturate")
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return errors.Wrap(err, "saturate")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("saturate: status %d", response.StatusCode)
	}
	return nil
}

// measure sends one round of load over a path and adds the resource usage of the
// round to the path's totals.
func (o *Overhead) measure(ctx context.Context, client *http.Client, p *path, rate float64, round uint64) error {
	callTypes := []loader.CallType{loader.NewCallType(http.MethodGet, overheadPath, time.Second, 1).WithSizes(0, overheadResponseBytes)}
	load := func(window time.Duration) *loader.Summary {
		return loader.Run(ctx, client, loader.NewPlan([]string{p.address}, callTypes, rate, window, loader.WithSeed(o.seed+round)))
	}
	load(overheadWarmup)
	before, err := p.usage(ctx)
	if err != nil {
		return err
	}
	p.rounds = append(p.rounds, load(o.window))
	after, err := p.usage(ctx)
	if err != nil {
		return err
	}
	p.cpu += after.cpu - before.cpu
	p.mallocs += after.mallocs - before.mallocs
	p.bytes += after.bytes - before.bytes
	return nil
}

// processUsage is the resource usage of the process under test. It is zero for the
// direct path, and for the relay it has CPU time only.
type processUsage struct {
	cpu     time.Duration
	mallocs float64
	bytes   float64
}

func (p *path) usage(ctx context.Context) (processUsage, error) {
	var used processUsage
	var err error
	if p.pid != 0 {
		if used.cpu, err = cpuTime(p.pid); err != nil {
			return used, err
		}
	}
	if p.admin == "" {
		return used, nil
	}
	if used.mallocs, err = metricValue(ctx, p.admin, "go_memstats_mallocs_total"); err != nil {
		return used, err
	}
	used.bytes, err = metricValue(ctx, p.admin, "go_memstats_alloc_bytes_total")
	return used, err
}

// report writes, for each path, the figures of all rounds together and the added
// latency: the median over the rounds of the difference from the direct path in
// the same round. The median keeps noise of the machine, which affects single
// rounds, out of the result.
func (o *Overhead) report(paths []path, rate float64) error {
	encoder := json.NewEncoder(o.output)
	for _, p := range paths {
		total := loader.NewSummary()
		for _, round := range p.rounds {
			total.Merge(round)
		}
		calls := float64(total.Total())
		result := overheadResult{
			Experiment: "overhead", Path: p.name, Seed: o.seed,
			Calls: total.Total(), Good: total.Count(loader.Good),
			CallsPerS: rate, SaturationPS: p.saturation,
			P50Us: total.Quantile(50).Microseconds(), P99Us: total.Quantile(99).Microseconds(),
			AddedP50Us: p.addedLatency(paths[0], 50).Microseconds(), AddedP99Us: p.addedLatency(paths[0], 99).Microseconds(),
			AllocsPerCall: p.mallocs / calls, AllocBytesPerCall: p.bytes / calls,
		}
		if p.cpu > 0 {
			result.CallsPerCore = calls / p.cpu.Seconds()
		}
		if err := encoder.Encode(result); err != nil {
			return errors.Wrap(err, "write result")
		}
		fmt.Fprintf(o.progress, "%-12s p50 %6d us  p99 %6d us  added p50 %5d us  added p99 %5d us  %.0f calls/s/core  %.0f allocs/call\n",
			p.name, result.P50Us, result.P99Us, result.AddedP50Us, result.AddedP99Us, result.CallsPerCore, result.AllocsPerCall)
	}
	return nil
}

func (p path) addedLatency(direct path, percent float64) time.Duration {
	var added []time.Duration
	for i, round := range p.rounds {
		added = append(added, round.Quantile(percent)-direct.rounds[i].Quantile(percent))
	}
	slices.Sort(added)
	return added[len(added)/2]
}
