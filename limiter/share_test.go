package limiter_test

import (
	"fmt"
	"testing"

	"burdocklane/limiter"
	"burdocklane/registrar"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func locality(region int) registrar.Locality {
	return registrar.NewLocality(fmt.Sprintf("r%d", region), fmt.Sprintf("r%d-a", region))
}

func worker(n, region, slots int) registrar.Worker {
	return registrar.NewWorker(registrar.WorkerID(fmt.Sprintf("w%d", n)), "s", fmt.Sprintf("10.0.0.%d:1", n), locality(region), slots, false)
}

func instance(n, region int, leaving bool) registrar.Instance {
	return registrar.NewInstance(registrar.InstanceID(fmt.Sprintf("i%d", n)), "", "", locality(region), leaving)
}

// Instances with the same lists assign each slot of a region to exactly one of
// its instances, and divide the slots evenly.
func TestEachSlotBelongsToOneInstanceOfTheRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.IntRange(1, 3).Draw(t, "regions")
		var workers []registrar.Worker
		slots := make([]int, regions)
		for n := range rapid.IntRange(regions, 12).Draw(t, "workers") {
			w := worker(n, n%regions, rapid.IntRange(4, 8).Draw(t, "slots"))
			slots[n%regions] += w.Slots()
			workers = append(workers, w)
		}
		var instances []registrar.Instance
		perRegion := rapid.IntRange(1, 4).Draw(t, "instances in each region")
		for n := range regions * perRegion {
			instances = append(instances, instance(n, n%regions, false))
		}
		held := make([]int, len(workers))
		for _, self := range instances {
			own := 0
			for i, share := range limiter.Shares(workers, instances, self) {
				held[i] += share
				own += share
				if share > 0 && workers[i].Locality().Region() != self.Locality().Region() {
					t.Fatalf("%s holds slots of another region", self.ID())
				}
			}
			region := int(self.Locality().Region()[1] - '0')
			if maxShare := (slots[region] + perRegion - 1) / perRegion; own > maxShare {
				t.Fatalf("%s holds %d slots, more than its even share %d", self.ID(), own, maxShare)
			}
		}
		for i, w := range workers {
			if held[i] != w.Slots() {
				t.Fatalf("%d of %d slots of %s are held", held[i], w.Slots(), w.ID())
			}
		}
	})
}

func TestShares(t *testing.T) {
	tests := []struct {
		name      string
		workers   []registrar.Worker
		instances []registrar.Instance
		self      registrar.Instance
		total     int
	}{
		{name: "no worker", self: instance(0, 0, false), total: 0},
		{name: "not listed yet", workers: []registrar.Worker{worker(0, 0, 6)}, self: instance(0, 0, false), total: 6},
		{
			name: "a leaving instance holds none", workers: []registrar.Worker{worker(0, 0, 6)},
			instances: []registrar.Instance{instance(0, 0, false), instance(1, 0, true)},
			self:      instance(0, 0, false), total: 6,
		},
		{
			name: "a region without workers uses another's", workers: []registrar.Worker{worker(0, 0, 6)},
			instances: []registrar.Instance{instance(0, 0, false), instance(1, 1, false)},
			self:      instance(1, 1, false), total: 3,
		},
		{
			name: "more instances than slots: one slot is still used", workers: []registrar.Worker{worker(0, 0, 1)},
			instances: []registrar.Instance{instance(0, 0, false), instance(1, 0, false), instance(2, 0, false)},
			self:      instance(1, 0, false), total: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			total := 0
			for _, share := range limiter.Shares(test.workers, test.instances, test.self) {
				total += share
			}
			c.Assert(total, qt.Equals, test.total)
		})
	}
}
