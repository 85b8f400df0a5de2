package bootstrapper_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"burdocklane/inspector"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// The readiness port tells where a call would go, by the scheduler that assigns it.
func TestWhereOverTheReadinessPort(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	e := newEnvironment(c)
	c.Cleanup(func() { c.Check(e.instance.Close(), qt.IsNil) })
	var requests atomic.Int64
	e.store.Put("servers/one", e.startWorker("one", &requests)("ready"))
	e.store.Put("op/config", configuration(3, "/a/"))
	e.awaitStatus("/a/1", http.StatusOK)
	before := requests.Load()
	data, err := inspector.FetchWhere(context.Background(), e.ready, inspector.NewWhereQuery("GET", "h.example", "/a/1", "", ""))
	c.Assert(err, qt.IsNil)
	c.Assert(requests.Load(), qt.Equals, before)
	for _, want := range []string{`"instance": "edge-1"`, `"decides-here": true`, `"decision": "send"`, `"worker": "one"`} {
		c.Check(string(data), qt.Contains, want)
	}
}
