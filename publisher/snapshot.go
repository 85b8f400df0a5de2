// Package publisher makes accepted configurations and lists of the fleet active.
// Calls read an immutable snapshot through one atomic pointer (read-copy-update).
package publisher

import (
	"time"

	"burdocklane/budgeter"
	"burdocklane/classifier"
	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/registrar"
)

// Lane is the state that the calls of one service share.
type Lane struct {
	pool   *limiter.Pool
	budget *budgeter.Share
}

// Pool returns the pool of the workers of the service, with its queue.
func (l *Lane) Pool() *limiter.Pool { return l.pool }

// Budget returns the retry budget of the service.
func (l *Lane) Budget() *budgeter.Share { return l.budget }

// Snapshot holds the active configuration and list at one moment. It is immutable.
type Snapshot struct {
	deployment    descriptor.Deployment
	list          registrar.List
	index         *classifier.Index
	serviceStates map[descriptor.ServiceName]*Lane
	activeSince   time.Time
	source        string
}

// Deployment returns the active configuration.
func (s *Snapshot) Deployment() descriptor.Deployment { return s.deployment }

// List returns the fleet as the platform last listed it.
func (s *Snapshot) List() registrar.List { return s.list }

// Index returns the index that maps a request to its class.
func (s *Snapshot) Index() *classifier.Index { return s.index }

// Lane returns the state of the service, or nil.
func (s *Snapshot) Lane(name descriptor.ServiceName) *Lane { return s.serviceStates[name] }

// Lanes returns the states by service. The caller must not change the map.
func (s *Snapshot) Lanes() map[descriptor.ServiceName]*Lane { return s.serviceStates }

// Since returns when the configuration became active on this instance.
func (s *Snapshot) Since() time.Time { return s.activeSince }

// Source names the source that the configuration was read from.
func (s *Snapshot) Source() string { return s.source }

// Ready reports whether any configuration is active.
func (s *Snapshot) Ready() bool { return s.deployment.Revision() > 0 }
