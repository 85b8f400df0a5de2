package relayer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"burdocklane/confirmer"
	"burdocklane/descriptor"
	"burdocklane/storer"

	"github.com/go-faster/errors"
)

const (
	pathConfiguration = "/relay/configuration"
	// queryLaterThan is the version that the client has: an earlier one, and that one, are
	// not sent. Instances of earlier releases send theirs in any case.
	queryLaterThan = "later-than"
	// statusNotLater is the status of the response to a client that has the configuration
	// in force, or a later one.
	statusNotLater = http.StatusNoContent
)

// activeConfiguration is the configuration in force. It is immutable.
type activeConfiguration struct {
	version descriptor.Revision
	encode  func() *encoding // The value as it is sent; encoded on first use.
}

// PublishConfiguration publishes the value of the configuration in force, a JSON
// document with its version, which this instance serves to its peers whether or not it
// is a relay.
func (r *Relay) PublishConfiguration(version descriptor.Revision, value []byte) {
	encode := sync.OnceValue(func() *encoding { return encodingOf(value) })
	r.active.Store(&activeConfiguration{version: version, encode: encode})
}

// serveConfiguration responds with the configuration in force, as it was read from the
// store, unless the client has that one or a later one.
func (r *Relay) serveConfiguration(w http.ResponseWriter, request *http.Request) {
	active := r.active.Load()
	if active == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	known, err := strconv.ParseInt(request.URL.Query().Get(queryLaterThan), 10, 64)
	if err == nil && active.version <= descriptor.Revision(known) {
		w.WriteHeader(statusNotLater)
		return
	}
	active.encode().write(w, request)
}

// ConfigurationClient fetches the configurations that peers have in force.
type ConfigurationClient struct{ client *http.Client }

// NewConfigurationClient returns a client without connections.
func NewConfigurationClient() *ConfigurationClient {
	return &ConfigurationClient{client: newClient()}
}

// Close closes the idle connections.
func (c *ConfigurationClient) Close() { c.client.CloseIdleConnections() }

// Fetch returns the value of the configuration that the peer at host:port has in force.
func (c *ConfigurationClient) Fetch(ctx context.Context, address string) ([]byte, error) {
	return c.get(ctx, address, nil)
}

// Ask asks the peer at host:port for the configuration that it has in force if that is
// later than the given one.
func (c *ConfigurationClient) Ask(ctx context.Context, address string, version descriptor.Revision) confirmer.Answer {
	value, err := c.get(ctx, address, url.Values{queryLaterThan: {strconv.FormatInt(int64(version), 10)}})
	if err == nil {
		return confirmer.NewLater(value)
	}
	var status *storer.StatusError
	if !errors.As(err, &status) {
		return confirmer.NewUnknown(err)
	}
	switch status.Status() {
	case statusNotLater:
		return confirmer.NotLater{}
	case http.StatusNotFound:
		return confirmer.NoConfiguration{}
	}
	return confirmer.NewUnknown(err)
}

func (c *ConfigurationClient) get(ctx context.Context, address string, query url.Values) ([]byte, error) {
	var value json.RawMessage
	s := &source{base: "http://" + address, client: c.client, knownRevision: func() storer.Revision { return storer.Revision{} }, maxBytes: maxResponseBytes}
	err := s.get(ctx, pathConfiguration, query, 0, &value)
	return value, err
}
