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

// startProxy starts a fault-injecting proxy to the upstream address.
func (f *fleet) startProxy(upstream string) *toxiproxy.Proxy {
	logrus.SetOutput(io.Discard)
	proxy := toxiproxy.NewProxy()
	proxy.Name, proxy.Listen, proxy.Upstream = "proxy", "127.0.0.1:0", upstream
	f.c.Assert(proxy.Start(), qt.IsNil)
	f.c.Cleanup(proxy.Stop)
	return proxy
}

// addProxiedWorker starts a worker that is registered with the address of a
// fault-injecting proxy.
func (f *fleet) addProxiedWorker(id string) *toxiproxy.Proxy {
	member := registrar.NewWorker(registrar.WorkerID(id), "batch-ledger", "127.0.0.1:0", locality, 3, false)
	w, err := f.launcher.StartWorker(launcher.NewWorkerSpec(member, emulator.NewBehaviour()).WithoutRegistration().WithJournal(f.journalPath(id)))
	f.c.Assert(err, qt.IsNil)
	f.workers = append(f.workers, w)
	proxy := f.startProxy(w.Member().Address())
	listed := registrar.NewWorker(member.ID(), descriptor.ServiceName("batch-ledger"), proxy.Listen, locality, 3, false)
	f.c.Assert(emulator.Register(f.c.Context(), f.launcher.PlatformURL(), []registrar.Worker{listed}, nil), qt.IsNil)
	return proxy
}

func TestGuaranteesHoldOnFaultyLinksToWorkers(t *testing.T) {
	tests := []struct {
		name  string
		fault string
	}{
		{"responses are cut off after 700 bytes", `{"name": "cut", "type": "limit_data", "stream": "downstream", "attributes": {"bytes": 700}}`},
		{"requests are cut off after 300 bytes", `{"name": "cut", "type": "limit_data", "stream": "upstream", "attributes": {"bytes": 300}}`},
		{"responses arrive in slices of 50 bytes", `{"name": "slice", "type": "slicer", "stream": "downstream", "attributes": {"average_size": 50, "size_variation": 20, "delay": 100}}`},
		{"half-open connection: no response arrives", `{"name": "hang", "type": "timeout", "stream": "downstream", "attributes": {"timeout": 0}}`},
		{"latency of 200 ms", `{"name": "lag", "type": "latency", "stream": "downstream", "attributes": {"latency": 200, "jitter": 50}}`},
		{"bandwidth of 20 KB/s", `{"name": "thin", "type": "bandwidth", "stream": "downstream", "attributes": {"rate": 20}}`},
	}
	for n, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c)
			var proxies []*toxiproxy.Proxy
			for w := range 3 {
				proxies = append(proxies, f.addProxiedWorker("batch-ledger-"+strconv.Itoa(w)))
			}
			f.applyConfig("../examples/authority.json")
			f.addInstance("instance-1")
			f.addInstance("instance-2")
			f.awaitReady()
			r := f.load(fmt.Sprintf("link-%d", n), func() {
				time.Sleep(loadDuration / 4)
				_, err := proxies[0].Toxics.AddToxicJson(strings.NewReader(test.fault))
				c.Check(err, qt.IsNil)
				time.Sleep(loadDuration / 4)
				c.Check(proxies[0].Toxics.RemoveToxic(strings.Split(test.fault, `"`)[3]), qt.IsNil)
			})
			good := f.checkGuarantees(r)
			c.Assert(good > len(r.outcomes)/2, qt.IsTrue, qt.Commentf("%d good of %d", good, len(r.outcomes)))
		})
	}
}

// Bodies of any size arrive complete and at the call that they belong to, even if
// other calls are cancelled on connections that are reused.
func TestResponsesAreIntactAndBelongToTheirCalls(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	f.start(3, emulator.NewBehaviour(emulator.WithServiceTime(time.Millisecond, 0.5)))
	sizes := []int{0, 1, 1000, 32<<10 - 1, 32 << 10, 1 << 20, 64 << 20}
	var calls sync.WaitGroup
	for n, size := range sizes {
		for _, method := range []string{"GET", "POST"} {
			calls.Go(func() {
				got, err := call(http.DefaultClient, f.instances[n%2].Callers(), method, "/batches/1", fmt.Sprintf("whole-%s-%d", method, size), size, "b")
				c.Check(err, qt.IsNil)
				c.Check(got.intact, qt.IsTrue, qt.Commentf("%s of %d bytes: %+v", method, size, got))
			})
		}
	}
	// Calls with the short timeout use a separate transport: net/http returns a
	// connection to its pool before it delivers a response without a body, and a
	// request that is cancelled at that moment fails the next request on the same
	// connection, whoever sent it.
	transport := &http.Transport{}
	c.Cleanup(transport.CloseIdleConnections)
	shortTimeoutClient := &http.Client{Timeout: 3 * time.Millisecond, Transport: transport}
	for n := range 200 {
		calls.Go(func() {
			got, err := call(shortTimeoutClient, f.instances[n%2].Callers(), "GET", "/batches/1", "hasty-"+strconv.Itoa(n), 100_000, "")
			c.Check(err != nil || got.intact || got.status != http.StatusOK, qt.IsTrue, qt.Commentf("%+v", got))
		})
	}
	calls.Wait()
}

// HTTP/1.1 pipelining: a caller may send a request before it has the response to
// the previous one.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	f.start(3, emulator.NewBehaviour())
	conn, err := net.Dial("tcp", f.instances[0].Callers())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	const count = 5
	for n := range count {
		connectionHeader := ""
		if n == count-1 {
			connectionHeader = "Connection: close\r\n"
		}
		fmt.Fprintf(conn, "GET /batches/1?bytes=0 HTTP/1.1\r\nHost: h\r\nX-Request-Id: pipe-%d\r\n%s\r\n", n, connectionHeader)
	}
	responses, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	offset := 0
	for n := range count {
		next := strings.Index(string(responses[offset:]), fmt.Sprintf("X-Request-Id: pipe-%d\r\n", n))
		c.Assert(next >= 0, qt.IsTrue, qt.Commentf("response %d", n))
		offset += next
	}
}
