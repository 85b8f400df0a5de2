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
// in an availability zone, of which the first one serves all others.
type Chooser struct {
	self    registrar.Instance
	reached func() int64
	client  *http.Client
	relays  atomic.Pointer[[]registrar.Instance] // Those that this instance reads from, the first one first.
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

// Learn takes over the fleet's list, and tells whether this instance may have to
// be a relay. The first of the zone always is one; the next one reads from it, as
// long as it serves.
func (c *Chooser) Learn(instances []registrar.Instance) bool {
	relays := registrar.FirstOfZone(instances, c.self.Place())
	rank := slices.IndexFunc(relays, func(i registrar.Instance) bool { return i.ID() == c.self.ID() })
	if rank >= 0 {
		relays = relays[:rank]
	}
	c.relays.Store(&relays)
	return rank >= 0
}

// Wanted tells whether this instance is to read from relays.
func (c *Chooser) Wanted() bool { return len(*c.relays.Load()) > 0 }

// Next returns the first relay that lives and has not failed of late.
func (c *Chooser) Next() (storer.Store, bool) {
	alive := c.live()
	for _, relay := range *c.relays.Load() {
		lives := slices.ContainsFunc(alive, func(i registrar.Instance) bool { return i.ID() == relay.ID() })
		if lives && !c.rests(relay.ID()) {
			c.chosen.Store(relay.ID())
			return newSource(c.client, relay.Peers(), c.reached), true
		}
	}
	return nil, false
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
