// Package assembler converts between a configuration and its keys in the store:
// one for each service and one for the deployment.
package assembler

import (
	"fmt"
	"strings"

	"burdocklane/descriptor"
)

// MaxHistoryRecords is the maximum number of change records in the store.
const MaxHistoryRecords = 1000

// Keys builds the names of a deployment's keys in the store.
type Keys struct{ prefix string }

// NewKeys returns Keys with the prefix, such as "/burdocklane/".
func NewKeys(prefix string) Keys { return Keys{prefix: prefix} }

// ConfigPrefix returns the prefix of the keys that form the configuration.
func (k Keys) ConfigPrefix() string { return k.prefix + "config/" }

// DeploymentKey returns the key that every change writes. Its revision in the store
// is the revision of the configuration.
func (k Keys) DeploymentKey() string { return k.ConfigPrefix() + "deployment" }

// TenantsKey returns the key of the tenants. It exists only if there are any.
func (k Keys) TenantsKey() string { return k.ConfigPrefix() + "tenants" }

// ServiceKey returns the key of the service.
func (k Keys) ServiceKey(name descriptor.ServiceName) string {
	return k.ConfigPrefix() + "services/" + string(name)
}

// ServiceName returns the service whose key it is given, and false for any other
// key.
func (k Keys) ServiceName(key string) (descriptor.ServiceName, bool) {
	name, ok := strings.CutPrefix(key, k.ConfigPrefix()+"services/")
	return descriptor.ServiceName(name), ok
}

// HistoryPrefix returns the prefix of the keys of change records.
func (k Keys) HistoryPrefix() string { return k.prefix + "history/" }

// HistoryKey returns the key of the record of the change with the sequence number.
// Keys repeat after MaxHistoryRecords changes, so that a new record overwrites
// the oldest.
func (k Keys) HistoryKey(number int64) string {
	return fmt.Sprintf("%s%04d", k.HistoryPrefix(), number%MaxHistoryRecords)
}
