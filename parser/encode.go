package parser

import (
	"encoding/json"

	"burdocklane/descriptor"

	"github.com/go-faster/errors"
)

type targetMessage struct {
	Latency  string  `json:"latency"`
	Quantile float64 `json:"quantile"`
}

type classMessage struct {
	Methods  []string      `json:"methods,omitempty"`
	Paths    []string      `json:"paths"`
	Repeat   string        `json:"repeat"`
	Target   targetMessage `json:"target"`
	Deadline string        `json:"deadline"`
	Public   bool          `json:"public,omitempty"`
}

type serviceMessage struct {
	NotRunStatuses []int                   `json:"not-run-statuses,omitempty"`
	Classes        map[string]classMessage `json:"classes"`
}

type measurementBudgetMessage struct {
	BytesPerSecond int64   `json:"bytes-per-second"`
	WorkerShare    float64 `json:"worker-share"`
}

type deploymentMessage struct {
	Deployment string                    `json:"deployment"`
	Measuring  measurementBudgetMessage  `json:"measuring"`
	Services   map[string]serviceMessage `json:"services"`
	Tenants    map[string]tenantMessage  `json:"tenants,omitempty"`
}

// EncodeDeployment returns d as indented JSON that can be parsed again.
func EncodeDeployment(d descriptor.Deployment) ([]byte, error) {
	message := deploymentMessage{
		Deployment: d.Name(),
		Measuring:  measurementBudgetMessage{BytesPerSecond: d.MeasurementBudget().BytesPerSecond(), WorkerShare: d.MeasurementBudget().WorkerShare()},
		Services:   map[string]serviceMessage{},
		Tenants:    newTenantMessages(d.Tenants()),
	}
	for _, s := range d.Services() {
		message.Services[string(s.Name())] = newServiceMessage(s)
	}
	data, err := json.MarshalIndent(message, "", "  ")
	if err != nil {
		return data, errors.Wrap(err, "encode deployment")
	}
	return data, nil
}

// EncodeService returns s as the compact JSON that is stored. Equal services have
// equal encodings.
func EncodeService(s descriptor.Service) ([]byte, error) {
	data, err := json.Marshal(newServiceMessage(s))
	if err != nil {
		return data, errors.Wrapf(err, "encode service %s", s.Name())
	}
	return data, nil
}

func newServiceMessage(s descriptor.Service) serviceMessage {
	message := serviceMessage{NotRunStatuses: s.NotRunStatuses(), Classes: map[string]classMessage{}}
	for _, c := range s.Classes() {
		message.Classes[string(c.Name())] = classMessage{
			Methods:  c.Methods(),
			Paths:    c.Paths(),
			Repeat:   descriptor.CallSemanticsText(c.CallSemantics()),
			Target:   targetMessage{Latency: c.Target().Latency().String(), Quantile: c.Target().Quantile()},
			Deadline: c.Deadline().String(),
			Public:   c.IsPublic(),
		}
	}
	return message
}
