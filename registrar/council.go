package registrar

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// councilOfZone is how many instances of an availability zone are in the
// region's council.
const councilOfZone = 2

// Council returns the instances of the region that check its workers and decide
// for it: the first of each availability zone. Each instance computes it alone.
// What the fleet spends on being of one mind thus grows with its zones and not
// with its instances.
func Council(instances []Instance, region string) []Instance {
	zones := map[string][]Instance{}
	for _, i := range instances {
		if i.Place().Region() == region && !i.Leaving() {
			zones[i.Place().Zone()] = append(zones[i.Place().Zone()], i)
		}
	}
	var council []Instance
	for _, members := range zones {
		council = append(council, firstOf(members)...)
	}
	slices.SortFunc(council, func(a, b Instance) int { return cmp.Compare(a.id, b.id) })
	return council
}

// FirstOfZone returns the members of the council in an availability zone, the
// first one first.
func FirstOfZone(instances []Instance, place Place) []Instance {
	var members []Instance
	for _, i := range instances {
		if i.Place() == place && !i.Leaving() {
			members = append(members, i)
		}
	}
	return firstOf(members)
}

// firstOf returns the most powerful ones, of equal ones those with the highest
// hash. It changes the order of the members.
func firstOf(members []Instance) []Instance {
	slices.SortFunc(members, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(b.power, a.power), cmp.Compare(xxhash.Sum64String(string(b.id)), xxhash.Sum64String(string(a.id))))
	})
	return members[:min(len(members), councilOfZone)]
}

// Highest returns the instance with the highest hash for the name, other than the
// one named except (Thaler and Ravishankar, "Using name-based mappings to increase
// hit rates", 1998). It returns false if there is none.
func Highest(instances []Instance, name string, except InstanceID) (Instance, bool) {
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
