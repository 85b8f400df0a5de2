package bencher

import (
	"context"
	"fmt"
	"net"
	"time"

	"burdocklane/descriptor"
	"burdocklane/emulator"
	"burdocklane/inspector"
	"burdocklane/launcher"
	"burdocklane/registrar"
)

const (
	regionCount     = 3
	zonesPerRegion  = 2
	zoneDelay       = 1500 * time.Microsecond
	regionDelay     = 8 * time.Millisecond
	firstWorkerHost = 10
	liesTenfold     = 10
)

// size is a user's fleet for one service.
type size struct {
	user      string
	service   string
	path      string
	workers   int
	slots     int
	instances int
	target    time.Duration
	quantile  float64
	bytes     int64
}

// sizes returns the brief's sizes of the users' largest services.
func sizes() []size {
	return []size{
		{user: "authority", service: "design-registry", path: "/designs", workers: 20, slots: 6, instances: 15, target: 120 * time.Millisecond, quantile: 0.99, bytes: 4000},
		{user: "association", service: "pattern-catalogue", path: "/patterns", workers: 14, slots: 3, instances: 15, target: 60 * time.Millisecond, quantile: 0.99, bytes: 15000},
	}
}

// rig is the workers, and for each policy a platform and instances.
type rig struct {
	size      size
	scale     scale
	launcher  *launcher.Launcher
	workers   []*launcher.Worker
	platforms []string
	instances map[string][]*launcher.Instance
	lying     bool
}

// place spreads the members evenly over zones, and gives each an address that
// tells the stand-ins where it stands.
func place(n, host int) (registrar.Place, string) {
	region := n % regionCount
	zone := n / regionCount % zonesPerRegion
	p := registrar.NewPlace(fmt.Sprintf("region-%d", region+1), fmt.Sprintf("region-%d-%c", region+1, 'a'+zone))
	return p, fmt.Sprintf("127.%d.%d.%d", region+1, zone+1, host)
}

func regionOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host).To4()
	if err != nil || ip == nil {
		return ""
	}
	return fmt.Sprintf("region-%d", ip[1])
}

func newRig(ctx context.Context, l *launcher.Launcher, s size, sc scale, policies []string) (*rig, error) {
	r := &rig{size: s, scale: sc, launcher: l, instances: map[string][]*launcher.Instance{}}
	if err := r.startWorkers(); err != nil {
		return nil, err
	}
	for _, policy := range policies {
		if err := r.startPolicy(ctx, policy); err != nil {
			return nil, err
		}
	}
	return r, r.awaitReady(ctx)
}

func (r *rig) startWorkers() error {
	for n := range r.size.workers {
		at, host := place(n, firstWorkerHost+n)
		id := registrar.WorkerID(fmt.Sprintf("worker-%s-%d", at.Zone(), n))
		member := registrar.NewWorker(id, descriptor.ServiceName(r.size.service), host+":0", at, r.size.slots, false)
		w, err := r.launcher.StartWorker(launcher.NewWorkerSpec(member, healthy(n, r.scale)).Unlisted().
			WithDelays(r.scale.of(zoneDelay), r.scale.of(regionDelay)))
		if err != nil {
			return err
		}
		r.workers = append(r.workers, w)
	}
	return nil
}

// startPolicy starts a platform and the instances of one policy, and lists the
// workers there.
func (r *rig) startPolicy(ctx context.Context, policy string) error {
	if _, err := r.launcher.StartPlatform(); err != nil {
		return err
	}
	r.platforms = append(r.platforms, r.launcher.Platform())
	var listed []registrar.Worker
	for _, w := range r.workers {
		listed = append(listed, w.Member())
	}
	if err := emulator.Register(ctx, r.launcher.Platform(), listed, nil); err != nil {
		return err
	}
	if err := applyDeployment(ctx, r.launcher.Platform(), r.deployment(policy)); err != nil {
		return err
	}
	for n := range r.size.instances {
		at, host := place(n, 1+n)
		id := registrar.InstanceID(fmt.Sprintf("%s-%d", policy, n))
		i, err := r.launcher.StartInstance(launcher.NewInstanceSpec(id, at, host).
			WithPolicy(policy).WithLogLevel("warn"))
		if err != nil {
			return err
		}
		r.instances[policy] = append(r.instances[policy], i)
	}
	return nil
}

// deployment has one idempotent class. Baselines get a measuring budget that
// never ends; the product keeps to the user's.
func (r *rig) deployment(policy string) descriptor.Deployment {
	const endless = 1 << 30
	bytes := int64(endless)
	if policy == product {
		bytes = r.size.bytes
	}
	class := descriptor.NewClass("lookup",
		descriptor.WithPaths(r.size.path),
		descriptor.WithRepeat(descriptor.Idempotent{}),
		descriptor.WithTarget(descriptor.NewTarget(r.scale.of(r.size.target), r.size.quantile)),
		descriptor.WithDeadline(r.scale.of(2*time.Second)))
	service := descriptor.NewService(descriptor.ServiceName(r.size.service), []descriptor.Class{class}, []int{503})
	return descriptor.NewDeployment("bench", descriptor.NewMeasuring(bytes, 0.01), []descriptor.Service{service})
}

func (r *rig) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, instances := range r.instances {
		for _, i := range instances {
			if err := i.AwaitReady(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *rig) callers(policy string) []string {
	var addresses []string
	for _, i := range r.instances[policy] {
		addresses = append(addresses, i.Callers())
	}
	return addresses
}

// reported is what a worker claims to run at once.
func (r *rig) reported(m registrar.Worker) int {
	if r.lying {
		return m.Slots() * liesTenfold
	}
	return m.Slots()
}

// prepare gives each worker the scenario's behaviour and report.
func (r *rig) prepare(ctx context.Context, s Scenario) error {
	changed := r.lying != s.lying
	r.lying = s.lying
	for n, w := range r.workers {
		if err := w.SetBehaviour(ctx, s.behaviour(n, r.scale)); err != nil {
			return err
		}
		if changed {
			r.list(ctx, w, false)
		}
	}
	return nil
}

// effort is what the instances of a policy have spent.
type effort struct {
	measured int64
	retries  int64
	hedges   float64
}

func (r *rig) effort(ctx context.Context, policy string) (effort, error) {
	var total effort
	for _, i := range r.instances[policy] {
		e, err := inspector.FetchEffort(ctx, i.Member().Admin())
		if err != nil {
			return total, err
		}
		hedges, err := metricValue(ctx, i.Member().Admin(), "burdocklane_hedges_total")
		if err != nil {
			return total, err
		}
		total.measured += e.MeasuredBytes()
		total.retries += e.Retries()
		total.hedges += hedges
	}
	return total, nil
}
