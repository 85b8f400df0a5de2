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

// IncompleteError reports that the keys at hand do not make up the
// configuration that the deployment key names.
type IncompleteError struct {
	revision descriptor.Revision
	service  descriptor.ServiceName
}

// Service returns the service that is missing or of another revision.
func (e *IncompleteError) Service() descriptor.ServiceName { return e.service }

// Error implements error.
func (e *IncompleteError) Error() string {
	if e.service == "" {
		return "configuration: the deployment key is missing"
	}
	return fmt.Sprintf("configuration at revision %d: service %s is missing or of another revision", e.revision, e.service)
}

// Assembler collects keys and puts configurations together. Keys never go
// back to an older revision.
type Assembler struct {
	keys Keys

	mutex    sync.Mutex
	pairs    map[string]storer.Pair
	services map[descriptor.ServiceName]parsed
}

// parsed is a service that need not be read again while its key stays.
type parsed struct {
	service  descriptor.Service
	revision int64
}

// New returns an Assembler without keys.
func New(keys Keys) *Assembler {
	return &Assembler{keys: keys, pairs: map[string]storer.Pair{}, services: map[descriptor.ServiceName]parsed{}}
}

// Keys returns the names of the keys.
func (a *Assembler) Keys() Keys { return a.keys }

// Merge takes over the pairs that are newer than those at hand and returns the
// configuration that they make up. The error is an *IncompleteError if they
// make up none yet, or a *parser.DocumentError.
func (a *Assembler) Merge(pairs []storer.Pair) (descriptor.Deployment, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, pair := range pairs {
		if pair.Revision() > a.pairs[pair.Key()].Revision() {
			a.pairs[pair.Key()] = pair
		}
	}
	return a.assemble()
}

// assemble builds the configuration; the caller holds the mutex.
func (a *Assembler) assemble() (descriptor.Deployment, error) {
	pair, ok := a.pairs[a.keys.Deployment()]
	if !ok {
		return descriptor.Deployment{}, &IncompleteError{}
	}
	header, err := ParseHeader(pair.Value(), pair.Revision())
	if err != nil {
		return descriptor.Deployment{}, err
	}
	names := slices.Sorted(maps.Keys(header.message.Services))
	services := make([]descriptor.Service, 0, len(names))
	for _, name := range names {
		service, err := a.service(descriptor.ServiceName(name), header)
		if err != nil {
			return descriptor.Deployment{}, err
		}
		services = append(services, service)
	}
	a.forget(header)
	return header.deployment(services), nil
}

func (a *Assembler) service(name descriptor.ServiceName, header Header) (descriptor.Service, error) {
	key := a.keys.Service(name)
	pair, ok := a.pairs[key]
	if !ok || contentHash(pair.Value()) != header.message.Services[string(name)] {
		return descriptor.Service{}, &IncompleteError{revision: header.Revision(), service: name}
	}
	if known, ok := a.services[name]; ok && known.revision == pair.Revision() {
		return known.service, nil
	}
	service, err := parser.Service(key, name, pair.Value())
	if err != nil {
		return descriptor.Service{}, err
	}
	a.services[name] = parsed{service: service, revision: pair.Revision()}
	return service, nil
}

// forget drops the services that the deployment key no longer names.
func (a *Assembler) forget(header Header) {
	for key := range a.pairs {
		name, ok := a.keys.ServiceName(key)
		if !ok {
			continue
		}
		if _, named := header.message.Services[string(name)]; !named {
			delete(a.pairs, key)
			delete(a.services, name)
		}
	}
}

// Since returns the pairs that are newer than the revision. An instance at
// that revision that merges them has the whole configuration.
func (a *Assembler) Since(revision descriptor.Revision) []storer.Pair {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var newer []storer.Pair
	for _, pair := range a.pairs {
		if pair.Revision() > int64(revision) {
			newer = append(newer, pair)
		}
	}
	return newer
}
