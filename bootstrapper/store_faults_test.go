package bootstrapper_test

import (
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdocklane/platform/imitator"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

const (
	// contactTime is how long after the end of a fault of the store the platform
	// counts an instance as in touch again.
	contactTime = 3 * time.Second
	// applyTime is the time within which a confirmed configuration has to be active.
	applyTime = 2 * time.Second
	// registrationTime is more than the instances need to register each other; then
	// their polls of the store wait for a change.
	registrationTime = time.Second
	// peersReturnTime is how long instances that a restored store does not list may take
	// to be listed again: a missing key is retained for two seconds, and its writer waits
	// for up to two seconds.
	peersReturnTime = 4 * time.Second
)

// verifyNoLeaks fails the test if goroutines are left over after it and its subtests.
func verifyNoLeaks(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
}

// startZones starts two instances in different availability zones, each with an
// address of the store of its own, a worker and a configuration with the prefix /a/.
func startZones(c *qt.C) (store *imitator.Store, instances [2]*environment, entrances [2]*imitator.Entrance) {
	store = imitator.NewStore()
	c.Cleanup(store.Close)
	var requests atomic.Int64
	worker := (&environment{c: c}).startWorker("one", &requests)
	store.Put("servers/one", worker("ready"))
	store.Put("op/config", configuration(1, "/a/"))
	for n, zone := range []string{"z", "y"} {
		entrances[n] = store.NewEntrance()
		instances[n] = startInstance(c, store, "edge-"+zone, zone, entrances[n].Address())
	}
	c.Cleanup(func() {
		var closing sync.WaitGroup
		for _, i := range instances {
			closing.Go(func() { c.Check(i.instance.Close(), qt.IsNil) })
		}
		closing.Wait()
	})
	for _, i := range instances {
		i.awaitStatus("/a/1", http.StatusOK)
	}
	time.Sleep(registrationTime)
	return store, instances, entrances
}

// assertServed fails unless the path is served within the timeout.
func (e *environment) assertServed(path string, timeout time.Duration) {
	for deadline := time.Now().Add(timeout); ; time.Sleep(10 * time.Millisecond) {
		status, _ := e.call(path)
		if status == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			e.c.Fatalf("%s: status %d after %s", path, status, timeout)
		}
	}
}

// Guards against an instance that keeps an old configuration while the store refuses
// its whole zone and serves other instances, which have the new one.
func TestRefusedZoneFollowsConfiguration(t *testing.T) {
	verifyNoLeaks(t)
	tests := []struct {
		name    string
		refusal imitator.Refusal
	}{
		{"busy", imitator.NewStatusRefusal(http.StatusServiceUnavailable)},
		{"too many requests", imitator.NewStatusRefusal(http.StatusTooManyRequests)},
		{"reset", imitator.ResetRefusal{}},
		{"no response", imitator.SilentRefusal{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			store, instances, entrances := startZones(c)
			entrances[1].SetRefusal(test.refusal)
			entrances[1].SilenceWatches()
			time.Sleep(contactTime)
			store.Put("op/config", configuration(2, "/b/"))
			for _, i := range instances {
				i.assertServed("/b/1", applyTime)
			}
			entrances[1].SetRefusal(imitator.NoRefusal{})
			store.Put("op/config", configuration(3, "/c/"))
			for _, i := range instances {
				i.assertServed("/c/1", applyTime)
			}
		})
	}
}

// Guards against a configuration that no instance applies for as long as a poll may
// take, since the polls of all instances got no answer and none knows of the change.
func TestSilentWatchesOfAllInstancesAreNoticed(t *testing.T) {
	verifyNoLeaks(t)
	c := qt.New(t)
	store, instances, _ := startZones(c)
	store.SilenceWatches()
	store.Put("op/config", configuration(2, "/b/"))
	for _, i := range instances {
		i.assertServed("/b/1", contactTime)
	}
}

// Guards against a poll that is begun while the store is silent for a moment, and
// that is taken for a live one after the store has returned.
func TestPollBegunInASilenceIsNoticed(t *testing.T) {
	verifyNoLeaks(t)
	c := qt.New(t)
	store, instances, entrances := startZones(c)
	for _, e := range entrances {
		e.SetRefusal(imitator.SilentRefusal{})
	}
	store.Put("op/config", configuration(2, "/b/")) // Ends the polls that wait; the next ones get no answer.
	time.Sleep(time.Second)
	for _, e := range entrances {
		e.SetRefusal(imitator.NoRefusal{})
	}
	time.Sleep(contactTime)
	store.Put("op/config", configuration(3, "/c/"))
	for _, i := range instances {
		i.assertServed("/c/1", applyTime)
	}
}

// Guards against a configuration that is never served since the store, gone back to an
// older copy, got it at a revision that it had lost.
func TestRevisionOfALostConfigurationIsWrittenAgain(t *testing.T) {
	verifyNoLeaks(t)
	c := qt.New(t)
	store, instances, _ := startZones(c)
	backup := store.Backup()
	store.Put("op/config", configuration(2, "/b/"))
	for _, i := range instances {
		i.assertServed("/b/1", applyTime)
	}
	store.Restore(backup)
	store.Put("op/config", configuration(2, "/c/"))
	for _, i := range instances {
		i.assertServed("/c/1", contactTime)
	}
}

// Guards against an instance that starts after the store has gone back, and serves the
// older configuration of the copy while its peers have the newer one in force.
func TestLateInstanceTakesConfigurationFromPeers(t *testing.T) {
	verifyNoLeaks(t)
	tests := []struct {
		name     string
		instance string
		zone     string
		copied   int64 // The revision of the copy: a worker and a configuration have been written at 2.
		timeout  time.Duration
	}{
		{"reads from a relay", "edge-zz", "z", math.MaxInt64, applyTime},
		{"is the relay", "edge-0", "z", math.MaxInt64, applyTime},
		{"finds no peers in the copy", "edge-zz", "z", 2, peersReturnTime + applyTime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			store, instances, _ := startZones(c)
			backup := store.BackupOf(test.copied)
			store.Put("op/config", configuration(2, "/b/"))
			for _, i := range instances {
				i.assertServed("/b/1", applyTime)
			}
			store.Restore(backup)
			late := startInstance(c, store, test.instance, test.zone, store.Address())
			c.Cleanup(func() { c.Check(late.instance.Close(), qt.IsNil) })
			late.assertServed("/b/1", test.timeout)
			for _, i := range instances {
				i.assertServed("/b/1", 0)
			}
			store.Put("op/config", configuration(3, "/c/"))
			late.assertServed("/c/1", applyTime)
		})
	}
}
