// Package publisher makes accepted configurations and lists of the fleet active.
// Calls read an immutable snapshot through one atomic pointer (read-copy-update).
package publisher

import (
	"time"

	"burdocklane/authenticator"
	"burdocklane/budgeter"
	"burdocklane/classifier"
	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/registrar"
)

// ServiceState is the state that the calls of one service share.
type ServiceState struct {
	pool   *limiter.Pool
	budget *budgeter.AttemptBudget
}

// Pool returns the pool of the workers of the service, with its queue.
func (l *ServiceState) Pool() *limiter.Pool { return l.pool }

// Budget returns the retry budget of the service.
func (l *ServiceState) Budget() *budgeter.AttemptBudget { return l.budget }

// Snapshot holds the active configuration and list at one moment. It is immutable.
type Snapshot struct {
	deployment    descriptor.Deployment
	list          registrar.List
	index         *classifier.Index
	authenticator *authenticator.Index
	serviceStates map[descriptor.ServiceName]*ServiceState
	tenantsByHash map[uint32]*descriptor.Tenant
	activeSince   time.Time
	source        string
}

// Deployment returns the active configuration.
func (s *Snapshot) Deployment() descriptor.Deployment { return s.deployment }

// List returns the fleet as the platform last listed it.
func (s *Snapshot) List() registrar.List { return s.list }

// Index returns the index that maps a request to its class.
func (s *Snapshot) Index() *classifier.Index { return s.index }

// Authenticator returns the index that finds the tenant of an API key.
func (s *Snapshot) Authenticator() *authenticator.Index { return s.authenticator }

// ServiceState returns the state of the service, or nil.
func (s *Snapshot) ServiceState(name descriptor.ServiceName) *ServiceState {
	return s.serviceStates[name]
}

// ServiceStates returns the states by service. The caller must not change the map.
func (s *Snapshot) ServiceStates() map[descriptor.ServiceName]*ServiceState { return s.serviceStates }

// TenantByHash returns the tenant that has the hash, or nil.
func (s *Snapshot) TenantByHash(hash uint32) *descriptor.Tenant { return s.tenantsByHash[hash] }

func tenantsByHash(d descriptor.Deployment) map[uint32]*descriptor.Tenant {
	tenants := make(map[uint32]*descriptor.Tenant, len(d.Tenants()))
	for i := range d.Tenants() {
		tenant := &d.Tenants()[i]
		if tenant.Hash() == 0 {
			continue
		}
		tenants[tenant.Hash()] = tenant
	}
	return tenants
}

// ActiveSince returns when the configuration became active on this instance.
func (s *Snapshot) ActiveSince() time.Time { return s.activeSince }

// Source names the source that the configuration was read from.
func (s *Snapshot) Source() string { return s.source }

// Ready reports whether any configuration is active.
func (s *Snapshot) Ready() bool { return s.deployment.Revision() > 0 }
