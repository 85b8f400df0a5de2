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
	overheadService = "design-registry"
	overheadPath    = "/designs/1"
	overheadSlots   = 256
	overheadAnswer  = 512
	overheadWarmup  = time.Second
	saturationTime  = 2 * time.Second
	saturationConns = 64
	// smallInstance is how many processors an instance, and the relay, may use:
	// the users' entry instances are small, and the load needs the others.
	smallInstance = 2
)

// Overhead is the experiment that compares a call direct to a worker with one
// through a bare relay and one through an instance.
type Overhead struct {
	launcher *launcher.Launcher
	example  string
	rounds   int
	span     time.Duration
	seed     uint64
	load     float64
	output   io.Writer
	progress io.Writer
}

// NewOverhead returns the experiment; each of the rounds sends load to each of
// the paths in turn for the span, at the given share of the instance's
// saturation rate.
func NewOverhead(l *launcher.Launcher, example string, rounds int, span time.Duration, load float64, seed uint64, output, progress io.Writer) *Overhead {
	return &Overhead{launcher: l, example: example, rounds: rounds, span: span, load: load, seed: seed, output: output, progress: progress}
}

// path is one way to the worker.
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

// overheadLine is one result line.
type overheadLine struct {
	Experiment   string  `json:"experiment"`
	Path         string  `json:"path"`
	Seed         uint64  `json:"seed"`
	Calls        int64   `json:"calls"`
	Good         int64   `json:"good"`
	RatePerS     float64 `json:"rate-per-s"`
	SaturationPS float64 `json:"saturation-per-s"`
	P50Us        int64   `json:"p50-us"`
	P99Us        int64   `json:"p99-us"`
	AddedP50Us   int64   `json:"added-p50-us"`
	AddedP99Us   int64   `json:"added-p99-us"`
	CallsPerCore float64 `json:"calls-per-s-per-core,omitempty"`
	AllocsPer    float64 `json:"allocs-per-call,omitempty"`
	BytesPer     float64 `json:"alloc-bytes-per-call,omitempty"`
}

// Run starts the processes, measures and writes a JSON line for each path.
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
	rate := paths[len(paths)-1].saturation * o.load
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
	place := registrar.NewPlace("pwani", "pwani-a")
	member := registrar.NewWorker("worker-1", descriptor.ServiceName(overheadService), "127.0.0.1:0", place, overheadSlots, false)
	worker, err := o.launcher.StartWorker(launcher.NewWorkerSpec(member, emulator.NewBehaviour(emulator.WithService(0, 0))))
	if err != nil {
		return nil, err
	}
	relay, err := o.launcher.WithProcessors(smallInstance).StartRelay(worker.Member().Address())
	if err != nil {
		return nil, err
	}
	if err := applyExample(ctx, o.launcher.Platform(), o.example); err != nil {
		return nil, err
	}
	instance, err := o.launcher.WithProcessors(smallInstance).StartInstance(launcher.NewInstanceSpec("instance-1", place, "127.0.0.1"))
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
		{name: "instance", address: instance.Callers(), pid: instance.ProcessID(), admin: instance.Member().Admin()},
	}, nil
}

// saturate returns the calls a second of closed-loop load.
func saturate(ctx context.Context, client *http.Client, address string) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, saturationTime)
	defer cancel()
	var count atomic.Int64
	var running sync.WaitGroup
	started := time.Now()
	for range saturationConns {
		running.Go(func() {
			for get(ctx, client, address) == nil {
				count.Add(1)
			}
		})
	}
	running.Wait()
	if count.Load() == 0 {
		return 0, errors.Errorf("no answer from %s", address)
	}
	return float64(count.Load()) / time.Since(started).Seconds(), nil
}

func get(ctx context.Context, client *http.Client, address string) error {
	url := fmt.Sprintf("http://%s%s?bytes=%d", address, overheadPath, overheadAnswer)
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

// measure sends one round of load over a path, and adds what it cost.
func (o *Overhead) measure(ctx context.Context, client *http.Client, p *path, rate float64, round uint64) error {
	shots := []loader.Shot{loader.NewShot(http.MethodGet, overheadPath, time.Second, 1).WithSizes(0, overheadAnswer)}
	load := func(span time.Duration) *loader.Summary {
		return loader.Run(ctx, client, loader.NewPlan([]string{p.address}, shots, rate, span, loader.WithSeed(o.seed+round)))
	}
	load(overheadWarmup)
	before, err := p.costs(ctx)
	if err != nil {
		return err
	}
	p.rounds = append(p.rounds, load(o.span))
	after, err := p.costs(ctx)
	if err != nil {
		return err
	}
	p.cpu += after.cpu - before.cpu
	p.mallocs += after.mallocs - before.mallocs
	p.bytes += after.bytes - before.bytes
	return nil
}

type costs struct {
	cpu     time.Duration
	mallocs float64
	bytes   float64
}

func (p *path) costs(ctx context.Context) (costs, error) {
	var c costs
	var err error
	if p.pid != 0 {
		if c.cpu, err = cpuTime(p.pid); err != nil {
			return c, err
		}
	}
	if p.admin == "" {
		return c, nil
	}
	if c.mallocs, err = metricValue(ctx, p.admin, "go_memstats_mallocs_total"); err != nil {
		return c, err
	}
	c.bytes, err = metricValue(ctx, p.admin, "go_memstats_alloc_bytes_total")
	return c, err
}

// report prints, for each path, the whole load's figures and the median over
// the rounds of what the path added to the direct one in the same round: the
// machine's own noise falls on single rounds.
func (o *Overhead) report(paths []path, rate float64) error {
	encoder := json.NewEncoder(o.output)
	for _, p := range paths {
		whole := loader.NewSummary()
		for _, round := range p.rounds {
			whole.Merge(round)
		}
		calls := float64(whole.Total())
		line := overheadLine{
			Experiment: "overhead", Path: p.name, Seed: o.seed,
			Calls: whole.Total(), Good: whole.Count(loader.Good),
			RatePerS: rate, SaturationPS: p.saturation,
			P50Us: whole.Quantile(50).Microseconds(), P99Us: whole.Quantile(99).Microseconds(),
			AddedP50Us: p.added(paths[0], 50).Microseconds(), AddedP99Us: p.added(paths[0], 99).Microseconds(),
			AllocsPer: p.mallocs / calls, BytesPer: p.bytes / calls,
		}
		if p.cpu > 0 {
			line.CallsPerCore = calls / p.cpu.Seconds()
		}
		if err := encoder.Encode(line); err != nil {
			return errors.Wrap(err, "write result")
		}
		fmt.Fprintf(o.progress, "%-12s p50 %6d us  p99 %6d us  added p50 %5d us  added p99 %5d us  %.0f calls/s/core  %.0f allocs/call\n",
			p.name, line.P50Us, line.P99Us, line.AddedP50Us, line.AddedP99Us, line.CallsPerCore, line.AllocsPer)
	}
	return nil
}

func (p path) added(direct path, percent float64) time.Duration {
	var added []time.Duration
	for i, round := range p.rounds {
		added = append(added, round.Quantile(percent)-direct.rounds[i].Quantile(percent))
	}
	slices.Sort(added)
	return added[len(added)/2]
}
