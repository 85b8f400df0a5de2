package descriptor

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxHashAttempts bounds the search for a hash of a name that no other tenant has. Names
// that are the same have none.
const maxHashAttempts = 8

// Hash returns the number that names the tenant in datagrams. No other tenant of its
// deployment has it: calls would be charged to the wrong one. It is 0, which names nobody,
// if there is no such number.
func (t Tenant) Hash() uint32 { return t.hash }

// hashOf returns the hash of a name at an attempt. The separator is in no name.
func hashOf(name TenantName, attempt int) uint32 {
	if attempt == 0 {
		return uint32(xxhash.Sum64String(string(name)))
	}
	return uint32(xxhash.Sum64String(string(name) + "\x00" + strconv.Itoa(attempt)))
}

// setDistinctHashes gives each tenant a hash of its own. All that share a hash get other
// ones: an instance with another version of the configuration, in which one of them has
// that hash, then takes it for an unknown tenant and not for the wrong one.
func setDistinctHashes(tenants []Tenant) {
	for attempt := 1; ; attempt++ {
		count := map[uint32]int{0: 1} // 0 is no tenant's.
		for _, t := range tenants {
			count[t.hash]++
		}
		distinct := true
		for i, t := range tenants {
			if t.hash == 0 && attempt > maxHashAttempts || count[t.hash] == 1 {
				continue
			}
			distinct = false
			tenants[i].hash = 0
			if attempt <= maxHashAttempts {
				tenants[i].hash = hashOf(t.name, attempt)
			}
		}
		if distinct {
			return
		}
	}
}
