package scheduler

import (
	"cmp"
	"net"
	"slices"
	"sync"

	"burdocklane/apportioner"
	"burdocklane/descriptor"
	"burdocklane/publisher"
	"burdocklane/registrar"
)

// limitTerms holds what the rate limits take from a snapshot: the limits, and the
// coordinators of all regions, one of which owns them. It is immutable, but for the
// cache of localCalls.
type limitTerms struct {
	snapshot   *publisher.Snapshot
	self       registrar.Instance
	tolerance  apportioner.Tolerance
	parts      map[uint32]apportioner.Parts // By the hash of the tenant's name.
	members    []uint32                     // Hashes of the coordinators' IDs.
	candidates []uint32                     // The members, ranked.
	addresses  map[uint32]*net.UDPAddr
	ids        map[uint32]registrar.InstanceID
	isMember   bool
	calls      sync.Map // From tenant name to the number of calls without a token.
}

// newLimitTerms builds the terms of a snapshot.
func newLimitTerms(s *publisher.Snapshot, self registrar.Instance, tolerance apportioner.Tolerance) *limitTerms {
	t := &limitTerms{
		snapshot: s, self: self, tolerance: tolerance, parts: map[uint32]apportioner.Parts{},
		addresses: map[uint32]*net.UDPAddr{}, ids: map[uint32]registrar.InstanceID{},
	}
	for _, tenant := range s.Deployment().Tenants() {
		if tenant.RateLimit().IsLimited() {
			t.parts[tenant.Hash()] = apportioner.Divide(tenant.RateLimit(), tolerance)
		}
	}
	if len(t.parts) == 0 {
		return t
	}
	for _, i := range allCoordinators(s.List().Instances(), self) {
		hash := registrar.Hash(i.ID())
		t.members, t.ids[hash] = append(t.members, hash), i.ID()
		if address, err := net.ResolveUDPAddr("udp4", i.SchedulerAddress()); err == nil {
			t.addresses[hash] = address
		}
		t.isMember = t.isMember || i.ID() == self.ID()
	}
	t.candidates = rankOwners(t.members, t.ids)
	return t
}

// allCoordinators returns the coordinators of all regions, or this instance if no instance
// is listed.
func allCoordinators(instances []registrar.Instance, self registrar.Instance) []registrar.Instance {
	regions := map[string]bool{}
	var coordinators []registrar.Instance
	for _, i := range instances {
		if region := i.Locality().Region(); !regions[region] {
			regions[region] = true
			coordinators = append(coordinators, registrar.Coordinators(instances, region)...)
		}
	}
	if len(coordinators) == 0 {
		return []registrar.Instance{self}
	}
	return coordinators
}

// rankOwners orders the members by rendezvous hashing, so that all instances prefer the
// same owner.
func rankOwners(members []uint32, ids map[uint32]registrar.InstanceID) []uint32 {
	score := func(m uint32) uint32 { return registrar.Hash("rate-limits/" + string(ids[m])) }
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b uint32) int { return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b)) })
	return ranked
}

// partsOf returns the parts of a tenant's limit, and false if it has none.
func (t *limitTerms) partsOf(tenant uint32) (apportioner.Parts, bool) {
	p, ok := t.parts[tenant]
	return p, ok
}

// capacities returns the capacity of each tenant's limit.
func (t *limitTerms) capacities() map[uint32]float64 {
	capacities := make(map[uint32]float64, len(t.parts))
	for tenant, p := range t.parts {
		capacities[tenant] = p.Capacity()
	}
	return capacities
}

// localCalls returns how many calls of the tenant this instance may admit in a window
// without a token. Its rank among all instances is another one for each tenant.
func (t *limitTerms) localCalls(tenant *descriptor.Tenant) int {
	name := tenant.Name()
	if calls, ok := t.calls.Load(name); ok {
		return calls.(int)
	}
	instances := t.snapshot.List().Instances()
	score := func(id registrar.InstanceID) uint32 { return registrar.Hash(string(name) + "/" + string(id)) }
	rank, own := 0, score(t.self.ID())
	for _, i := range instances {
		if score(i.ID()) > own {
			rank++
		}
	}
	calls := t.parts[tenant.Hash()].LocalOf(rank, len(instances))
	t.calls.Store(name, calls)
	return calls
}
