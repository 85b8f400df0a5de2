package registrar

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// coordinatorsPerZone is the number of coordinators in an availability zone.
const coordinatorsPerZone = 2

// Coordinators returns the instances of the region that run the health checks of its
// workers and schedule its calls: a fixed number from each availability zone. Each
// instance computes the same result without an exchange of messages. The cost of
// coordination thus grows with the number of zones and not of instances.
func Coordinators(instances []Instance, region string) []Instance {
	var coordinators []Instance
	for _, members := range byLocality(instances, func(l Locality) bool { return l.Region() == region }) {
		coordinators = append(coordinators, topRanked(members)...)
	}
	slices.SortFunc(coordinators, func(a, b Instance) int { return cmp.Compare(a.id, b.id) })
	return coordinators
}

// CoordinatorsByRank returns the coordinators of all availability zones but self: the
// first ones of their zones before the second ones, and among equals the nearest
// first. Instances at the same locality get different orders among equally distant
// ones, so that they do not all turn to the same coordinator.
func CoordinatorsByRank(instances []Instance, self Instance) []Instance {
	var coordinators []Instance
	ranks := map[InstanceID]int{}
	for _, members := range byLocality(instances, func(Locality) bool { return true }) {
		for rank, i := range topRanked(members) {
			ranks[i.ID()] = rank
			coordinators = append(coordinators, i)
		}
	}
	coordinators = slices.DeleteFunc(coordinators, func(i Instance) bool { return i.ID() == self.ID() })
	score := func(i Instance) uint32 { return Hash(string(self.ID()) + "/" + string(i.ID())) }
	slices.SortFunc(coordinators, func(a, b Instance) int {
		return cmp.Or(
			cmp.Compare(ranks[a.ID()], ranks[b.ID()]),
			cmp.Compare(self.Locality().Distance(a.Locality()), self.Locality().Distance(b.Locality())),
			cmp.Compare(score(a), score(b)))
	})
	return coordinators
}

// CoordinatorsOfZone returns the coordinators in an availability zone in order of rank.
func CoordinatorsOfZone(instances []Instance, locality Locality) []Instance {
	return topRanked(byLocality(instances, func(l Locality) bool { return l == locality })[locality])
}

// byLocality returns the instances that are not about to stop, by the localities to
// include.
func byLocality(instances []Instance, include func(Locality) bool) map[Locality][]Instance {
	members := map[Locality][]Instance{}
	for _, i := range instances {
		if !i.Leaving() && include(i.Locality()) {
			members[i.Locality()] = append(members[i.Locality()], i)
		}
	}
	return members
}

// topRanked returns the coordinators among the members of a zone: those with the most
// CPU, and among equals those with the highest hash. It sorts the members in place.
func topRanked(members []Instance) []Instance {
	slices.SortFunc(members, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(b.cpus, a.cpus), cmp.Compare(xxhash.Sum64String(string(b.id)), xxhash.Sum64String(string(a.id))))
	})
	return members[:min(len(members), coordinatorsPerZone)]
}

// RendezvousOwner returns the instance that rendezvous hashing maps the name to, other
// than the one with the ID except (Thaler and Ravishankar, "Using name-based mappings
// to increase hit rates", 1998). It returns false if there is none.
func RendezvousOwner(instances []Instance, name string, except InstanceID) (Instance, bool) {
	var best Instance
	var bestScore uint32
	for _, i := range instances {
		if i.ID() == except {
			continue
		}
		if score := Hash(name + "/" + string(i.ID())); best.id == "" || score >= bestScore {
			best, bestScore = i, score
		}
	}
	return best, best.id != ""
}
