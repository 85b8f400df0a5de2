package informer

import (
	"net"

	"burdocklane/publisher"
	"burdocklane/registrar"
)

// view is what a snapshot means to the informer: the workers and the peers of
// the region. It is immutable.
type view struct {
	snapshot *publisher.Snapshot
	targets  []*target
	byHash   map[uint32]*target
	council  []peer            // Of the region, without this instance.
	member   bool              // Whether this instance is in the council.
	rest     map[string][]peer // Of the region, not in the council, by availability zone.
	far      []peer            // Of other regions.
}

type peer struct {
	hash     uint32
	instance registrar.Instance
	address  *net.UDPAddr
}

// newView keeps the state of targets that stay.
func newView(s *publisher.Snapshot, self registrar.Instance, old *view) *view {
	v := &view{snapshot: s, byHash: map[uint32]*target{}, rest: map[string][]peer{}}
	for _, service := range s.Deployment().Services() {
		lane := s.Lane(service.Name())
		if lane == nil {
			continue
		}
		for _, w := range lane.Pool().Workers() {
			if w.Distance() > regionalSteps || w.Member().Leaving() {
				continue
			}
			t := &target{worker: w, pool: lane.Pool(), path: service.HealthPath(), hash: registrar.Hash(string(w.ID()) + "@" + w.Address()), state: &state{}}
			if before := old.byHash[t.hash]; before != nil {
				t.state = before.state
			}
			v.targets = append(v.targets, t)
			v.byHash[t.hash] = t
		}
	}
	inCouncil := map[registrar.InstanceID]bool{}
	for _, instance := range registrar.Council(s.List().Instances(), self.Place().Region()) {
		inCouncil[instance.ID()] = true
	}
	v.member = inCouncil[self.ID()]
	for _, instance := range s.List().Instances() {
		if instance.ID() == self.ID() {
			continue
		}
		address, err := net.ResolveUDPAddr("udp4", instance.Peers())
		if err != nil {
			continue
		}
		p := peer{hash: registrar.Hash(string(instance.ID())), instance: instance, address: address}
		if instance.Place().Region() == self.Place().Region() {
			v.addNear(p, inCouncil[instance.ID()])
			continue
		}
		v.far = append(v.far, p)
	}
	return v
}

func (v *view) addNear(p peer, inCouncil bool) {
	if inCouncil {
		v.council = append(v.council, p)
		return
	}
	zone := p.instance.Place().Zone()
	v.rest[zone] = append(v.rest[zone], p)
}

// inReach returns the instances outside the council to which a member of a zone
// speaks: those of its own zone, and those of zones where no member lives.
func (v *view) inReach(zone string, live []peer) []peer {
	served := map[string]bool{}
	for _, p := range live {
		served[p.instance.Place().Zone()] = true
	}
	var reach []peer
	for other, rest := range v.rest {
		if other == zone || !served[other] {
			reach = append(reach, rest...)
		}
	}
	return reach
}
