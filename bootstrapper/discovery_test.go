package bootstrapper_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	adapter "burdocklane/platform"
	"burdocklane/platform/imitator"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// Guards against a start of all instances at once, for the first time or after a loss of
// power, that reads and writes the store once for each of them.
func TestStartsOfAWholeZoneReadTheStoreOnce(t *testing.T) {
	const instances = 12
	tests := []struct {
		name      string
		staleness time.Duration
		reads     int64 // At most, in the first start and in the second one.
		writes    int64 // At most, in the first start. A second one needs none.
	}{
		{"reads that may be stale are fresh", 0, 3, instances},
		{"reads that may be stale lag", 200 * time.Millisecond, 5, 2 * instances},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Cleanup(func() { goleak.VerifyNone(t) })
			c := qt.New(t)
			store := imitator.NewStore()
			t.Cleanup(store.Close)
			store.SetStaleness(test.staleness)
			store.Put("op/config", configuration(3, "/a/"))
			zone := newZone(c, store, instances)
			zone.start()
			t.Cleanup(zone.stop)
			zone.awaitReady()
			zone.awaitRegistration()
			c.Assert(store.Reads() <= test.reads, qt.IsTrue, qt.Commentf("%d reads", store.Reads()))
			c.Assert(store.Writes() <= test.writes, qt.IsTrue, qt.Commentf("%d writes", store.Writes()))
			zone.stop()
			reads, writes := store.Reads(), store.Writes()
			zone.start()
			zone.awaitReady()
			c.Assert(store.Reads()-reads <= test.reads, qt.IsTrue, qt.Commentf("%d reads in the second start", store.Reads()-reads))
			c.Assert(store.Writes()-writes, qt.Equals, int64(0))
		})
	}
}

// After a restart from a stale list of the instances, nothing that was withdrawn
// meanwhile is in use again: a configuration that was replaced, and a worker that left.
func TestRestartFromAStaleListUsesNothingWithdrawn(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	store := imitator.NewStore()
	t.Cleanup(store.Close)
	zone := newZone(c, store, 3)
	zone.start()
	t.Cleanup(zone.stop)
	one := zone.members[0]
	var left, stays atomic.Int64
	leaver, stayer := one.startWorker("left", &left), one.startWorker("stays", &stays)
	store.Put("servers/left", leaver("ready"))
	store.Put("servers/stays", stayer("ready"))
	store.Put("op/config", configuration(3, "/a/"))
	zone.awaitReady()
	zone.awaitRegistration()
	store.SetStaleness(time.Since(zone.started))
	store.Remove("servers/left")
	store.Put("op/config", configuration(5, "/b/"))
	zone.stop()
	before := left.Load()
	zone.start()
	zone.awaitReady()
	for _, e := range zone.members {
		for n := range 20 {
			status, _ := e.call(fmt.Sprintf("/a/%d", n))
			c.Assert(status, qt.Equals, http.StatusNotFound)
			status, body := e.call(fmt.Sprintf("/b/%d", n))
			c.Assert(status, qt.Equals, http.StatusOK)
			c.Assert(body, qt.Equals, "stays")
		}
	}
	c.Assert(left.Load(), qt.Equals, before)
}

// zone is a fake store and the instances of one availability zone.
type zone struct {
	c       *qt.C
	store   *imitator.Store
	started time.Time
	members []*environment
}

func newZone(c *qt.C, store *imitator.Store, instances int) *zone {
	z := &zone{c: c, store: store, started: time.Now()}
	for n := range instances {
		z.members = append(z.members, newInstance(c, store, fmt.Sprintf("edge-%d", n), "z", store.Address()))
	}
	return z
}

// start starts all instances at the same time.
func (z *zone) start() {
	z.each((*environment).start)
	for _, e := range z.members {
		z.c.Assert(e.instance, qt.IsNotNil, qt.Commentf("instance %s did not start", e.settings.Instance()))
	}
}

// stop stops all instances that run.
func (z *zone) stop() {
	z.each(func(e *environment) {
		if e.instance != nil {
			e.instance.Close() //nolint:errcheck // Nothing is in flight.
		}
		e.instance = nil
	})
	http.DefaultClient.CloseIdleConnections()
}

func (z *zone) each(do func(*environment)) {
	var group sync.WaitGroup
	for _, e := range z.members {
		group.Go(func() { do(e) })
	}
	group.Wait()
}

func (z *zone) awaitReady() {
	for _, e := range z.members {
		await(z.c, string(e.settings.Instance())+" to be ready", e.isReady)
	}
}

// awaitRegistration waits until the store has the entries of all instances.
func (z *zone) awaitRegistration() {
	for _, e := range z.members {
		key := adapter.ZonePrefix("z") + string(e.settings.Instance())
		await(z.c, "the entry "+key, func() bool { return z.store.Has(key) })
	}
}
