// Package registrar models the fleet as the platform lists it: workers, instances
// and their localities.
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

// Locality is the region and availability zone of a worker or an instance.
type Locality struct {
	region string
	zone   string
}

// NewLocality returns the locality for an availability zone of a region.
func NewLocality(region, zone string) Locality { return Locality{region: region, zone: zone} }

// Region returns the region.
func (p Locality) Region() string { return p.region }

// Zone returns the availability zone.
func (p Locality) Zone() string { return p.zone }

// Distance returns the distance between two localities: 0 within an availability
// zone, 1 between zones of a region, 2 between regions.
func (p Locality) Distance(other Locality) int {
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
	id       WorkerID
	service  descriptor.ServiceName
	address  string
	locality Locality
	slots    int
	leaving  bool
	started  int64
	coldFor  time.Duration
	sequence int64
	// evacuated is set while the operator has evacuated the worker's availability zone.
	evacuated bool
}

// NewWorker returns a worker. The address is host:port. Slots is the number of calls
// that the worker claims to run concurrently, which may be wrong.
func NewWorker(id WorkerID, service descriptor.ServiceName, address string, locality Locality, slots int, leaving bool) Worker {
	return Worker{id: id, service: service, address: address, locality: locality, slots: slots, leaving: leaving}
}

// WithStart returns a copy of w with its start time in Unix milliseconds and the rest
// of its warm-up time, in which it is slow.
func (w Worker) WithStart(unixMilli int64, coldFor time.Duration) Worker {
	w.started, w.coldFor = unixMilli, coldFor
	return w
}

// WithSequence returns a copy of w with the sequence number of its registration, which
// grows with each one of an incarnation.
func (w Worker) WithSequence(sequence int64) Worker {
	w.sequence = sequence
	return w
}

// Started returns the worker's start time in Unix milliseconds, or 0 if it is unknown.
func (w Worker) Started() int64 { return w.started }

// Sequence returns the sequence number of the registration.
func (w Worker) Sequence() int64 { return w.sequence }

// SameIncarnation reports whether w and other are the same start of the same worker.
func (w Worker) SameIncarnation(other Worker) bool {
	return w.id == other.id && w.address == other.address && w.service == other.service && w.started == other.started
}

// StartedBefore reports whether w is an earlier start than other, of the same worker.
// Unknown starts have no order.
func (w Worker) StartedBefore(other Worker) bool {
	return w.id == other.id && w.started != 0 && w.started < other.started
}

// ColdFor returns the rest of the warm-up time when the worker was listed.
func (w Worker) ColdFor() time.Duration { return w.coldFor }

// AsEvacuated returns a copy of w in an availability zone that the operator has evacuated.
func (w Worker) AsEvacuated() Worker {
	w.evacuated = true
	return w
}

// IsEvacuated reports whether the operator has evacuated the worker's availability zone.
func (w Worker) IsEvacuated() bool { return w.evacuated }

// ID returns the ID of the worker.
func (w Worker) ID() WorkerID { return w.id }

// Service returns the service that the worker belongs to.
func (w Worker) Service() descriptor.ServiceName { return w.service }

// Address returns the worker's host:port.
func (w Worker) Address() string { return w.address }

// Locality returns the worker's locality.
func (w Worker) Locality() Locality { return w.locality }

// Slots returns the number of concurrent calls that the worker claims to run.
func (w Worker) Slots() int { return w.slots }

// Leaving reports whether the platform lists the worker as about to stop.
func (w Worker) Leaving() bool { return w.leaving }

// Instance is an instance of burdocklane as the platform lists it.
type Instance struct {
	id               InstanceID
	peerAddress      string
	adminAddress     string
	locality         Locality
	leaving          bool
	schedulerAddress string
	cpus             float64
}

// NewInstance returns an instance with the host:port of its ports for peers and for
// administration.
func NewInstance(id InstanceID, peerAddress, adminAddress string, locality Locality, leaving bool) Instance {
	return Instance{id: id, peerAddress: peerAddress, adminAddress: adminAddress, locality: locality, leaving: leaving}
}

// ID returns the ID of the instance.
func (i Instance) ID() InstanceID { return i.id }

// PeerAddress returns the host:port of the port for other instances.
func (i Instance) PeerAddress() string { return i.peerAddress }

// AdminAddress returns the host:port of the read-only admin port.
func (i Instance) AdminAddress() string { return i.adminAddress }

// WithSchedulerAddress returns a copy of i that takes assignment requests at host:port.
func (i Instance) WithSchedulerAddress(address string) Instance {
	i.schedulerAddress = address
	return i
}

// WithCPUs returns a copy of i with the number of CPUs that it may use, which may be
// a fraction.
func (i Instance) WithCPUs(cores float64) Instance {
	i.cpus = cores
	return i
}

// CPUs returns the number of CPUs that the instance may use, or 0 if it is unknown.
func (i Instance) CPUs() float64 { return i.cpus }

// SchedulerAddress returns the host:port at which the instance takes assignment requests, or
// "".
func (i Instance) SchedulerAddress() string { return i.schedulerAddress }

// Locality returns the instance's locality.
func (i Instance) Locality() Locality { return i.locality }

// Leaving reports whether the instance is about to stop.
func (i Instance) Leaving() bool { return i.leaving }

// List is the platform's list of the fleet. It lags behind the real state.
type List struct {
	version   int64
	workers   []Worker
	instances []Instance
	evacuated []string // Availability zones, in order.
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

// AsLeaving returns a copy of i marked as about to stop.
func (i Instance) AsLeaving() Instance {
	i.leaving = true
	return i
}

// WithInstances returns a copy of l with other instances.
func (l List) WithInstances(instances []Instance) List {
	l.instances = slices.Clone(instances)
	return l
}

// WithEvacuatedZones returns a copy of l in which the operator has evacuated the
// availability zones: their workers get no calls.
func (l List) WithEvacuatedZones(zones ...string) List {
	if len(zones) == 0 {
		return l
	}
	l.evacuated = slices.Sorted(slices.Values(zones))
	l.workers = slices.Clone(l.workers)
	for i, w := range l.workers {
		if slices.Contains(zones, w.Locality().Zone()) {
			l.workers[i] = w.AsEvacuated()
		}
	}
	return l
}

// EvacuatedZones returns the availability zones that the operator has evacuated, in order.
// The caller must not change the slice.
func (l List) EvacuatedZones() []string { return l.evacuated }
