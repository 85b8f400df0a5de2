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

// failedRelayCooldown is how long a relay is not selected after it failed to serve.
const failedRelayCooldown = 2 * time.Second

// failedFallbackCooldown is how long a fallback is not selected after it failed to
// serve. It is longer than the tries of several others that do not answer.
const failedFallbackCooldown = 10 * time.Second

// Selector selects the relay that this instance reads from. The relays of an
// availability zone are the region's coordinators in it, and the first one serves
// all other instances of the zone.
type Selector struct {
	self          registrar.Instance
	knownRevision func() storer.Revision
	client        *http.Client
	relays        atomic.Pointer[[]registrar.Instance] // Those that this instance may read from, in order of preference.
	served        atomic.Pointer[string]               // Host:port of the relay whose keys were read last.
	cooldowns     sync.Map                             // From a source's name to the time until which it is not selected.
	live          func() []registrar.Instance          // The live coordinators.
	instances     atomic.Pointer[[]registrar.Instance] // All instances.
}

// NewSelector returns a selector for the instance self: knownRevision returns the
// store's revision that its keys have reached, and live the coordinators that are
// live.
func NewSelector(self registrar.Instance, knownRevision func() storer.Revision, live func() []registrar.Instance) *Selector {
	s := &Selector{self: self, knownRevision: knownRevision, live: live, client: newClient()}
	s.relays.Store(&[]registrar.Instance{})
	s.instances.Store(&[]registrar.Instance{})
	return s
}

// Close closes the idle connections to relays.
func (s *Selector) Close() { s.client.CloseIdleConnections() }

// UpdateInstances selects the relays from the list of all instances, and reports whether
// this instance may have to serve as a relay. The first one in the zone always
// serves; each other one reads from those before it, as long as one serves.
func (s *Selector) UpdateInstances(instances []registrar.Instance) bool {
	relays := registrar.CoordinatorsOfZone(instances, s.self.Locality())
	rank := slices.IndexFunc(relays, func(i registrar.Instance) bool { return i.ID() == s.self.ID() })
	if rank >= 0 {
		relays = relays[:rank]
	}
	s.relays.Store(&relays)
	s.instances.Store(&instances)
	return rank >= 0
}

// FirstRelays returns the relays to try at the start by a list of the zone's instances
// that may be stale, and whether this instance is listed. Whether the relays are live is
// not known yet.
func (s *Selector) FirstRelays(listed []registrar.Instance) (relays []storer.Store, selfListed bool) {
	isSelf := func(i registrar.Instance) bool { return i.ID() == s.self.ID() }
	selfListed = slices.ContainsFunc(listed, isSelf)
	ranked := registrar.CoordinatorsOfZone(append(slices.DeleteFunc(slices.Clone(listed), isSelf), s.self), s.self.Locality())
	for _, relay := range ranked {
		if isSelf(relay) {
			break
		}
		relays = append(relays, s.newSource(relay))
	}
	return relays, selfListed
}

// UsesRelays reports whether this instance is to read from relays.
func (s *Selector) UsesRelays() bool { return len(*s.relays.Load()) > 0 }

// Relays returns the relays that are live and not cooling down after a failure, in order
// of preference.
func (s *Selector) Relays() []storer.Store {
	liveInstances := s.live()
	var relays []storer.Store
	for _, relay := range *s.relays.Load() {
		isLive := slices.ContainsFunc(liveInstances, func(i registrar.Instance) bool { return i.ID() == relay.ID() })
		if isLive && !s.isCoolingDown(relay) {
			relays = append(relays, s.newSource(relay))
		}
	}
	return relays
}

// Fallbacks returns the coordinators of any zone that are not cooling down after a
// failure, for an instance that neither its relays nor the store serve: the first ones
// of the zones before the others, and the nearest ones before those.
func (s *Selector) Fallbacks() []storer.Store {
	var fallbacks []storer.Store
	for _, relay := range registrar.CoordinatorsByRank(*s.instances.Load(), s.self) {
		if !s.isCoolingDown(relay) {
			fallbacks = append(fallbacks, s.newSource(relay))
		}
	}
	return fallbacks
}

func (s *Selector) newSource(relay registrar.Instance) storer.Store {
	return newSource(s.client, relay.PeerAddress(), s.knownRevision, s.recordServed)
}

func (s *Selector) recordServed(address string) { s.served.Store(&address) }

// ReportFailure records that a relay or fallback did not serve: it is not selected for a
// while.
func (s *Selector) ReportFailure(source storer.Store) {
	name, cooldown := storer.Name(source), failedFallbackCooldown
	for _, relay := range *s.relays.Load() {
		if sourceName(relay.PeerAddress()) == name {
			cooldown = failedRelayCooldown
		}
	}
	s.cooldowns.Store(name, time.Now().Add(cooldown))
}

func (s *Selector) isCoolingDown(relay registrar.Instance) bool {
	until, ok := s.cooldowns.Load(sourceName(relay.PeerAddress()))
	return ok && time.Now().Before(until.(time.Time))
}
