package flooder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"burdocklane/commander"
	"burdocklane/descriptor"
	"burdocklane/emulator"
	"burdocklane/launcher"
	adapter "burdocklane/platform"
	"burdocklane/platform/imitator"
	"burdocklane/registrar"
	"burdocklane/runner"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

// envRunAs is the environment variable that makes the test binary run as one of the
// programs.
const envRunAs = "BURDOCKLANE_FLOODER_RUN_AS"

const (
	instanceProgram = "burdocklane-instance"
	serveProgram    = "burdocklane"
)

func TestMain(m *testing.M) {
	switch os.Getenv(envRunAs) {
	case instanceProgram:
		os.Exit(runner.Run(os.Args[1:], os.Stdout, os.Stderr))
	case serveProgram:
		os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const (
	loopback = "127.0.0.1"
	// megabytes is the memory of the machine.
	megabytes = 56
	// maxDescriptors is the number of descriptors of the machine, of which
	// fileDescriptors are kept for files: the rest are for sockets.
	maxDescriptors  = 500
	fileDescriptors = 200
	// maxConnections is the limit of callers' connections of the program that has it
	// among its settings.
	maxConnections = 200
	// maxBodyBytes is the longest body that a caller may send.
	maxBodyBytes = 1 << 20
	startTimeout = 20 * time.Second
	workers      = 3
	workerSlots  = 6
)

// program is a started process under test.
type program struct {
	c         *qt.C
	process   *launcher.Process
	callers   string
	readiness string
	readyPath string
	host      string
	routePath string
}

// target returns the address and the path of a place.
func (p *program) target(where place) (address, path string) {
	switch where {
	case withoutRoute:
		return p.callers, "/no/such/route/"
	case readiness:
		return p.readiness, p.readyPath
	}
	return p.callers, p.routePath
}

func newLauncher(c *qt.C, name string, env ...string) *launcher.Launcher {
	binary, err := os.Executable()
	c.Assert(err, qt.IsNil)
	l := launcher.New(binary, c.TempDir(), launcher.WithEnvironment(append(env, envRunAs+"="+name)...))
	c.Cleanup(l.Close)
	return l
}

func freePorts(c *qt.C, count int) []string {
	addresses, err := launcher.FreePorts(loopback, count)
	c.Assert(err, qt.IsNil)
	return addresses
}

// startInstance starts the program for the users' platform.
func startInstance(c *qt.C) *program {
	store := imitator.NewStore()
	c.Cleanup(store.Close)
	for n := range workers {
		w := imitator.NewWorker(fmt.Sprintf("worker-%d", n))
		c.Cleanup(w.Close)
		store.Put(w.Entry("s", "z", w.Address(), "ready"))
	}
	store.Put("op/config", fmt.Sprintf(`{"Version":"r1","Routes":{"a":{"Host":"h.example","Prefix":"/a/","Kind":"unsafe","TimeoutMs":2000,`+
		`"TargetLatencyMs":1000,"Service":"s","MaxAttempts":2}},"Services":{"s":{"HealthPath":%q}},`+
		`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":%d,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, imitator.HealthPath, maxBodyBytes))
	l := newLauncher(c, instanceProgram)
	ports := freePorts(c, 2)
	internal, err := launcher.FreePair(loopback)
	c.Assert(err, qt.IsNil)
	settings := filepath.Join(l.Dir(), "edge.conf")
	c.Assert(os.WriteFile(settings, fmt.Appendf(nil, `NodeName=edge-1
Ip=%s
Zone=z
Region=r
Zones.z=r
Listen.Front=%s
Listen.Ready=%s
InternalPorts=%d,%d
Limits.CpuShare=1
Limits.MemoryMb=%d
Limits.MaxFds=%d
Bounds=DrainMs=600,ConfigApplyMs=600,GraceS=6
Platform.Address=%s
`, loopback, ports[0], ports[1], internal, internal+1, megabytes, maxDescriptors, store.Address()), 0o600), qt.IsNil)
	process, err := l.Start("edge-1", "--settings", settings)
	c.Assert(err, qt.IsNil)
	return &program{
		c: c, process: process, callers: ports[0], readiness: ports[1], readyPath: adapter.ReadyPath,
		host: "h.example", routePath: "/a/batches",
	}
}

// goMemoryMegabytes is the limit of the Go runtime, six tenths of the machine's memory, as
// the operators' page says.
const goMemoryMegabytes = megabytes * 6 / 10

// startServe starts the program with its own interface.
func startServe(c *qt.C) *program {
	l := newLauncher(c, serveProgram, "GOMEMLIMIT="+strconv.Itoa(goMemoryMegabytes)+"MiB")
	_, err := l.StartPlatform()
	c.Assert(err, qt.IsNil)
	locality := registrar.NewLocality("r", "z")
	for n := range workers {
		member := registrar.NewWorker(registrar.WorkerID(fmt.Sprintf("worker-%d", n)), descriptor.ServiceName("s"), loopback+":0", locality, workerSlots, false)
		_, err := l.StartWorker(launcher.NewWorkerSpec(member, emulator.NewBehaviour()))
		c.Assert(err, qt.IsNil)
	}
	config := filepath.Join(l.Dir(), "config.json")
	c.Assert(os.WriteFile(config, []byte(`{"deployment":"d","measuring":{"bytes-per-second":4000,"worker-share":0.005},`+
		`"services":{"s":{"not-run-statuses":[503],"classes":{"a":{"methods":["POST","GET"],"paths":["/a"],"repeat":"at-most-once",`+
		`"target":{"latency":"200ms","quantile":0.99},"deadline":"2s"}}}}}`), 0o600), qt.IsNil)
	var output strings.Builder
	status := commander.Run([]string{"config", "apply", config, "--store", l.PlatformURL(), "--author", "test"}, &output, &output)
	c.Assert(status, qt.Equals, 0, qt.Commentf("%s", output.String()))
	ports := freePorts(c, 3)
	settings := filepath.Join(l.Dir(), "instance.json")
	c.Assert(os.WriteFile(settings, fmt.Appendf(nil, `{"instance":"i","region":"r","availability-zone":"z",`+
		`"listen":{"callers":%q,"peers":%q,"admin":%q,"source":%q},"platform":{"store":%q,"list":%q},`+
		`"limits":{"header-bytes":16384,"body-bytes":%d,"header-timeout":"3s","idle-timeout":"15s","connections":%d}}`,
		ports[0], ports[1], ports[2], loopback, l.PlatformURL(), l.PlatformURL()+"/list", maxBodyBytes, maxConnections), 0o600), qt.IsNil)
	process, err := l.Start("instance", "serve", "--settings", settings)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	instance := registrar.NewInstance("i", ports[1], ports[2], locality, false)
	c.Assert(emulator.Register(ctx, l.PlatformURL(), nil, []registrar.Instance{instance}), qt.IsNil)
	return &program{
		c: c, process: process, callers: ports[0], readiness: ports[2], readyPath: "/readyz",
		host: "h.example", routePath: "/a/batches",
	}
}

// ordinaryTimeout bounds the wait for an answer to an ordinary request, which is sent
// again after a refusal.
const ordinaryTimeout = 15 * time.Second

// awaitOrdinary sends an ordinary request on a new connection until it is answered with
// success.
func (p *program) awaitOrdinary(when string) {
	p.awaitSuccess(when+", at the route", http.MethodPost, p.callers, p.routePath, "ordinary")
	p.awaitSuccess(when+", at the readiness path", http.MethodGet, p.readiness, p.readyPath, "")
}

func (p *program) awaitSuccess(what, method, address, path, body string) {
	deadline := time.Now().Add(ordinaryTimeout)
	last := "nothing"
	for time.Now().Before(deadline) {
		status, err := p.request(method, address, path, body)
		if err == nil && status == http.StatusOK {
			return
		}
		last = fmt.Sprintf("status %d, error %v", status, err)
		time.Sleep(50 * time.Millisecond)
	}
	p.c.Errorf("an ordinary request %s was not answered within %s: last %s", what, ordinaryTimeout, last)
}

func (p *program) request(method, address, path, body string) (int, error) {
	dialer := net.Dialer{Timeout: time.Second}
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Host = p.host
	request.Header.Set("X-Request-Id", "ordinary")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(response.Body)
		return response.StatusCode, errors.New(string(reason))
	}
	return response.StatusCode, nil
}
