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
// for it: the most powerful ones of each availability zone, of equal ones those
// with the highest hash. Each instance computes it alone. What the fleet spends
// on being of one mind thus grows with its zones and not with its instances.
func Council(instances []Instance, region string) []Instance {
	zones := map[string][]Instance{}
	for _, i := range instances {
		if i.Place().Region() == region && !i.Leaving() {
			zones[i.Place().Zone()] = append(zones[i.Place().Zone()], i)
		}
	}
	var council []Instance
	for _, members := range zones {
		slices.SortFunc(members, func(a, b Instance) int {
			return cmp.Or(cmp.Compare(b.power, a.power), cmp.Compare(xxhash.Sum64String(string(b.id)), xxhash.Sum64String(string(a.id))))
		})
		council = append(council, members[:min(len(members), councilOfZone)]...)
	}
	slices.SortFunc(council, func(a, b Instance) int { return cmp.Compare(a.id, b.id) })
	return council
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
