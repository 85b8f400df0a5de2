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
	regionCount         = 3
	zonesPerRegion      = 2
	zoneDelay           = 1500 * time.Microsecond
	regionDelay         = 8 * time.Millisecond
	firstWorkerHostByte = 10
	overreportedFactor  = 10
)

// fleetSpec describes a user's fleet for one service and the service's target.
type fleetSpec struct {
	user                 string
	service              string
	path                 string
	workers              int
	slots                int
	instances            int
	target               time.Duration
	quantile             float64
	measurementBytesPerS int64
}

// fleetSpecs returns the fleets of the users' largest services, as the requirements
// give them.
func fleetSpecs() []fleetSpec {
	return []fleetSpec{
		{user: "authority", service: "design-registry", path: "/designs", workers: 20, slots: 6, instances: 15, target: 120 * time.Millisecond, quantile: 0.99, measurementBytesPerS: 4000},
		{user: "association", service: "pattern-catalogue", path: "/patterns", workers: 14, slots: 3, instances: 15, target: 60 * time.Millisecond, quantile: 0.99, measurementBytesPerS: 15000},
	}
}

// routingFleet is the set of workers that all policies share, and for each policy
// a platform and instances of its own.
type routingFleet struct {
	spec          fleetSpec
	scale         timeScale
	launcher      *launcher.Launcher
	workers       []*launcher.Worker
	platforms     []string
	instances     map[string][]*launcher.Instance
	overreporting bool
}

// memberLocality returns the locality of the n-th member, spread evenly over the
// zones, and a loopback address that encodes it, from which the emulated workers
// derive their network delays.
func memberLocality(n, host int) (registrar.Locality, string) {
	region := n % regionCount
	zone := n / regionCount % zonesPerRegion
	locality := registrar.NewLocality(fmt.Sprintf("region-%d", region+1), fmt.Sprintf("region-%d-%c", region+1, 'a'+zone))
	return locality, fmt.Sprintf("127.%d.%d.%d", region+1, zone+1, host)
}

// regionOf returns the region that memberLocality encoded in the address.
func regionOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host).To4()
	if err != nil || ip == nil {
		return ""
	}
	return fmt.Sprintf("region-%d", ip[1])
}

func newRoutingFleet(ctx context.Context, l *launcher.Launcher, s fleetSpec, sc timeScale, policies []string) (*routingFleet, error) {
	r := &routingFleet{spec: s, scale: sc, launcher: l, instances: map[string][]*launcher.Instance{}}
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

func (r *routingFleet) startWorkers() error {
	for n := range r.spec.workers {
		locality, host := memberLocality(n, firstWorkerHostByte+n)
		id := registrar.WorkerID(fmt.Sprintf("worker-%s-%d", locality.Zone(), n))
		member := registrar.NewWorker(id, descriptor.ServiceName(r.spec.service), host+":0", locality, r.spec.slots, false)
		w, err := r.launcher.StartWorker(launcher.NewWorkerSpec(member, healthyBehaviour(n, r.scale)).WithoutRegistration().
			WithDelays(r.scale.apply(zoneDelay), r.scale.apply(regionDelay)))
		if err != nil {
			return err
		}
		r.workers = append(r.workers, w)
	}
	return nil
}

// startPolicy starts a platform and the instances of one policy, and registers
// the workers there.
func (r *routingFleet) startPolicy(ctx context.Context, policy string) error {
	if _, err := r.launcher.StartPlatform(); err != nil {
		return err
	}
	r.platforms = append(r.platforms, r.launcher.PlatformURL())
	var members []registrar.Worker
	for _, w := range r.workers {
		members = append(members, w.Member())
	}
	if err := emulator.Register(ctx, r.launcher.PlatformURL(), members, nil); err != nil {
		return err
	}
	if err := applyDeployment(ctx, r.launcher.PlatformURL(), r.deployment(policy)); err != nil {
		return err
	}
	for n := range r.spec.instances {
		locality, host := memberLocality(n, 1+n)
		id := registrar.InstanceID(fmt.Sprintf("%s-%d", policy, n))
		i, err := r.launcher.StartInstance(launcher.NewInstanceSpec(id, locality, host).
			WithPolicy(policy).WithLogLevel("warn"))
		if err != nil {
			return err
		}
		r.instances[policy] = append(r.instances[policy], i)
	}
	return nil
}

// deployment returns a configuration with one idempotent class. Baselines get an
// unlimited measurement budget; burdocklane's own policy keeps to the user's.
func (r *routingFleet) deployment(policy string) descriptor.Deployment {
	const unlimited = 1 << 30
	bytes := int64(unlimited)
	if policy == ownPolicy {
		bytes = r.spec.measurementBytesPerS
	}
	class := descriptor.NewClass("lookup",
		descriptor.WithPaths(r.spec.path),
		descriptor.WithCallSemantics(descriptor.Idempotent{}),
		descriptor.WithTarget(descriptor.NewTarget(r.scale.apply(r.spec.target), r.spec.quantile)),
		descriptor.WithDeadline(r.scale.apply(2*time.Second)))
	service := descriptor.NewService(descriptor.ServiceName(r.spec.service), []descriptor.Class{class}, []int{503})
	return descriptor.NewDeployment("bench", descriptor.NewMeasurementBudget(bytes, 0.01), []descriptor.Service{service})
}

func (r *routingFleet) awaitReady(ctx context.Context) error {
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

func (r *routingFleet) callerAddresses(policy string) []string {
	var addresses []string
	for _, i := range r.instances[policy] {
		addresses = append(addresses, i.Callers())
	}
	return addresses
}

// reportedSlots returns the number of slots that a worker is registered with.
func (r *routingFleet) reportedSlots(m registrar.Worker) int {
	if r.overreporting {
		return m.Slots() * overreportedFactor
	}
	return m.Slots()
}

// prepare sets the scenario's behaviour at each worker and updates the registered
// slots if the scenario changes them.
func (r *routingFleet) prepare(ctx context.Context, s scenario) error {
	changed := r.overreporting != s.overreporting
	r.overreporting = s.overreporting
	for n, w := range r.workers {
		if err := w.SetBehaviour(ctx, s.behaviour(n, r.scale)); err != nil {
			return err
		}
		if changed {
			r.updateRegistration(ctx, w, false)
		}
	}
	return nil
}

// effortCounters is the total of the measurement bytes, retries and hedges of a policy's
// instances.
type effortCounters struct {
	measurementBytes int64
	retries          int64
	hedges           float64
}

func (r *routingFleet) readCounters(ctx context.Context, policy string) (effortCounters, error) {
	var total effortCounters
	for _, i := range r.instances[policy] {
		e, err := inspector.FetchOverhead(ctx, i.Member().AdminAddress())
		if err != nil {
			return total, err
		}
		hedges, err := metricValue(ctx, i.Member().AdminAddress(), "burdocklane_hedges_total")
		if err != nil {
			return total, err
		}
		total.measurementBytes += e.MeasurementBytes()
		total.retries += e.Retries()
		total.hedges += hedges
	}
	return total, nil
}
