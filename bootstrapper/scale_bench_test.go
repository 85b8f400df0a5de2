package bootstrapper_test

import (
	"fmt"
	"testing"
	"time"

	"burdocklane/platform/imitator"

	qt "github.com/frankban/quicktest"
)

// BenchmarkChangeOfOneKey measures what one change in the store costs an instance of a
// fleet of hundreds.
func BenchmarkChangeOfOneKey(b *testing.B) {
	const workers, instances = 1080, 471
	c := qt.New(b)
	store := imitator.NewStore()
	b.Cleanup(store.Close)
	worker := func(n, sequence int) string {
		return fmt.Sprintf(`{"Service":"s","Address":"10.0.%d.%d:80","Zone":"far","Version":"v%d","Capacity":6,"State":"ready","WarmupLeftMs":0,"Seq":%d,"born":1}`,
			n/250, n%250, sequence, sequence)
	}
	for n := range workers {
		store.Put(fmt.Sprintf("servers/w-%d", n), worker(n, 1))
	}
	for n := range instances {
		id := fmt.Sprintf("edge-far-%d", n)
		store.Put("burdocklane/instances/far/"+id, fmt.Sprintf(`{"id":%q,"peers":"10.1.%d.%d:7","rulings":"10.1.%d.%d:8","power":0.1,"region":"q","availability-zone":"far"}`,
			id, n/250, n%250, n/250, n%250))
	}
	store.Put("op/config", configuration(3, "/a/"))
	e := newInstance(c, store, "edge-1", "z", store.Address())
	e.start()
	for !e.isReady() {
		time.Sleep(time.Millisecond)
	}
	sequence := 1
	for b.Loop() {
		sequence++
		store.Put(fmt.Sprintf("servers/w-%d", sequence%workers), worker(sequence%workers, sequence))
		time.Sleep(60 * time.Millisecond) // Longer than the pause between two watches.
	}
	b.StopTimer()
	e.instance.Close() //nolint:errcheck // Nothing is in flight.
}
