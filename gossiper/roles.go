package gossiper

import (
	"slices"

	"burdocklane/registrar"
)

// roles holds the hashes of the instances that need each load report of a worker:
// its owner, which runs its health checks, and the scheduler of its service with the
// instance that would succeed it.
type roles struct {
	owner      uint32
	schedulers [2]uint32
}

// include reports whether an instance needs each load report of the worker.
func (r roles) include(instance uint32) bool {
	return instance == r.owner || slices.Contains(r.schedulers[:], instance)
}

// roleTable holds the roles for the targets of a view and a set of live
// coordinators.
type roleTable struct {
	view     *view
	live     []peer
	byTarget []roles // In the order of the view's targets.
}

func (r *roleTable) validFor(v *view, live []peer) bool {
	return r.view == v && slices.EqualFunc(r.live, live, func(a, b peer) bool { return a.hash == b.hash })
}

func newRoleTable(v *view, live []peer) *roleTable {
	instances := make([]registrar.Instance, 0, len(live))
	for _, p := range live {
		instances = append(instances, p.instance)
	}
	r := &roleTable{view: v, live: live, byTarget: make([]roles, 0, len(v.targets))}
	schedulers := map[string][2]uint32{}
	for _, t := range v.targets {
		service := string(t.pool.Service())
		pair, known := schedulers[service]
		if !known {
			pair = schedulersOf(service, instances)
			schedulers[service] = pair
		}
		r.byTarget = append(r.byTarget, roles{owner: ownerOf(t, live), schedulers: pair})
	}
	return r
}

// schedulersOf returns the hashes of the service's scheduler and its successor.
func schedulersOf(service string, instances []registrar.Instance) [2]uint32 {
	var hashes [2]uint32
	first, ok := registrar.RendezvousOwner(instances, service, "")
	if !ok {
		return hashes
	}
	hashes[0] = registrar.Hash(first.ID())
	if second, ok := registrar.RendezvousOwner(instances, service, first.ID()); ok {
		hashes[1] = registrar.Hash(second.ID())
	}
	return hashes
}

// sameZoneBit ranks an instance of the worker's own zone above all others.
const sameZoneBit = 1 << 63

// ownerOf returns the hash of the instance that runs the worker's health checks: the
// one with the highest score in the worker's availability zone, or in the region if
// the zone has none.
func ownerOf(t *target, live []peer) uint32 {
	zone := t.worker.Member().Locality().Zone()
	var best uint64
	var owner uint32
	for _, p := range live {
		score := mix(uint64(t.hash)<<32|uint64(p.hash)) >> 1
		if p.instance.Locality().Zone() == zone {
			score |= sameZoneBit
		}
		if score >= best {
			best, owner = score, p.hash
		}
	}
	return owner
}

// mix spreads the bits of a hash (Steele, Lea and Flood, "Fast Splittable
// Pseudorandom Number Generators", 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
