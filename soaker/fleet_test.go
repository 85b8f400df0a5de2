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
	host        = "127.0.0.1"
	serviceName = "service"
	workerCount = 5
	configKey   = "op/config"
	drainTime   = 2 * time.Second
)

// zones are those of the instances, in turn: one of those of a has the store's keys
// for the others.
var zones = []string{"a", "a", "a", "b"}

// fleet is everything that a run has started.
type fleet struct {
	c        *qt.C
	launcher *launcher.Launcher
	store    *imitator.Store

	mutex     sync.Mutex // Guards what follows.
	workers   []*member
	instances []*instance
	lives     []*life
	version   int
	// troubles are the times at which instances or their way to the store were
	// disturbed.
	troubles []trouble
}

type trouble struct {
	from time.Time
	to   time.Time
}

// contactTime is how long an instance has to be undisturbed for bounds of time to
// hold.
const contactTime = 3 * time.Second

func (f *fleet) noteTrouble(from, to time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.troubles = append(f.troubles, trouble{from: from, to: to})
}

// wasCalm tells whether nothing disturbed instances or the store from a little
// before one time until another.
func (f *fleet) wasCalm(from, to time.Time) bool {
	for _, t := range f.troubles {
		if t.from.Before(to) && t.to.Add(contactTime).After(from) {
			return false
		}
	}
	return true
}

// member is a worker behind a proxy.
type member struct {
	worker *imitator.Worker
	proxy  *toxiproxy.Proxy
	gone   bool
	// leftAt is when the store took note that the worker leaves, if it must get no
	// calls after drainTime.
	leftAt time.Time
}

// instance is a place where processes live one after the other.
type instance struct {
	name     string
	callers  string
	settings string
	storer   *toxiproxy.Proxy
	busy     sync.Mutex // Held by the fault that plays with the process.
	life     *life
}

// life is one process of an instance.
type life struct {
	process *launcher.Process
	callers string
	mutex   sync.Mutex // Guards what follows.
	// disturbed tells that calls may have been cut.
	disturbed bool
	served    int // The latest configuration that was seen in force.
}

func (l *life) disturb() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.disturbed = true
}

func (l *life) isDisturbed() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.disturbed
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
	dir := filepath.Join(os.TempDir(), "burdocklane-soak", strings.ReplaceAll(t.Name(), "/", "-"))
	c.Assert(os.RemoveAll(dir), qt.IsNil)
	c.Assert(os.MkdirAll(dir, 0o700), qt.IsNil)
	f := &fleet{c: c, launcher: launcher.New(binary, dir, launcher.WithOutputKept()), store: imitator.NewStore()}
	c.Cleanup(f.store.Close)
	c.Cleanup(f.launcher.Close)
	f.configure()
	for n := range workerCount {
		f.addWorker(fmt.Sprintf("worker-%d", n))
	}
	for n := range instances(c) {
		f.addInstance(fmt.Sprintf("edge-%d", n), zones[n%len(zones)])
	}
	return f
}

// configure puts the next configuration in force, which has one route more.
func (f *fleet) configure() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.version++
	var routes []string
	for n := 1; n <= f.version; n++ {
		routes = append(routes, fmt.Sprintf(`"safe-%[1]d":{"Host":"h.example","Prefix":"/safe/%[1]d/",%[2]s,"Kind":"safe"},`+
			`"once-%[1]d":{"Host":"h.example","Prefix":"/once/%[1]d/",%[2]s,"Kind":"unsafe"}`, n,
			`"TimeoutMs":2000,"TargetLatencyMs":300,"MaxAttempts":3,"Service":"`+serviceName+`"`))
	}
	f.store.Put(configKey, fmt.Sprintf(`{"Version":"r%d","Routes":{%s},"Services":{%q:{"HealthPath":%q}},"Limits":{"IdleTimeoutMs":15000}}`,
		f.version, strings.Join(routes, ","), serviceName, imitator.HealthPath))
}

func (f *fleet) latest() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.version
}

func (f *fleet) addWorker(id string) {
	w := imitator.NewWorker(id)
	f.c.Cleanup(w.Close)
	m := &member{worker: w, proxy: newProxy(f.c, w.Address())}
	f.list(m, "ready")
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.workers = append(f.workers, m)
}

func (f *fleet) list(m *member, state string) {
	f.store.Put(m.worker.Entry(serviceName, "a", m.proxy.Listen, state))
}

const (
	// minPort and maxPort bound the ports of instances. They lie above those of
	// launcher.FreePorts and below those that the system assigns, so that no other
	// test takes a port of an instance that is being restarted.
	minPort          = 30_001
	maxPort          = 32_767
	portsPerInstance = 4 // Callers, readiness and two for other instances.
	portBlocks       = (maxPort - minPort + 1) / portsPerInstance
)

// portBlock is the last block of ports that was assigned. Seeds run in parallel and
// share it, since an instance binds its ports only while its process runs.
var portBlock atomic.Uint32

func init() { portBlock.Store(rand.Uint32N(portBlocks)) }

// assignPorts returns the first of portsPerInstance consecutive ports that are free.
func assignPorts(c *qt.C) int {
	for range portBlocks {
		first := minPort + int(portBlock.Add(1)%portBlocks)*portsPerInstance
		free := true
		for port := first; port < first+portsPerInstance; port++ {
			free = free && isFree(port)
		}
		if free {
			return first
		}
	}
	c.Fatal("no block of ports is free")
	return 0
}

// isFree reports whether the port is free for connections and for datagrams.
func isFree(port int) bool {
	listener, err := net.Listen("tcp", address(port))
	if err != nil {
		return false
	}
	defer listener.Close()
	socket, err := net.ListenPacket("udp4", address(port))
	if err != nil {
		return false
	}
	defer socket.Close()
	return true
}

func address(port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

func (f *fleet) addInstance(name, zone string) {
	first := assignPorts(f.c)
	callers, ready, internal := address(first), address(first+1), first+2
	i := &instance{name: name, callers: callers, storer: newProxy(f.c, f.store.Address())}
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
`, name, host, zone, callers, ready, internal, internal+1, drainTime.Milliseconds(), drainTime.Milliseconds(), i.storer.Listen), 0o600), qt.IsNil)
	f.instances = append(f.instances, i)
	f.start(i)
}

// start begins another life of the instance.
func (f *fleet) start(i *instance) {
	p, err := f.launcher.Start(i.name, "--settings", i.settings)
	f.c.Assert(err, qt.IsNil)
	f.c.Check(p.AwaitOutput(), qt.IsNil)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	i.life = &life{process: p, callers: i.callers}
	f.lives = append(f.lives, i.life)
}

// living returns the lives that callers may use now.
func (f *fleet) living() []*life {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var lives []*life
	for _, i := range f.instances {
		lives = append(lives, i.life)
	}
	return lives
}
