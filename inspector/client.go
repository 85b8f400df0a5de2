package inspector

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"burdocklane/descriptor"
	"burdocklane/holder"

	"github.com/go-faster/errors"
)

const (
	clientTimeout    = 5 * time.Second
	maxResponseBytes = 64 << 20
)

// StatusError reports a response of an admin port with a status other than 200.
type StatusError struct {
	address string
	status  int
	message string
}

// Status returns the HTTP status code.
func (e *StatusError) Status() int { return e.status }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("admin port %s: status %d: %s", e.address, e.status, e.message)
}

// Fetch requests a path of the admin port at host:port and returns the response
// body.
func Fetch(ctx context.Context, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "admin port")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "admin port")
	}
	defer response.Body.Close()
	data, err := holder.ReadLimited(response.Body, maxResponseBytes)
	if err != nil {
		return nil, errors.Wrap(err, "admin port")
	}
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{address: address, status: response.StatusCode, message: string(data)}
	}
	return data, nil
}

// FetchDecisions returns the decisions for a request ID, as JSON lines.
func FetchDecisions(ctx context.Context, address, id string) ([]byte, error) {
	return Fetch(ctx, address, "/explain/"+url.PathEscape(id))
}

// ControlPlaneStatus is the part of an instance's status about its active revision and its
// control-plane traffic.
type ControlPlaneStatus struct {
	revision descriptor.Revision
	since    time.Time
	control  ControlTraffic
}

// Revision returns the active revision, or 0 if there is none.
func (v ControlPlaneStatus) Revision() descriptor.Revision { return v.revision }

// ActiveSince returns when the revision became active, or the zero time.
func (v ControlPlaneStatus) ActiveSince() time.Time { return v.since }

// ControlTraffic returns the control-plane traffic since the start of the instance.
func (v ControlPlaneStatus) ControlTraffic() ControlTraffic { return v.control }

// FetchControlPlaneStatus returns an instance's active revision and control-plane traffic.
func FetchControlPlaneStatus(ctx context.Context, address string) (ControlPlaneStatus, error) {
	status, err := fetchStatus(ctx, address)
	if err != nil {
		return ControlPlaneStatus{}, err
	}
	v := ControlPlaneStatus{revision: descriptor.Revision(status.Configuration.Revision)}
	if status.Configuration.ActiveSince != nil {
		v.since = *status.Configuration.ActiveSince
	}
	c := status.Control
	v.control = NewControlTraffic(c.PeerBytes, c.StoreBytes, c.ListBytes, c.StoreCalls)
	return v, nil
}

func fetchStatus(ctx context.Context, address string) (statusMessage, error) {
	var status statusMessage
	data, err := Fetch(ctx, address, "/status")
	if err != nil {
		return status, err
	}
	if err := json.Unmarshal(data, &status); err != nil {
		return status, errors.Wrap(err, "admin port")
	}
	return status, nil
}

// FetchRevision returns the active revision of an instance, or 0 if there is none.
func FetchRevision(ctx context.Context, address string) (descriptor.Revision, error) {
	status, err := fetchStatus(ctx, address)
	if err != nil {
		return 0, err
	}
	return descriptor.Revision(status.Configuration.Revision), nil
}

// Overhead is an instance's overhead beside the calls themselves.
type Overhead struct {
	measurementBytes int64
	retries          int64
}

// MeasurementBytes returns the bytes sent and received to measure the load of
// workers.
func (e Overhead) MeasurementBytes() int64 { return e.measurementBytes }

// Retries returns the number of retries and hedged requests of all services.
func (e Overhead) Retries() int64 { return e.retries }

// FetchOverhead returns an instance's overhead since its start.
func FetchOverhead(ctx context.Context, address string) (Overhead, error) {
	status, err := fetchStatus(ctx, address)
	if err != nil {
		return Overhead{}, err
	}
	effort := Overhead{measurementBytes: status.Measuring.Bytes}
	for _, s := range status.Services {
		effort.retries += s.Retries
	}
	return effort, nil
}
