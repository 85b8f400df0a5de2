package assembler

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"burdocklane/descriptor"
	"burdocklane/parser"
	"burdocklane/storer"
)

// IncompleteError reports that the known keys do not form the configuration that
// the deployment key describes.
type IncompleteError struct {
	revision descriptor.Revision
	service  descriptor.ServiceName
	tenants  bool // The tenants are missing, or do not match the deployment key.
}

// Service returns the service that is missing or does not match the deployment
// key. It is empty if the deployment key is missing, or the tenants are.
func (e *IncompleteError) Service() descriptor.ServiceName { return e.service }

// Error implements error.
func (e *IncompleteError) Error() string {
	if e.tenants {
		return fmt.Sprintf("configuration at revision %d: the tenants are missing or do not match the deployment key", e.revision)
	}
	if e.service == "" {
		return "configuration: the deployment key is missing"
	}
	return fmt.Sprintf("configuration at revision %d: service %s is missing or does not match the deployment key", e.revision, e.service)
}

// Assembler collects keys with their values and assembles configurations from
// them. A key is never replaced by an older revision of itself.
type Assembler struct {
	keys Keys

	mutex    sync.Mutex
	pairs    map[string]storer.Pair
	services map[descriptor.ServiceName]parsedService
}

// parsedService caches a parsed service for the revision of its key.
type parsedService struct {
	service  descriptor.Service
	revision storer.Revision
}

// New returns an Assembler that knows no values yet.
func New(keys Keys) *Assembler {
	return &Assembler{keys: keys, pairs: map[string]storer.Pair{}, services: map[descriptor.ServiceName]parsedService{}}
}

// Keys returns the names of the deployment's keys.
func (a *Assembler) Keys() Keys { return a.keys }

// Merge stores the pairs that are newer than the known ones and returns the
// resulting configuration. The error is an *IncompleteError if the known pairs
// do not form one yet, or a *parser.DocumentError if a service is invalid.
func (a *Assembler) Merge(pairs []storer.Pair) (descriptor.Deployment, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, pair := range pairs {
		if pair.Revision().After(a.pairs[pair.Key()].Revision()) {
			a.pairs[pair.Key()] = pair
		}
	}
	return a.assemble()
}

// assemble builds the configuration. The caller must hold the mutex.
func (a *Assembler) assemble() (descriptor.Deployment, error) {
	pair, ok := a.pairs[a.keys.DeploymentKey()]
	if !ok {
		return descriptor.Deployment{}, &IncompleteError{}
	}
	manifest, err := ParseManifest(pair.Value(), pair.Revision())
	if err != nil {
		return descriptor.Deployment{}, err
	}
	names := slices.Sorted(maps.Keys(manifest.message.Services))
	services := make([]descriptor.Service, 0, len(names))
	for _, name := range names {
		service, err := a.service(descriptor.ServiceName(name), manifest)
		if err != nil {
			return descriptor.Deployment{}, err
		}
		services = append(services, service)
	}
	tenants, err := a.tenants(manifest)
	if err != nil {
		return descriptor.Deployment{}, err
	}
	a.removeStale(manifest)
	return manifest.deployment(services, tenants), nil
}

func (a *Assembler) service(name descriptor.ServiceName, manifest Manifest) (descriptor.Service, error) {
	key := a.keys.ServiceKey(name)
	pair, ok := a.pairs[key]
	if !ok || contentHash(pair.Value()) != manifest.message.Services[string(name)] {
		return descriptor.Service{}, &IncompleteError{revision: manifest.Revision(), service: name}
	}
	if cached, ok := a.services[name]; ok && cached.revision == pair.Revision() {
		return cached.service, nil
	}
	service, err := parser.ParseService(key, name, pair.Value())
	if err != nil {
		return descriptor.Service{}, err
	}
	a.services[name] = parsedService{service: service, revision: pair.Revision()}
	return service, nil
}

// tenants returns the tenants that the manifest names, or none.
func (a *Assembler) tenants(manifest Manifest) ([]descriptor.Tenant, error) {
	if manifest.message.Tenants == "" {
		return nil, nil
	}
	key := a.keys.TenantsKey()
	pair, ok := a.pairs[key]
	if !ok || contentHash(pair.Value()) != manifest.message.Tenants {
		return nil, &IncompleteError{revision: manifest.Revision(), tenants: true}
	}
	return parser.ParseTenants(key, pair.Value())
}

// removeStale drops the services and the tenants that the manifest does not list.
func (a *Assembler) removeStale(manifest Manifest) {
	if manifest.message.Tenants == "" {
		delete(a.pairs, a.keys.TenantsKey())
	}
	for key := range a.pairs {
		name, ok := a.keys.ServiceName(key)
		if !ok {
			continue
		}
		if _, listed := manifest.message.Services[string(name)]; !listed {
			delete(a.pairs, key)
			delete(a.services, name)
		}
	}
}

// PairsSince returns the pairs that are newer than the revision. An instance at that
// revision has the whole configuration once it has merged them.
func (a *Assembler) PairsSince(revision descriptor.Revision) []storer.Pair {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var newer []storer.Pair
	for _, pair := range a.pairs {
		if ConfigurationRevision(pair.Revision()) > revision {
			newer = append(newer, pair)
		}
	}
	return newer
}
