package conductor_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"burdocklane/conductor"
	"burdocklane/launcher"
	adapter "burdocklane/platform"
	"burdocklane/platform/imitator"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// rig is the stand-in of the store, some workers and one instance.
type rig struct {
	c        *qt.C
	store    *imitator.Store
	instance *conductor.Conductor
	callers  string
	ready    string
}

// anyPort returns a port below those that the system gives to whoever asks for
// any: nobody takes it by chance.
func anyPort() int { return 10_000 + rand.IntN(20_000) }

func freePort(c *qt.C) string {
	addresses, err := launcher.FreePorts("127.0.0.1", 1)
	c.Assert(err, qt.IsNil)
	return addresses[0]
}

// freePair returns the first of two ports that are free for datagrams.
func freePair(c *qt.C) int {
	for range 1000 {
		port := anyPort()
		first, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err != nil {
			continue
		}
		second, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port + 1})
		first.Close()
		if err == nil {
			second.Close()
			return port
		}
	}
	c.Fatal("no two ports are free")
	return 0
}

func newRig(c *qt.C) *rig {
	r := &rig{c: c, store: imitator.NewStore(), callers: freePort(c), ready: freePort(c)}
	c.Cleanup(r.store.Close)
	port := freePair(c)
	settings, err := adapter.ParseSettings(fmt.Appendf(nil, `NodeName=edge-1
Ip=127.0.0.1
Zone=z
Region=r
Zones.z=r
Listen.Front=%s
Listen.Ready=%s
InternalPorts=%d,%d
Bounds=DrainMs=600,ConfigApplyMs=600,GraceS=6
Platform.Address=%s
`, r.callers, r.ready, port, port+1, r.store.Address()))
	c.Assert(err, qt.IsNil)
	r.instance, err = conductor.New(settings, io.Discard)
	c.Assert(err, qt.IsNil)
	return r
}

// worker starts a worker that answers status checks, and returns its entry.
func (r *rig) worker(id string, served *atomic.Int64) func(state string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("X-Instance-Id", id)
		w.Header().Set("X-Server-Load", "0,0,6,100")
		if request.URL.Path == "/health" {
			return
		}
		served.Add(1)
		w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Signature", "s")
		io.WriteString(w, id) //nolint:errcheck // The caller notices.
	}))
	r.c.Cleanup(server.Close)
	return func(state string) string {
		return fmt.Sprintf(`{"Service":"s","Address":%q,"Zone":"z","Version":"v","Capacity":6,"State":%q,"WarmupLeftMs":0,"Seq":1,"born":1}`,
			strings.TrimPrefix(server.URL, "http://"), state)
	}
}

func configured(version int, prefix string) string {
	return fmt.Sprintf(`{"Version":"r%d","Routes":{"a":{"Host":"h.example","Prefix":%q,"Kind":"unsafe","TimeoutMs":5000,"TargetLatencyMs":2000,"Service":"s","MaxAttempts":2}},`+
		`"Services":{"s":{"HealthPath":"/health"}},"Limits":{"IdleTimeoutMs":15000}}`, version, prefix)
}

func (r *rig) call(path string) (int, string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+r.callers+path, http.NoBody)
	r.c.Assert(err, qt.IsNil)
	request.Host = "h.example"
	request.Header.Set("X-Request-Id", path)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	r.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	r.c.Assert(err, qt.IsNil)
	return response.StatusCode, string(body)
}

// await calls until the status comes.
func (r *rig) await(path string, status int) {
	for {
		if got, _ := r.call(path); got == status {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (r *rig) isReady() bool {
	response, err := http.Get("http://" + r.ready + adapter.ReadyPath)
	r.c.Assert(err, qt.IsNil)
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// One life of an instance: nothing known, a configuration, another one, workers
// that come and leave, an outage of the store, a planned stop.
func TestALifeOnThePlatform(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	r := newRig(c)

	status, _ := r.call("/a/1")
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("an instance that knows no configuration does not say that a route is missing"))
	c.Assert(r.isReady(), qt.IsFalse)

	var first, second atomic.Int64
	one, two := r.worker("one", &first), r.worker("two", &second)
	r.store.Put("servers/bad", "\xff")
	r.store.Put("servers/one", one("ready"))
	r.store.Put("op/config", configured(3, "/a/"))
	r.await("/a/1", http.StatusOK)
	c.Assert(r.isReady(), qt.IsTrue)

	r.store.Put("op/config", configured(5, "/b/"))
	r.await("/b/1", http.StatusOK)
	r.await("/a/1", http.StatusNotFound)
	r.store.Put("op/config", configured(4, "/a/"))
	r.store.Put("servers/two", two("ready"))
	r.store.Put("servers/one", one("draining"))
	for {
		if _, body := r.call("/b/2"); body == "two" {
			break
		}
	}
	status, _ = r.call("/a/1")
	c.Assert(status, qt.Equals, http.StatusNotFound, qt.Commentf("an older configuration does not come back"))

	r.store.Remove("servers/one")
	r.store.SetDown(true)
	before := first.Load()
	for range 20 {
		status, body := r.call("/b/3")
		c.Assert(status, qt.Equals, http.StatusOK)
		c.Assert(body, qt.Equals, "two")
	}
	c.Assert(first.Load(), qt.Equals, before)
	r.store.SetDown(false)
	r.store.Put("op/config", configured(7, "/c/"))
	r.await("/c/1", http.StatusOK)

	stopped := make(chan error, 1)
	go func() { stopped <- r.instance.Close() }()
	for r.isReady() {
		time.Sleep(time.Millisecond)
	}
	status, _ = r.call("/c/2")
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("a leaving instance still serves"))
	c.Assert(<-stopped, qt.IsNil)
}
