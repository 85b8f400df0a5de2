package gossiper

import (
	"net"

	"burdocklane/publisher"
	"burdocklane/registrar"
)

// view holds the workers to check and the peers to gossip with, which are built from
// a snapshot. It is immutable.
type view struct {
	snapshot      *publisher.Snapshot
	targets       []*target
	byHash        map[uint32]*target
	coordinators  []peer            // Of the region, without this instance.
	isCoordinator bool              // Whether this instance is one.
	others        map[string][]peer // Of the region, not coordinators, by availability zone.
	remote        []peer            // Of other regions.
	peers         map[uint32]peer   // All of them, by the hash of their ID.
}

type peer struct {
	hash     uint32
	instance registrar.Instance
	address  *net.UDPAddr
}

// newView builds the view of a snapshot. It keeps the state of targets that are also
// in the old view.
func newView(s *publisher.Snapshot, self registrar.Instance, old *view) *view {
	v := &view{snapshot: s, byHash: map[uint32]*target{}, others: map[string][]peer{}, peers: map[uint32]peer{}}
	shortestTargets := s.Deployment().ShortestTargets()
	for _, service := range s.Deployment().Services() {
		serviceState := s.ServiceState(service.Name())
		if serviceState == nil {
			continue
		}
		refresh := refreshIntervalFor(shortestTargets[service.Name()])
		for _, w := range serviceState.Pool().Workers() {
			if w.Distance() > maxLocalDistance || w.Member().Leaving() {
				continue
			}
			t := &target{worker: w, pool: serviceState.Pool(), path: service.HealthPath(), hash: registrar.Hash(string(w.ID()) + "@" + w.Address()), state: &state{}, refresh: refresh}
			if before := old.byHash[t.hash]; before != nil {
				t.state = before.state
			}
			v.targets = append(v.targets, t)
			v.byHash[t.hash] = t
		}
	}
	coordinatorIDs := map[registrar.InstanceID]bool{}
	for _, instance := range registrar.Coordinators(s.List().Instances(), self.Locality().Region()) {
		coordinatorIDs[instance.ID()] = true
	}
	v.isCoordinator = coordinatorIDs[self.ID()]
	for _, instance := range s.List().Instances() {
		if instance.ID() == self.ID() {
			continue
		}
		address, err := net.ResolveUDPAddr("udp4", instance.PeerAddress())
		if err != nil {
			continue
		}
		p := peer{hash: registrar.Hash(string(instance.ID())), instance: instance, address: address}
		v.peers[p.hash] = p
		if instance.Locality().Region() == self.Locality().Region() {
			v.addLocal(p, coordinatorIDs[instance.ID()])
			continue
		}
		v.remote = append(v.remote, p)
	}
	return v
}

func (v *view) addLocal(p peer, isCoordinator bool) {
	if isCoordinator {
		v.coordinators = append(v.coordinators, p)
		return
	}
	zone := p.instance.Locality().Zone()
	v.others[zone] = append(v.others[zone], p)
}

// livenessRecipients returns the instances to which a coordinator in a zone sends the
// liveness of the coordinators: those of its own zone, and those of zones without a
// live coordinator.
func (v *view) livenessRecipients(zone string, live []peer) []peer {
	served := map[string]bool{}
	for _, p := range live {
		served[p.instance.Locality().Zone()] = true
	}
	var recipients []peer
	for otherZone, others := range v.others {
		if otherZone == zone || !served[otherZone] {
			recipients = append(recipients, others...)
		}
	}
	return recipients
}
