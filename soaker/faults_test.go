package soaker_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"burdocklane/platform/imitator"
	"burdocklane/sleeper"

	"github.com/Shopify/toxiproxy"
)

// fault is a failure that is injected for a given time.
type fault struct {
	name   string
	inject injection
}

type injection func(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration)

// disturbing records the time of the injection as a disturbance of all instances.
func disturbing(inject injection) injection {
	return func(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) {
		start := time.Now()
		inject(ctx, f, rng, duration)
		f.recordDisturbance(nil, start, time.Now())
	}
}

const (
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3500 * time.Millisecond
	maxFaultInterval = 800 * time.Millisecond
	// stopTimeout is the longest time that a process may take to stop.
	stopTimeout = 6 * time.Second
	// routesPerGrowth is by how many routes a configuration grows at once.
	routesPerGrowth = 1400
	maxOtherRoutes  = 3 * routesPerGrowth
)

func allFaults() []fault {
	return []fault{
		{"instance-killed", withInstance(killAndRestart)},
		{"instance-frozen", withInstance(suspendAndResume)},
		{"instance-stopped", withInstance(stopAndRestart)},
		{"instance-stopped-twice", withInstance(stopWithTwoSignals)},
		{"instance-reloads", withInstance(reload)},
		{"all-killed", disturbing(killAllInstances)},
		{"store-down", disturbing(storeFault((*imitator.Store).SetDown))},
		{"store-mute", disturbing(storeFault((*imitator.Store).SetDropResponses))},
		{"store-slow", disturbing(slowStore)},
		{"store-restored", restoreStore},
		{"store-compacts", disturbing(compactStore)},
		{"store-refuses-instance", refuseInstance},
		{"store-watches-silent", silenceWatches},
		{"store-link-silent", storeLinkFault(toxic("timeout", "upstream", `"timeout":0`), toxic("timeout", "downstream", `"timeout":0`))},
		{"store-link-one-way", storeLinkFault(toxic("timeout", "downstream", `"timeout":0`))},
		{"store-link-slow", storeLinkFault(toxic("latency", "downstream", `"latency":300,"jitter":200`))},
		{"store-link-reset", storeLinkFault(toxic("limit_data", "downstream", `"bytes":200`))},
		{"worker-link-slow", workerLinkFault(toxic("latency", "downstream", `"latency":150,"jitter":100`))},
		{"worker-link-silent", workerLinkFault(toxic("timeout", "downstream", `"timeout":0`))},
		{"worker-link-reset", workerLinkFault(toxic("limit_data", "downstream", `"bytes":500`))},
		{"worker-loses-answers", workerFault(imitator.DropsResponses)},
		{"worker-cuts-answers", workerFault(imitator.TruncatesResponses)},
		{"worker-declines", workerFault(imitator.RejectsRequests)},
		{"worker-slow", workerFault(imitator.Slow)},
		{"worker-hangs", workerFault(imitator.Hangs)},
		{"worker-drained", replaceWorker},
		{"worker-removed", removeWorker},
		{"configuration", changeConfiguration},
		{"configurations", changeConfigurationRepeatedly},
		{"configuration-grows", growConfiguration},
	}
}

// injectFaults injects one fault after the other until the context ends. The test
// runs it concurrently, so several faults may be active at once.
func injectFaults(ctx context.Context, f *fleet, rng *rand.Rand) {
	faults := selectedFaults(f.c)
	for ctx.Err() == nil {
		fault := faults[rng.IntN(len(faults))]
		duration := minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		f.c.Logf("%s for %s", fault.name, duration.Round(time.Millisecond))
		fault.inject(ctx, f, rng, duration)
		sleeper.Sleep(ctx, time.Duration(rng.Int64N(int64(maxFaultInterval))))
	}
}

func withInstance(inject func(ctx context.Context, f *fleet, i *instance, duration time.Duration)) injection {
	return func(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) {
		i := f.instances[rng.IntN(len(f.instances))]
		i.faultMutex.Lock()
		defer i.faultMutex.Unlock()
		start := time.Now()
		inject(ctx, f, i, duration)
		f.recordDisturbance(i, start, time.Now())
	}
}

func killAndRestart(ctx context.Context, f *fleet, i *instance, duration time.Duration) {
	i.incarnation.markDisturbed()
	i.incarnation.process.Kill()
	sleeper.Sleep(ctx, duration/4)
	f.start(i)
}

func suspendAndResume(ctx context.Context, _ *fleet, i *instance, duration time.Duration) {
	i.incarnation.markDisturbed()
	i.incarnation.process.Suspend()
	sleeper.Sleep(ctx, duration)
	i.incarnation.process.Resume()
}

func stopAndRestart(_ context.Context, f *fleet, i *instance, _ time.Duration) {
	start := time.Now()
	if err := i.incarnation.process.Stop(); err != nil {
		f.c.Errorf("%s exited with %v", i.name, err)
	}
	if took := time.Since(start); checkTimeLimits && took > stopTimeout {
		f.c.Errorf("%s took %s to stop", i.name, took)
	}
	f.start(i)
}

