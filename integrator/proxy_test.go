package integrator_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"burdocklane/descriptor"
	"burdocklane/emulator"
	"burdocklane/launcher"
	"burdocklane/registrar"

	"github.com/Shopify/toxiproxy"
	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// proxied puts a fault-injecting proxy before an address.
func (f *fleet) proxied(upstream string) *toxiproxy.Proxy {
	logrus.SetOutput(io.Discard)
	proxy := toxiproxy.NewProxy()
	proxy.Name, proxy.Listen, proxy.Upstream = "proxy", "127.0.0.1:0", upstream
	f.c.Assert(proxy.Start(), qt.IsNil)
	f.c.Cleanup(proxy.Stop)
	return proxy
}

// addProxiedWorker starts a worker that is listed by its proxy's address.
func (f *fleet) addProxiedWorker(id string) *toxiproxy.Proxy {
	member := registrar.NewWorker(registrar.WorkerID(id), "batch-ledger", "127.0.0.1:0", home, 3, false)
	w, err := f.launcher.StartWorker(launcher.NewWorkerSpec(member, emulator.NewBehaviour()).Unlisted().WithJournal(f.journalPath(id)))
	f.c.Assert(err, qt.IsNil)
	f.workers = append(f.workers, w)
	proxy := f.proxied(w.Member().Address())
	listed := registrar.NewWorker(member.ID(), descriptor.ServiceName("batch-ledger"), proxy.Listen, home, 3, false)
	f.c.Assert(emulator.Register(f.c.Context(), f.launcher.Platform(), []registrar.Worker{listed}, nil), qt.IsNil)
	return proxy
}

func TestPromisesHoldOnBadLinksToWorkers(t *testing.T) {
	tests := []struct {
		name  string
		fault string
	}{
		{"answers cut after 700 bytes", `{"name": "cut", "type": "limit_data", "stream": "downstream", "attributes": {"bytes": 700}}`},
		{"requests cut after 300 bytes", `{"name": "cut", "type": "limit_data", "stream": "upstream", "attributes": {"bytes": 300}}`},
		{"answers in slices of 50 bytes", `{"name": "slice", "type": "slicer", "stream": "downstream", "attributes": {"average_size": 50, "size_variation": 20, "delay": 100}}`},
		{"half-open: answers never come", `{"name": "hang", "type": "timeout", "stream": "downstream", "attributes": {"timeout": 0}}`},
		{"latency of 200 ms", `{"name": "lag", "type": "latency", "stream": "downstream", "attributes": {"latency": 200, "jitter": 50}}`},
		{"20 KB a second", `{"name": "thin", "type": "bandwidth", "stream": "downstream", "attributes": {"rate": 20}}`},
	}
	for n, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c)
			var proxies []*toxiproxy.Proxy
			for w := range 3 {
				proxies = append(proxies, f.addProxiedWorker("batch-ledger-"+strconv.Itoa(w)))
			}
			f.apply("../examples/authority.json")
			f.addInstance("instance-1")
			f.addInstance("instance-2")
			f.awaitReady()
			r := f.load(fmt.Sprintf("link-%d", n), func() {
				time.Sleep(loadTime / 4)
				_, err := proxies[0].Toxics.AddToxicJson(strings.NewReader(test.fault))
				c.Check(err, qt.IsNil)
				time.Sleep(loadTime / 4)
				c.Check(proxies[0].Toxics.RemoveToxic(strings.Split(test.fault, `"`)[3]), qt.IsNil)
			})
			good := f.assertPromises(r)
			c.Assert(good > len(r.outcomes)/2, qt.IsTrue, qt.Commentf("%d good of %d", good, len(r.outcomes)))
		})
	}
}

// Bodies of any size come whole, and to the call that asked, also when calls
// are cancelled on connections that are used again.
func TestAnswersAreWholeAndTheCallersOwn(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	f.start(3, emulator.NewBehaviour(emulator.WithService(time.Millisecond, 0.5)))
	sizes := []int{0, 1, 1000, 32<<10 - 1, 32 << 10, 1 << 20, 64 << 20}
	var calls sync.WaitGroup
	for n, size := range sizes {
		for _, method := range []string{"GET", "POST"} {
			calls.Go(func() {
				got, err := call(http.DefaultClient, f.instances[n%2].Callers(), method, "/batches/1", fmt.Sprintf("whole-%s-%d", method, size), size, "b")
				c.Check(err, qt.IsNil)
				c.Check(got.whole, qt.IsTrue, qt.Commentf("%s of %d bytes: %+v", method, size, got))
			})
		}
	}
	// A transport of its own: net/http takes a connection back before it hands
	// over an answer without a body, and a request that is given up just then
	// fails the next one on that connection, whoever sent it.
	transport := &http.Transport{}
	c.Cleanup(transport.CloseIdleConnections)
	hasty := &http.Client{Timeout: 3 * time.Millisecond, Transport: transport}
	for n := range 200 {
		calls.Go(func() {
			got, err := call(hasty, f.instances[n%2].Callers(), "GET", "/batches/1", "hasty-"+strconv.Itoa(n), 100_000, "")
			c.Check(err != nil || got.whole || got.status != http.StatusOK, qt.IsTrue, qt.Commentf("%+v", got))
		})
	}
	calls.Wait()
}

// Callers may send their next request before the answer to the last.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	f.start(3, emulator.NewBehaviour())
	conn, err := net.Dial("tcp", f.instances[0].Callers())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	const count = 5
	for n := range count {
		closing := ""
		if n == count-1 {
			closing = "Connection: close\r\n"
		}
		fmt.Fprintf(conn, "GET /batches/1?bytes=0 HTTP/1.1\r\nHost: h\r\nX-Request-Id: pipe-%d\r\n%s\r\n", n, closing)
	}
	answers, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	at := 0
	for n := range count {
		next := strings.Index(string(answers[at:]), fmt.Sprintf("X-Request-Id: pipe-%d\r\n", n))
		c.Assert(next >= 0, qt.IsTrue, qt.Commentf("answer %d", n))
		at += next
	}
}
