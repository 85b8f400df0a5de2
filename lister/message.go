// Package lister receives the platform's list of workers and instances, which
// may be out of date. It also encodes lists for the emulated platform.
package lister

import (
	"encoding/json"

	"burdocklane/descriptor"
	"burdocklane/registrar"

	"github.com/go-faster/errors"
)

const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

type workerMessage struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"availability-zone"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

type instanceMessage struct {
	ID     string `json:"id"`
	Peers  string `json:"peers"`
	Admin  string `json:"admin"`
	Region string `json:"region"`
	Zone   string `json:"availability-zone"`
	State  string `json:"state"`
}

type listMessage struct {
	Version   int64             `json:"version"`
	Workers   []workerMessage   `json:"workers"`
	Instances []instanceMessage `json:"instances"`
}

// receivedMessage is a listMessage whose entries are decoded one by one.
type receivedMessage struct {
	Version   int64             `json:"version"`
	Workers   []json.RawMessage `json:"workers"`
	Instances []json.RawMessage `json:"instances"`
}

// maxSlots is the maximum number of concurrent calls that a worker can declare.
const maxSlots = 1 << 12

// Decode parses a list. It limits each worker's slots to the range from 1 to
// maxSlots, and returns the number of entries that it has ignored: those that cannot
// be decoded or have no valid ID.
func Decode(data []byte) (list registrar.List, ignored int, err error) {
	var message receivedMessage
	if err := json.Unmarshal(data, &message); err != nil {
		return registrar.List{}, 0, errors.Wrap(err, "decode the platform's list")
	}
	workers := make([]registrar.Worker, 0, len(message.Workers))
	for _, raw := range message.Workers {
		var w workerMessage
		if err := json.Unmarshal(raw, &w); err == nil && registrar.IsValidID(w.ID) {
			workers = append(workers, w.worker())
		}
	}
	instances := make([]registrar.Instance, 0, len(message.Instances))
	for _, raw := range message.Instances {
		var i instanceMessage
		if err := json.Unmarshal(raw, &i); err == nil && registrar.IsValidID(i.ID) {
			instances = append(instances, i.instance())
		}
	}
	ignored = len(message.Workers) - len(workers) + len(message.Instances) - len(instances)
	return registrar.NewList(message.Version, workers, instances), ignored, nil
}

func (m workerMessage) worker() registrar.Worker {
	slots := min(max(m.Slots, 1), maxSlots)
	return registrar.NewWorker(registrar.WorkerID(m.ID), descriptor.ServiceName(m.Service), m.Address,
		registrar.NewLocality(m.Region, m.Zone), slots, m.State == stateLeaving)
}

func (m instanceMessage) instance() registrar.Instance {
	return registrar.NewInstance(registrar.InstanceID(m.ID), m.Peers, m.Admin,
		registrar.NewLocality(m.Region, m.Zone), m.State == stateLeaving)
}

// Encode returns the list as JSON that Decode can parse.
func Encode(l registrar.List) ([]byte, error) {
	message := listMessage{Version: l.Version(), Workers: []workerMessage{}, Instances: []instanceMessage{}}
	for _, w := range l.Workers() {
		message.Workers = append(message.Workers, newWorkerMessage(w))
	}
	for _, i := range l.Instances() {
		message.Instances = append(message.Instances, newInstanceMessage(i))
	}
	data, err := json.Marshal(message)
	if err != nil {
		return data, errors.Wrap(err, "encode list")
	}
	return data, nil
}

func newWorkerMessage(w registrar.Worker) workerMessage {
	return workerMessage{
		ID: string(w.ID()), Service: string(w.Service()), Address: w.Address(),
		Region: w.Locality().Region(), Zone: w.Locality().Zone(), Slots: w.Slots(), State: stateText(w.Leaving()),
	}
}

func newInstanceMessage(i registrar.Instance) instanceMessage {
	return instanceMessage{
		ID: string(i.ID()), Peers: i.PeerAddress(), Admin: i.AdminAddress(),
		Region: i.Locality().Region(), Zone: i.Locality().Zone(), State: stateText(i.Leaving()),
	}
}

func stateText(leaving bool) string {
	if leaving {
		return stateLeaving
	}
	return stateLive
}
