// Package publisher puts accepted configurations and lists of the fleet in
// force. Calls read an immutable snapshot through one atomic pointer
// (read-copy-update).
package publisher

import (
	"time"

	"burdocklane/budgeter"
	"burdocklane/classifier"
	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/registrar"
)

// Lane is what the calls of one service share.
type Lane struct {
	pool   *limiter.Pool
	budget *budgeter.Share
}

// Pool returns the workers and the queue of the service.
func (l *Lane) Pool() *limiter.Pool { return l.pool }

// Budget returns the retry budget of the service.
func (l *Lane) Budget() *budgeter.Share { return l.budget }

// Snapshot is what is in force at one moment. It never changes.
type Snapshot struct {
	deployment descriptor.Deployment
	list       registrar.List
	index      *classifier.Index
	lanes      map[descriptor.ServiceName]*Lane
	since      time.Time
	source     string
}

// Deployment returns the configuration in force.
func (s *Snapshot) Deployment() descriptor.Deployment { return s.deployment }

// List returns the fleet as the platform last listed it.
func (s *Snapshot) List() registrar.List { return s.list }

// Index returns the index that finds the class of a request.
func (s *Snapshot) Index() *classifier.Index { return s.index }

// Lane returns the lane of the service, or nil.
func (s *Snapshot) Lane(name descriptor.ServiceName) *Lane { return s.lanes[name] }

// Lanes returns the lanes by service. The caller must not change the map.
func (s *Snapshot) Lanes() map[descriptor.ServiceName]*Lane { return s.lanes }

// Since returns when the configuration came into force on this instance.
func (s *Snapshot) Since() time.Time { return s.since }

// Source names who the configuration was learnt from.
func (s *Snapshot) Source() string { return s.source }

// Ready tells whether a configuration is in force at all.
func (s *Snapshot) Ready() bool { return s.deployment.Revision() > 0 }