func stopWithTwoSignals(ctx context.Context, f *fleet, i *instance, duration time.Duration) {
	i.incarnation.process.Signal(syscall.SIGTERM)
	sleeper.Sleep(ctx, duration/8)
	i.incarnation.process.Signal(syscall.SIGHUP)
	stopAndRestart(ctx, f, i, duration)
}

func reload(_ context.Context, _ *fleet, i *instance, _ time.Duration) {
	i.incarnation.process.Signal(syscall.SIGHUP)
}

func killAllInstances(ctx context.Context, f *fleet, _ *rand.Rand, duration time.Duration) {
	for _, i := range f.instances {
		i.faultMutex.Lock()
		i.incarnation.markDisturbed()
		i.incarnation.process.Kill()
	}
	sleeper.Sleep(ctx, duration/4)
	for _, i := range f.instances {
		f.start(i)
		i.faultMutex.Unlock()
	}
}

var lastToxicNumber atomic.Int64

// toxic returns a function that adds a fault to a proxy's links and returns the
// function that removes it.
func toxic(kind, stream, attributes string) func(*fleet, *toxiproxy.Proxy) func() {
	return func(f *fleet, p *toxiproxy.Proxy) func() {
		name := fmt.Sprintf("toxic-%d", lastToxicNumber.Add(1))
		_, err := p.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"attributes":{%s}}`, name, kind, stream, attributes)))
		if err != nil {
			f.c.Errorf("could not add toxic %s: %v", kind, err)
			return func() {}
		}
		return func() {
			if err := p.Toxics.RemoveToxic(name); err != nil {
				f.c.Errorf("could not remove toxic %s: %v", kind, err)
			}
		}
	}
}

func workerLinkFault(toxics ...func(*fleet, *toxiproxy.Proxy) func()) injection {
	return func(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) {
		applyToxics(ctx, f, f.pickWorker(rng).proxy, duration, toxics)
	}
}

func applyToxics(ctx context.Context, f *fleet, p *toxiproxy.Proxy, duration time.Duration, toxics []func(*fleet, *toxiproxy.Proxy) func()) {
	for _, add := range toxics {
		defer add(f, p)()
	}
	sleeper.Sleep(ctx, duration)
}

// pickWorker returns a random worker that is not leaving.
func (f *fleet) pickWorker(rng *rand.Rand) *proxiedWorker {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for {
		if m := f.workers[rng.IntN(len(f.workers))]; !m.leaving {
			return m
		}
	}
}

func workerFault(fault imitator.Fault) injection {
	return func(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) {
		w := f.pickWorker(rng).worker
		w.SetFault(fault)
		sleeper.Sleep(ctx, duration)
		w.SetFault(imitator.NoFault)
	}
}

// replaceWorker replaces a worker by a new one. The old worker is listed as
// draining and keeps serving for the length of the fault, then it is removed from
// the list. It goes on serving. Meanwhile the store may run one of its heartbeats late.
func replaceWorker(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) {
	m := f.beginReplacement(rng)
	key, late := f.heartbeat(m)
	f.register(m, "draining")
	f.mutex.Lock()
	m.drainingSince = time.Now()
	f.mutex.Unlock()
	sleeper.Sleep(ctx, duration/2)
	if rng.IntN(2) == 0 {
		f.store.Put(key, late)
		sleeper.Sleep(ctx, drainTimeout)
	}
	sleeper.Sleep(ctx, duration/2)
	f.store.Remove(key)
}

// beginReplacement adds a worker and returns the one that leaves for it, which says so in
// its answers, only fails its health checks, or does neither.
func (f *fleet) beginReplacement(rng *rand.Rand) *proxiedWorker {
	f.addWorker(fmt.Sprintf("worker-%x", rng.Uint64()))
	m := f.pickWorker(rng)
	f.mutex.Lock()
	m.leaving = true
	f.mutex.Unlock()
	switch rng.IntN(3) {
	case 0:
		m.worker.AnnounceLeaving()
	case 1:
		m.worker.FailHealthChecks()
	}
	return m
}

// removeWorker replaces a worker that never reports draining: it is removed from the list
// late, or not at all, and the store may run one of its heartbeats after that.
func removeWorker(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) {
	m := f.beginReplacement(rng)
	key, late := f.heartbeat(m)
	sleeper.Sleep(ctx, duration/2)
	f.store.Remove(key)
	sleeper.Sleep(ctx, duration/2)
	if rng.IntN(2) == 0 {
		f.store.Put(key, late)
	}
}

func changeConfiguration(_ context.Context, f *fleet, _ *rand.Rand, _ time.Duration) {
	f.putNextConfiguration()
}

// growConfiguration adds many routes to the configuration, three times at most, and then
// changes it again.
func growConfiguration(ctx context.Context, f *fleet, _ *rand.Rand, duration time.Duration) {
	f.mutex.Lock()
	f.otherRoutes = min(f.otherRoutes+routesPerGrowth, maxOtherRoutes)
	f.mutex.Unlock()
	f.putNextConfiguration()
	sleeper.Sleep(ctx, duration)
	f.putNextConfiguration()
}

func changeConfigurationRepeatedly(ctx context.Context, f *fleet, _ *rand.Rand, duration time.Duration) {
	const changes = 6
	for range changes {
		f.putNextConfiguration()
		sleeper.Sleep(ctx, duration/changes)
	}
}
