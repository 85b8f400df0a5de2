package bootstrapper_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdocklane/platform/imitator"

	qt "github.com/frankban/quicktest"
)

const (
	lastingKey   = "lasting"
	withdrawnKey = "withdrawn"
	// servingTime is for how long an instance that has just started is asked, which is more
	// than it takes to hear of a later configuration from its peers' datagrams.
	servingTime = time.Second
)

// configurationOfKeys returns a configuration with one tenant that holds the keys.
func configurationOfKeys(version int, keys ...string) string {
	withoutEnd := strings.TrimSuffix(configuration(version, "/a/"), "}")
	return fmt.Sprintf(`%s,"Tenants":{"t":{"ApiKeys":["%s"]}}}`, withoutEnd, strings.Join(keys, `","`))
}

// statusOfKey returns the status of the response to a call with the key, or 0 if the
// instance is not open.
func (e *environment) statusOfKey(key string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+e.callers+"/a/1", http.NoBody)
	e.c.Assert(err, qt.IsNil)
	request.Host = "h.example"
	request.Header.Set("X-Request-Id", key)
	request.Header.Set("Authorization", "Bearer "+key)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body) //nolint:errcheck // Only the status counts.
	return response.StatusCode
}

// awaitKey waits until calls with the key get the status.
func (e *environment) awaitKey(key string, status int, timeout time.Duration) {
	for deadline := time.Now().Add(timeout); e.statusOfKey(key) != status; time.Sleep(waitInterval) {
		if time.Now().After(deadline) {
			e.c.Fatalf("%s: key %q: status %d instead of %d after %s", e.settings.Instance(), key, e.statusOfKey(key), status, timeout)
		}
	}
}

// assertNeverServed fails if a call with the withdrawn key is served within the time.
func (e *environment) assertNeverServed(during time.Duration) {
	for started := time.Now(); time.Since(started) < during; time.Sleep(waitInterval) {
		if status := e.statusOfKey(withdrawnKey); status == http.StatusOK {
			e.c.Fatalf("%s served a withdrawn key %s after its start", e.settings.Instance(), time.Since(started))
		}
	}
}

// Guards against an instance that starts while the store or a relay gives out an older
// copy, and serves a key that its peers know to be withdrawn until one of them tells it.
func TestStartFromAnOlderCopyServesNoWithdrawnKey(t *testing.T) {
	verifyNoLeaks(t)
	tests := []struct {
		name     string
		instance string
		zone     string
	}{
		{"reads from a relay", "edge-zz", "z"},
		{"is the relay", "edge-0", "z"},
		{"only peers of another zone are listed", "edge-x", "x"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			store, instances, _ := startZones(c)
			store.Put("op/config", configurationOfKeys(2, lastingKey, withdrawnKey))
			for _, i := range instances {
				i.awaitKey(withdrawnKey, http.StatusOK, applyTime)
			}
			backup := store.Backup()
			store.Put("op/config", configurationOfKeys(3, lastingKey))
			for _, i := range instances {
				i.awaitKey(withdrawnKey, http.StatusUnauthorized, applyTime)
			}
			store.Restore(backup)
			late := startInstance(c, store, test.instance, test.zone, store.Address())
			c.Cleanup(func() { c.Check(late.instance.Close(), qt.IsNil) })
			late.assertNeverServed(servingTime)
			late.awaitKey(lastingKey, http.StatusOK, applyTime)
			late.awaitKey(withdrawnKey, http.StatusUnauthorized, applyTime)
		})
	}
}

// Guards against a withdrawn key that stays in use at some instance of a fleet of which
// the store refuses a third, or at one that restarts meanwhile.
func TestWithdrawnKeyEndsAtAllInstances(t *testing.T) {
	verifyNoLeaks(t)
	tests := []struct {
		name    string
		refusal imitator.Refusal
	}{
		{"busy", imitator.NewStatusRefusal(http.StatusServiceUnavailable)},
		{"reset", imitator.ResetRefusal{}},
		{"no response", imitator.SilentRefusal{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			store := imitator.NewStore()
			c.Cleanup(store.Close)
			var requests atomic.Int64
			worker := (&environment{c: c}).startWorker("one", &requests)
			store.Put("servers/one", worker("ready"))
			store.Put("op/config", configurationOfKeys(1, lastingKey, withdrawnKey))
			fleet, entrances := startFleet(c, store, 6)
			for n := range len(fleet) / 3 {
				entrances[3*n].SetRefusal(test.refusal)
				entrances[3*n].SilenceWatches()
			}
			time.Sleep(contactTime)
			restarting := []*environment{fleet[0], fleet[1]} // The store refuses the first.
			stop(c, restarting)
			store.Put("op/config", configurationOfKeys(2, lastingKey))
			for _, e := range fleet[2:] {
				e.awaitKey(withdrawnKey, http.StatusUnauthorized, applyTime)
				c.Assert(e.statusOfKey(lastingKey), qt.Equals, http.StatusOK)
			}
			for _, e := range restarting {
				e.start()
				e.assertNeverServed(servingTime)
			}
			for _, e := range entrances {
				e.SetRefusal(imitator.NoRefusal{})
			}
			for _, e := range fleet {
				e.awaitKey(lastingKey, http.StatusOK, contactTime+applyTime)
				c.Assert(e.statusOfKey(withdrawnKey), qt.Equals, http.StatusUnauthorized)
			}
		})
	}
}

// startFleet starts instances in two zones by turns, each with an entrance of its own to
// the store.
func startFleet(c *qt.C, store *imitator.Store, size int) (fleet []*environment, entrances []*imitator.Entrance) {
	for n := range size {
		entrance := store.NewEntrance()
		zone := []string{"z", "y"}[n%2]
		fleet = append(fleet, startInstance(c, store, fmt.Sprintf("edge-%d", n), zone, entrance.Address()))
		entrances = append(entrances, entrance)
	}
	c.Cleanup(func() { stop(c, fleet) })
	for _, e := range fleet {
		e.awaitKey(withdrawnKey, http.StatusOK, maxWait)
	}
	time.Sleep(registrationTime)
	return fleet, entrances
}

// stop stops the instances at the same time.
func stop(c *qt.C, fleet []*environment) {
	var stopping sync.WaitGroup
	for _, e := range fleet {
		stopping.Go(func() { c.Check(e.instance.Close(), qt.IsNil) })
	}
	stopping.Wait()
}
