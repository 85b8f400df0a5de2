package soaker_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdocklane/launcher"
	"burdocklane/platform/imitator"

	"github.com/Shopify/toxiproxy"
	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

const (
	host         = "127.0.0.1"
	serviceName  = "service"
	workerCount  = 5
	configKey    = "op/config"
	drainTimeout = 2 * time.Second
)

// zones are the availability zones that instances are assigned to in turn. With
// three instances in zone a, one of them follows the store's keys and relays them
// to the others.
var zones = []string{"a", "a", "a", "b"}

// fleet holds everything that one run has started.
type fleet struct {
	c        *qt.C
	launcher *launcher.Launcher
	store    *imitator.Store
	// firstBackup is the time of the oldest copy that the store may be restored from.
	firstBackup  time.Time
	restoreMutex sync.Mutex // Held by the fault that restores the store.

	mutex        sync.Mutex // Guards the fields below.
	workers      []*proxiedWorker
	instances    []*instance
	incarnations []*incarnation
	version      int
	otherRoutes  int // The number of routes that nobody calls.
	// confirmations are the times at which the store had confirmed the versions of
	// the configuration, from the first on.
	confirmations   []time.Time
	disturbances    []disturbance
	lateActivations []lateActivation
}

// proxiedWorker is a worker behind a proxy.
type proxiedWorker struct {
	worker  *imitator.Worker
	proxy   *toxiproxy.Proxy
	leaving bool
	// drainingSince is the time at which the store had the worker listed as
	// draining, or zero if it is not. The worker must get no calls from drainTimeout
	// after that time.
	drainingSince time.Time
}

// instance is one instance of the fleet. Its process is restarted by some faults,
// with the same settings and ports.
type instance struct {
	name        string
	callers     string
	settings    string
	entrance    *imitator.Entrance // The instance's own address of the store.
	storeProxy  *toxiproxy.Proxy
	faultMutex  sync.Mutex // Held by the fault that acts on the process.
	incarnation *incarnation
}

// incarnation is one run of an instance's process.
type incarnation struct {
	instance *instance
	process  *launcher.Process
	callers  string
	// replaced reports that the process has ended, and that the next one of the instance
	// starts or has started at the same address.
	replaced atomic.Bool
	mutex    sync.Mutex // Guards the fields below.
	// disturbed reports that a fault may have aborted calls.
	disturbed    bool
	latestServed int // The latest configuration version that was seen active.
}

func (i *incarnation) markDisturbed() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.disturbed = true
}

func (i *incarnation) isDisturbed() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.disturbed
}

func newProxy(c *qt.C, upstream string) *toxiproxy.Proxy {
	logrus.SetOutput(io.Discard)
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = "proxy", host+":0", upstream
	c.Assert(p.Start(), qt.IsNil)
	c.Cleanup(p.Stop)
	return p
}

func newFleet(t *testing.T, binary string) *fleet {
	c := qt.New(t)
	dir := filepath.Join(os.TempDir(), "burdocklane-soak", strconv.Itoa(os.Getpid()), strings.ReplaceAll(t.Name(), "/", "-"))
	c.Assert(os.RemoveAll(dir), qt.IsNil)
	c.Assert(os.MkdirAll(dir, 0o700), qt.IsNil)
	f := &fleet{c: c, launcher: launcher.New(binary, dir, launcher.WithOutputLogged()), store: imitator.NewStore()}
	c.Cleanup(f.store.Close)
	c.Cleanup(f.launcher.Close)
	f.putNextConfiguration()
	for n := range workerCount {
		f.addWorker(fmt.Sprintf("worker-%d", n))
	}
	f.firstBackup = time.Now()
	for n := range instanceCount(c) {
		f.addInstance(fmt.Sprintf("edge-%d", n), zones[n%len(zones)])
	}
	return f
}

// putNextConfiguration puts the next version of the configuration into the store.
// Each version adds one route of each kind and a key, and withdraws a key. It has all other routes too, which nobody
// calls.
func (f *fleet) putNextConfiguration() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.version++
	var routes []string
	for n := 1; n <= f.version; n++ {
		routes = append(routes, fmt.Sprintf(`"safe-%[1]d":{"Host":"h.example","Prefix":"/safe/%[1]d/",%[2]s,"Kind":"safe"},`+
			`"once-%[1]d":{"Host":"h.example","Prefix":"/once/%[1]d/",%[2]s,"Kind":"unsafe"}`, n,
			`"TimeoutMs":2000,"TargetLatencyMs":300,"MaxAttempts":3,"Service":"`+serviceName+`"`))
	}
	for n := range f.otherRoutes {
		routes = append(routes, fmt.Sprintf(`"other-%[1]d":{"Host":"h%[1]d.example","Prefix":"/other/%[1]d/","Kind":"safe","Service":%[2]q}`, n, serviceName))
	}
	f.store.Put(configKey, fmt.Sprintf(`{"Version":"r%d","Routes":{%s},"Services":{%q:{"HealthPath":%q}},"Limits":{"IdleTimeoutMs":15000},"Tenants":%s}`,
		f.version, strings.Join(routes, ","), serviceName, imitator.HealthPath, tenantsOf(f.version)))
	f.confirmations = append(f.confirmations, time.Now())
}

