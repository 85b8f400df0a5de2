package informer

import (
	"slices"

	"burdocklane/registrar"
)

// duty says, by the hashes of instances, who checks a worker, and who decides
// which calls it takes: the arbiter of its service, and the one that would follow.
type duty struct {
	owner    uint32
	arbiters [2]uint32
}

// concerns tells whether an instance is to know of each report of the worker.
func (d duty) concerns(instance uint32) bool {
	return instance == d.owner || slices.Contains(d.arbiters[:], instance)
}

// duties are those for a view's targets, while the same instances live.
type duties struct {
	view *view
	live []peer
	of   []duty
}

func (d *duties) hold(v *view, live []peer) bool {
	return d.view == v && slices.EqualFunc(d.live, live, func(a, b peer) bool { return a.hash == b.hash })
}

func newDuties(v *view, live []peer) *duties {
	instances := make([]registrar.Instance, 0, len(live))
	for _, p := range live {
		instances = append(instances, p.instance)
	}
	d := &duties{view: v, live: live, of: make([]duty, 0, len(v.targets))}
	arbiters := map[string][2]uint32{}
	for _, t := range v.targets {
		service := string(t.pool.Service())
		of, known := arbiters[service]
		if !known {
			of = arbitersOf(service, instances)
			arbiters[service] = of
		}
		d.of = append(d.of, duty{owner: ownerOf(t, live), arbiters: of})
	}
	return d
}

func arbitersOf(service string, instances []registrar.Instance) [2]uint32 {
	var hashes [2]uint32
	first, ok := registrar.Highest(instances, service, "")
	if !ok {
		return hashes
	}
	hashes[0] = registrar.Hash(first.ID())
	if second, ok := registrar.Highest(instances, service, first.ID()); ok {
		hashes[1] = registrar.Hash(second.ID())
	}
	return hashes
}

// nearBit puts an instance of the worker's own zone before all others.
const nearBit = 1 << 63

// ownerOf returns who checks the worker: the instance with the highest hash in
// the worker's availability zone, or in the region if the zone has none.
func ownerOf(t *target, live []peer) uint32 {
	zone := t.worker.Member().Place().Zone()
	var best uint64
	var owner uint32
	for _, p := range live {
		score := mix(uint64(t.hash)<<32|uint64(p.hash)) >> 1
		if p.instance.Place().Zone() == zone {
			score |= nearBit
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
