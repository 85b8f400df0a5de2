package exchanger

import (
	"sync"
	"time"
)

// repairRetention is how long a repair stays in the status.
const repairRetention = time.Hour

// Repair is an automatic recovery from a fault of the fleet.
type Repair struct {
	at          time.Time
	description string
}

// At returns the time of the repair.
func (r Repair) At() time.Time { return r.at }

// Description describes the repair.
func (r Repair) Description() string { return r.description }

type repairs struct {
	mutex sync.Mutex
	list  []Repair
}

func newRepairs() *repairs { return &repairs{} }

func (r *repairs) add(description string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expire(time.Now())
	r.list = append(r.list, Repair{at: time.Now(), description: description})
}

func (r *repairs) expire(now time.Time) {
	for len(r.list) > 0 && now.Sub(r.list[0].at) > repairRetention {
		r.list = r.list[1:]
	}
}

// Repairs returns the repairs of the last hour, oldest first.
func (x *Exchanger) Repairs() []Repair {
	x.repairs.mutex.Lock()
	defer x.repairs.mutex.Unlock()
	x.repairs.expire(time.Now())
	return append([]Repair(nil), x.repairs.list...)
}
