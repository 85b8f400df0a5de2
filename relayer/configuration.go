package relayer

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"burdocklane/storer"
)

const pathConfiguration = "/relay/configuration"

// PublishConfiguration publishes the value of the configuration in force, a JSON
// document with its version, which this instance serves to its peers whether or not it
// is a relay.
func (r *Relay) PublishConfiguration(value []byte) {
	encode := sync.OnceValue(func() *encoding { return encodingOf(value) })
	r.active.Store(&encode)
}

// serveConfiguration responds with the configuration in force, as it was read from the
// store.
func (r *Relay) serveConfiguration(w http.ResponseWriter, request *http.Request) {
	encode := r.active.Load()
	if encode == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	(*encode)().write(w, request)
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
	var value json.RawMessage
	s := &source{base: "http://" + address, client: c.client, knownRevision: func() storer.Revision { return storer.Revision{} }, maxBytes: maxResponseBytes}
	err := s.get(ctx, pathConfiguration, nil, 0, &value)
	return value, err
}
