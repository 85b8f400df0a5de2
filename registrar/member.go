// Package registrar holds the fleet as the platform lists it: workers,
// instances, and where they stand.
package registrar

import (
	"slices"
	"time"

	"burdocklane/descriptor"
)

// WorkerID identifies a worker of the platform.
type WorkerID string

// InstanceID identifies an instance of burdocklane.
type InstanceID string

// Place is where a member stands.
type Place struct {
	region string
	zone   string
}

// NewPlace returns the place of a member in an availability zone of a region.
func NewPlace(region, zone string) Place { return Place{region: region, zone: zone} }

// Region returns the region.
func (p Place) Region() string { return p.region }

// Zone returns the availability zone.
func (p Place) Zone() string { return p.zone }

// Distance counts the steps between two places: 0 within an availability
// zone, 1 between zones of a region, 2 between regions.
func (p Place) Distance(other Place) int {
	switch {
	case p.region != other.region:
		return 2
	case p.zone != other.zone:
		return 1
	}
	return 0
}

// Worker is a worker as the platform lists it.
type Worker struct {
	id      WorkerID
	service descriptor.ServiceName
	address string
	place   Place
	slots   int
	leaving bool
	started int64
	coldFor time.Duration
}

// NewWorker returns a worker. The address is host:port; slots is what the
// worker reports of the number of calls it can run at once, which may be wrong.
func NewWorker(id WorkerID, service descriptor.ServiceName, address string, place Place, slots int, leaving bool) Worker {
	return Worker{id: id, service: service, address: address, place: place, slots: slots, leaving: leaving}
}

// WithStart returns a copy of w that started at a time, in Unix milliseconds,
// and is slow until it has run for coldFor longer.
func (w Worker) WithStart(unixMilli int64, coldFor time.Duration) Worker {
	w.started, w.coldFor = unixMilli, coldFor
	return w
}

// SameIncarnation tells whether w and other are one start of the same worker.
func (w Worker) SameIncarnation(other Worker) bool {
	return w.id == other.id && w.address == other.address && w.service == other.service && w.started == other.started
}

// ColdFor returns how much longer the worker was said to be slow.
func (w Worker) ColdFor() time.Duration { return w.coldFor }

// ID returns the identity of the worker.
func (w Worker) ID() WorkerID { return w.id }

// Service returns the service that the worker belongs to.
func (w Worker) Service() descriptor.ServiceName { return w.service }

// Address returns host:port.
func (w Worker) Address() string { return w.address }

// Place returns where the worker stands.
func (w Worker) Place() Place { return w.place }

// Slots returns the reported number of concurrent calls.
func (w Worker) Slots() int { return w.slots }

// Leaving tells whether the platform says that the worker is about to stop.
func (w Worker) Leaving() bool { return w.leaving }

// Instance is an instance of burdocklane as the platform lists it.
type Instance struct {
	id      InstanceID
	peers   string
	admin   string
	place   Place
	leaving bool
	rulings string
	power   float64
}

// NewInstance returns an instance with the host:port of its peers' and admin
// ports.
func NewInstance(id InstanceID, peers, admin string, place Place, leaving bool) Instance {
	return Instance{id: id, peers: peers, admin: admin, place: place, leaving: leaving}
}

// ID returns the identity of the instance.
func (i Instance) ID() InstanceID { return i.id }

// Peers returns host:port of the port for other instances.
func (i Instance) Peers() string { return i.peers }

// Admin returns host:port of the read-only admin port.
func (i Instance) Admin() string { return i.admin }

// WithRulings returns a copy of i that decides for its region at host:port.
func (i Instance) WithRulings(address string) Instance {
	i.rulings = address
	return i
}

// WithPower returns a copy of i that has the given share of a processor.
func (i Instance) WithPower(cores float64) Instance {
	i.power = cores
	return i
}

// Power returns the instance's share of a processor, or 0 if it is not known.
func (i Instance) Power() float64 { return i.power }

// Rulings returns host:port at which the instance decides for its region, or "".
func (i Instance) Rulings() string { return i.rulings }

// Place returns where the instance stands.
func (i Instance) Place() Place { return i.place }

// Leaving tells whether the instance is about to stop.
func (i Instance) Leaving() bool { return i.leaving }

// List is the platform's list of the fleet, which lags behind the truth.
type List struct {
	version   int64
	workers   []Worker
	instances []Instance
}

// NewList returns a list; a larger version replaces a smaller one.
func NewList(version int64, workers []Worker, instances []Instance) List {
	return List{version: version, workers: slices.Clone(workers), instances: slices.Clone(instances)}
}

// Version returns the platform's version of the list.
func (l List) Version() int64 { return l.version }

// Workers returns the workers. The caller must not change the slice.
func (l List) Workers() []Worker { return l.workers }

// Instances returns the instances. The caller must not change the slice.
func (l List) Instances() []Instance { return l.instances }

// AsLeaving returns i marked as leaving.
func (i Instance) AsLeaving() Instance {
	i.leaving = true
	return i
}

// WithInstances returns l with other instances.
func (l List) WithInstances(instances []Instance) List {
	l.instances = slices.Clone(instances)
	return l
}
