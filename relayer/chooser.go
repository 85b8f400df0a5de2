package relayer

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/registrar"
	"burdocklane/storer"
)

// failedRest is how long a relay that did not serve is not asked.
const failedRest = 2 * time.Second

// Chooser says which instances are relays: the members of the region's council
// in an availability zone serve the others of that zone.
type Chooser struct {
	self    registrar.Instance
	reached func() int64
	client  *http.Client
	relays  atomic.Pointer[[]registrar.Instance] // Of this instance's zone; empty if it is one itself.
	chosen  atomic.Value                         // The registrar.InstanceID of the last one.
	resting sync.Map                             // From an instance's ID to the time until which it is not asked.
	live    func() []registrar.Instance
}

// NewChooser returns a chooser for the instance, which knows the store's keys up
// to the reached revision, and which members of the council live.
func NewChooser(self registrar.Instance, reached func() int64, live func() []registrar.Instance) *Chooser {
	c := &Chooser{self: self, reached: reached, live: live, client: newClient()}
	c.relays.Store(&[]registrar.Instance{})
	return c
}

// Close drops the connections to relays.
func (c *Chooser) Close() { c.client.CloseIdleConnections() }

// Learn takes over the fleet's list, and tells whether this instance is a relay.
func (c *Chooser) Learn(instances []registrar.Instance) bool {
	relays, self := []registrar.Instance{}, false
	for _, member := range registrar.Council(instances, c.self.Place().Region()) {
		if member.Place().Zone() == c.self.Place().Zone() {
			relays = append(relays, member)
		}
		self = self || member.ID() == c.self.ID()
	}
	if self {
		relays = nil
	}
	c.relays.Store(&relays)
	return self
}

// Wanted tells whether this instance is to read from relays.
func (c *Chooser) Wanted() bool { return len(*c.relays.Load()) > 0 }

// Next returns a relay that lives. The instances of a zone spread over its relays
// (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
// 1998).
func (c *Chooser) Next() (storer.Store, bool) {
	relays, alive := *c.relays.Load(), c.live()
	var best registrar.Instance
	var bestScore uint32
	for _, relay := range relays {
		score := registrar.Hash(string(c.self.ID()) + "/" + string(relay.ID()))
		if c.rests(relay.ID()) {
			continue
		}
		lives := slices.ContainsFunc(alive, func(i registrar.Instance) bool { return i.ID() == relay.ID() })
		if lives && score >= bestScore {
			best, bestScore = relay, score
		}
	}
	if best.ID() == "" {
		return nil, false
	}
	c.chosen.Store(best.ID())
	return newSource(c.client, best.Peers(), c.reached), true
}

// Failed notes that the last relay did not serve: it is left alone for a while.
func (c *Chooser) Failed() {
	if id, ok := c.chosen.Load().(registrar.InstanceID); ok {
		c.resting.Store(id, time.Now().Add(failedRest))
	}
}

func (c *Chooser) rests(id registrar.InstanceID) bool {
	until, ok := c.resting.Load(id)
	return ok && time.Now().Before(until.(time.Time))
}
