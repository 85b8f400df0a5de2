package limiter

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"burdocklane/descriptor"
	"burdocklane/registrar"

	"github.com/cespare/xxhash/v2"
)

// Shares returns how many slots of each worker belong to the instance self.
// Each instance computes this independently, so that instances with the same
// lists agree without communicating. The slots of a worker belong to the live
// instances of its region, and to those of regions without a worker of the
// service.
//
// Each slot goes to the instance with the highest hash for it (Thaler and
// Ravishankar, "Using name-based mappings to increase hit rates", 1998) among
// those that hold less than their even share (Mirrokni, Thorup and
// Zadimoghaddam, "Consistent hashing with bounded loads", 2018). Where the
// slots do not divide evenly, the instances with the highest hashes get one
// more.
//
// The platform's list may be outdated, so self counts as live even before it
// is listed. If there are more instances than slots, an instance without any
// may still use one slot: the worker's own queue absorbs the overcommitment.
func Shares(workers []registrar.Worker, instances []registrar.Instance, self registrar.Instance) []int {
	shares := make([]int, len(workers))
	for _, group := range groupByRegion(workers, withSelf(instances, self)) {
		group.distribute(workers, self.ID(), shares)
	}
	if len(workers) > 0 && slices.Max(shares) == 0 {
		shares[fallbackWorker(workers, self)] = 1
	}
	return shares
}

func withSelf(instances []registrar.Instance, self registrar.Instance) []registrar.Instance {
	listed := slices.ContainsFunc(instances, func(i registrar.Instance) bool { return i.ID() == self.ID() })
	if listed {
		return instances
	}
	return append(slices.Clone(instances), self)
}

// fallbackWorker returns the nearest worker, and among equally near ones that
// with the highest hash for self.
func fallbackWorker(workers []registrar.Worker, self registrar.Instance) int {
	best, bestDistance, bestScore := 0, math.MaxInt, uint64(0)
	for i, w := range workers {
		distance := self.Locality().Distance(w.Locality())
		score := xxhash.Sum64String(string(w.ID()) + "/" + string(self.ID()))
		if distance < bestDistance || (distance == bestDistance && score > bestScore) {
			best, bestDistance, bestScore = i, distance, score
		}
	}
	return best
}

// group holds the workers of one region and the instances that share their
// slots.
type group struct {
	workers []int
	holders []registrar.InstanceID
}

func groupByRegion(workers []registrar.Worker, instances []registrar.Instance) []group {
	served := map[string]*group{}
	regions := []string{}
	for i, w := range workers {
		region := w.Locality().Region()
		if served[region] == nil {
			served[region] = &group{}
			regions = append(regions, region)
		}
		served[region].workers = append(served[region].workers, i)
	}
	var unserved []registrar.InstanceID
	for _, instance := range instances {
		if instance.Leaving() {
			continue
		}
		if g := served[instance.Locality().Region()]; g != nil {
			g.holders = append(g.holders, instance.ID())
			continue
		}
		unserved = append(unserved, instance.ID())
	}
	groups := make([]group, 0, len(regions))
	for _, region := range regions {
		g := served[region]
		g.holders = append(g.holders, unserved...)
		if len(g.holders) == 0 {
			g.holders = liveInstances(instances)
		}
		groups = append(groups, *g)
	}
	return groups
}

func liveInstances(instances []registrar.Instance) []registrar.InstanceID {
	var ids []registrar.InstanceID
	for _, instance := range instances {
		if !instance.Leaving() {
			ids = append(ids, instance.ID())
		}
	}
	return ids
}

func (g group) distribute(workers []registrar.Worker, self registrar.InstanceID, shares []int) {
	total := 0
	for _, i := range g.workers {
		total += workers[i].Slots()
	}
	if len(g.holders) == 0 || total == 0 {
		return
	}
	remaining := g.quotas(workers[g.workers[0]].Service(), total)
	order := slices.Clone(g.workers)
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(workers[a].ID(), workers[b].ID())
	})
	for _, i := range order {
		for slot := range workers[i].Slots() {
			holder := g.holderOf(workers[i].ID(), slot, remaining)
			remaining[holder]--
			if g.holders[holder] == self {
				shares[i]++
			}
		}
	}
}

// quotas returns how many of the slots each holder gets.
func (g group) quotas(service descriptor.ServiceName, total int) []int {
	quotas := make([]int, len(g.holders))
	order := make([]int, len(g.holders))
	for i := range g.holders {
		quotas[i], order[i] = total/len(g.holders), i
	}
	score := func(i int) uint64 { return xxhash.Sum64String(string(service) + "/" + string(g.holders[i])) }
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(score(b), score(a)) })
	for _, i := range order[:total%len(g.holders)] {
		quotas[i]++
	}
	return quotas
}

func (g group) holderOf(worker registrar.WorkerID, slot int, remaining []int) int {
	best, bestScore := -1, uint64(0)
	key := string(worker) + "/" + strconv.Itoa(slot) + "/"
	for i, id := range g.holders {
		if remaining[i] == 0 {
			continue
		}
		if score := xxhash.Sum64String(key + string(id)); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
