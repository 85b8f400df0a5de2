package exchanger

import (
	"sync"
	"time"
)

// repairsKept is how long a repair is told of in the status.
const repairsKept = time.Hour

// Repair is something that the instance did on its own to mend the fleet.
type Repair struct {
	at   time.Time
	what string
}

// At returns when it was done.
func (r Repair) At() time.Time { return r.at }

// What says what was done.
func (r Repair) What() string { return r.what }

type repairs struct {
	mutex sync.Mutex
	list  []Repair
}

func newRepairs() *repairs { return &repairs{} }

func (r *repairs) note(what string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.trim(time.Now())
	r.list = append(r.list, Repair{at: time.Now(), what: what})
}

func (r *repairs) trim(now time.Time) {
	for len(r.list) > 0 && now.Sub(r.list[0].at) > repairsKept {
		r.list = r.list[1:]
	}
}

// Repairs returns what the instance repaired in the last hour, oldest first.
func (x *Exchanger) Repairs() []Repair {
	x.repairs.mutex.Lock()
	defer x.repairs.mutex.Unlock()
	x.repairs.trim(time.Now())
	return append([]Repair(nil), x.repairs.list...)
}
