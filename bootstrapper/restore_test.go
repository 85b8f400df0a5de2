package bootstrapper_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	adapter "burdocklane/platform"
	"burdocklane/platform/imitator"

	qt "github.com/frankban/quicktest"
)

// retentionTime is how long instances use an entry that is missing after an outage.
const retentionTime = 2 * time.Second

// hasKey reports whether the store holds a key with the prefix.
func hasKey(c *qt.C, store *imitator.Store, prefix string) bool {
	response, err := http.Get("http://" + store.Address() + "/burdocklane/kv-range?Prefix=" + prefix)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return strings.Contains(string(body), prefix)
}

// Guards against live instances that are in nobody's list after the store has lost
// their entries, as they are written again only when all have stopped using them.
func TestLostEntryIsWrittenAgainWhileItIsRetained(t *testing.T) {
	verifyNoLeaks(t)
	c := qt.New(t)
	store := imitator.NewStore()
	c.Cleanup(store.Close)
	empty := store.Backup()
	e := startInstance(c, store, "edge-1", "z", store.Address())
	c.Cleanup(func() { c.Check(e.instance.Close(), qt.IsNil) })
	await(c, "the instance's entry", func() bool { return hasKey(c, store, adapter.InstancePrefix) })
	store.SetDown(true)
	time.Sleep(time.Second)
	store.Restore(empty)
	store.SetDown(false)
	for deadline := time.Now().Add(retentionTime); !hasKey(c, store, adapter.InstancePrefix); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.Fatal("the instance's entry is still missing")
		}
	}
}
