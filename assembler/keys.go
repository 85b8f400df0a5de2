// Package assembler puts a configuration together from the store's keys, one
// for each service and one for the deployment, and takes it apart again.
package assembler

import (
	"fmt"
	"strings"

	"burdocklane/descriptor"
)

// HistoryKept is the number of changes whose record the store keeps.
const HistoryKept = 1000

// Keys names the keys of one deployment in the store.
type Keys struct{ prefix string }

// NewKeys returns the keys under the prefix, such as "/burdocklane/".
func NewKeys(prefix string) Keys { return Keys{prefix: prefix} }

// Config is the prefix of the keys that make up the configuration.
func (k Keys) Config() string { return k.prefix + "config/" }

// Deployment is the key that each change writes. Its revision in the store is
// the configuration's.
func (k Keys) Deployment() string { return k.Config() + "deployment" }

// Service is the key of one service.
func (k Keys) Service(name descriptor.ServiceName) string {
	return k.Config() + "services/" + string(name)
}

// ServiceName returns the service that a key is for.
func (k Keys) ServiceName(key string) (descriptor.ServiceName, bool) {
	name, ok := strings.CutPrefix(key, k.Config()+"services/")
	return descriptor.ServiceName(name), ok
}

// HistoryPrefix is the prefix of the records of changes.
func (k Keys) HistoryPrefix() string { return k.prefix + "history/" }

// History is the key of the record of the change with the number. The oldest
// record is overwritten when there are more than HistoryKept.
func (k Keys) History(number int64) string {
	return fmt.Sprintf("%s%04d", k.HistoryPrefix(), number%HistoryKept)
}