func (f *fleet) latestVersion() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.version
}

func (f *fleet) addWorker(id string) {
	w := imitator.NewWorker(id)
	f.c.Cleanup(w.Close)
	m := &proxiedWorker{worker: w, proxy: newProxy(f.c, w.Address())}
	f.register(m, "ready")
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.workers = append(f.workers, m)
}

// heartbeat returns the key and the value of the worker's next registration as ready, which
// is not written yet.
func (f *fleet) heartbeat(m *proxiedWorker) (key, value string) {
	return m.worker.Entry(serviceName, "a", m.proxy.Listen, "ready")
}

func (f *fleet) register(m *proxiedWorker, state string) {
	f.store.Put(m.worker.Entry(serviceName, "a", m.proxy.Listen, state))
}

const (
	// minPort and maxPort limit the ports of instances. They lie above the ports of
	// launcher.FreePorts and below the system's ephemeral ports, so that no other
	// test takes a port of an instance that is being restarted.
	minPort          = 30_001
	maxPort          = 32_767
	portsPerInstance = 4 // For callers, for readiness and two for other instances.
	portBlocks       = (maxPort - minPort + 1) / portsPerInstance
)

// lastPortBlock is the last block of ports that was assigned. Seeds run in parallel
// and share it, since an instance binds its ports only while its process runs.
var lastPortBlock atomic.Uint32

func init() { lastPortBlock.Store(rand.Uint32N(portBlocks)) }

// assignPorts returns the first of portsPerInstance consecutive ports that are free.
func assignPorts(c *qt.C) int {
	for range portBlocks {
		first := minPort + int(lastPortBlock.Add(1)%portBlocks)*portsPerInstance
		if launcher.Reserve(host, first, portsPerInstance) {
			return first
		}
	}
	c.Fatal("no block of ports is free")
	return 0
}

// address returns host:port of the soak's host.
func address(port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

func (f *fleet) addInstance(name, zone string) {
	first := assignPorts(f.c)
	callers, ready, internal := address(first), address(first+1), first+2
	i := &instance{name: name, callers: callers, entrance: f.store.NewEntrance()}
	i.storeProxy = newProxy(f.c, i.entrance.Address())
	i.settings = filepath.Join(f.launcher.Dir(), name+".conf")
	f.c.Assert(os.WriteFile(i.settings, fmt.Appendf(nil, `NodeName=%s
Ip=%s
Zone=%s
Region=r
Zones.a=r
Zones.b=r
Listen.Front=%s
Listen.Ready=%s
InternalPorts=%d,%d
Bounds=DrainMs=%d,ConfigApplyMs=%d,GraceS=6
Platform.Address=%s
`, name, host, zone, callers, ready, internal, internal+1, drainTimeout.Milliseconds(), drainTimeout.Milliseconds(), i.storeProxy.Listen), 0o600), qt.IsNil)
	f.instances = append(f.instances, i)
	f.start(i)
}

// start starts a new process of the instance.
func (f *fleet) start(i *instance) {
	if last := f.currentIncarnation(i); last != nil {
		last.replaced.Store(true)
	}
	p, err := f.launcher.Start(i.name, "--settings", i.settings)
	f.c.Assert(err, qt.IsNil)
	f.c.Check(p.AwaitOutput(), qt.IsNil)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	i.incarnation = &incarnation{instance: i, process: p, callers: i.callers}
	f.incarnations = append(f.incarnations, i.incarnation)
}

// currentIncarnation returns the latest process of the instance.
func (f *fleet) currentIncarnation(i *instance) *incarnation {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return i.incarnation
}

// currentIncarnations returns the latest process of each instance.
func (f *fleet) currentIncarnations() []*incarnation {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var incarnations []*incarnation
	for _, i := range f.instances {
		incarnations = append(incarnations, i.incarnation)
	}
	return incarnations
}
