package assembler

import (
	"encoding/json"
	"slices"

	"burdocklane/descriptor"
	"burdocklane/parser"
	"burdocklane/storer"

	"github.com/go-faster/errors"
)

// Plan is a transaction that replaces the configuration in the store, with the
// services that it changes.
type Plan struct {
	txn             storer.Txn
	changedServices []string
}

// Txn returns the transaction.
func (p Plan) Txn() storer.Txn { return p.txn }

// ChangedServices returns the names of the services that are written or deleted.
func (p Plan) ChangedServices() []string { return p.changedServices }

// NewPlan returns a plan that turns the configuration in page into d. The
// transaction succeeds only if the deployment key has not changed since page was
// read.
func NewPlan(keys Keys, page storer.RangeResult, d descriptor.Deployment, change descriptor.Change) (Plan, error) {
	stored := map[string][]byte{}
	var manifest Manifest
	for _, pair := range page.Pairs() {
		stored[pair.Key()] = pair.Value()
		if pair.Key() != keys.DeploymentKey() {
			continue
		}
		parsed, err := ParseManifest(pair.Value(), pair.Revision())
		if err != nil {
			return Plan{}, err
		}
		manifest = parsed
	}
	p := Plan{}
	p.txn.Compare(keys.DeploymentKey(), manifest.revision)
	var hashes contentHashes
	var err error
	if hashes.services, err = p.putServices(keys, stored, d); err != nil {
		return Plan{}, err
	}
	p.deleteServices(keys, stored, hashes.services)
	if hashes.tenants, err = p.putTenants(keys, stored, d); err != nil {
		return Plan{}, err
	}
	slices.Sort(p.changedServices)
	return p, p.putManifestAndRecord(keys, d, manifest.ChangeNumber()+1, change, hashes)
}

func (p *Plan) putServices(keys Keys, stored map[string][]byte, d descriptor.Deployment) (map[string]string, error) {
	hashes := map[string]string{}
	for _, service := range d.Services() {
		value, err := parser.EncodeService(service)
		if err != nil {
			return nil, err
		}
		key := keys.ServiceKey(service.Name())
		hashes[string(service.Name())] = contentHash(value)
		if string(stored[key]) != string(value) {
			p.txn.Put(key, value)
			p.changedServices = append(p.changedServices, string(service.Name()))
		}
	}
	return hashes, nil
}

// putTenants writes or deletes the tenants and returns the hash of their value.
func (p *Plan) putTenants(keys Keys, stored map[string][]byte, d descriptor.Deployment) (string, error) {
	value, err := parser.EncodeTenants(d.Tenants())
	if err != nil {
		return "", err
	}
	before, isStored := stored[keys.TenantsKey()]
	if len(value) == 0 {
		if isStored {
			p.txn.Delete(keys.TenantsKey())
		}
		return "", nil
	}
	if string(before) != string(value) {
		p.txn.Put(keys.TenantsKey(), value)
	}
	return contentHash(value), nil
}

func (p *Plan) deleteServices(keys Keys, stored map[string][]byte, hashes map[string]string) {
	for key := range stored {
		name, ok := keys.ServiceName(key)
		if !ok {
			continue
		}
		if _, retained := hashes[string(name)]; !retained {
			p.txn.Delete(key)
			p.changedServices = append(p.changedServices, string(name))
		}
	}
}

func (p *Plan) putManifestAndRecord(keys Keys, d descriptor.Deployment, number int64, change descriptor.Change, hashes contentHashes) error {
	value, err := encodeManifest(d, number, change, hashes)
	if err != nil {
		return err
	}
	record, err := json.Marshal(recordMessage{
		Number: number, ChangeID: change.ID(), Author: change.Author(), At: change.At(), Services: p.changedServices,
	})
	if err != nil {
		return errors.Wrap(err, "encode history record")
	}
	p.txn.Put(keys.DeploymentKey(), value)
	p.txn.Put(keys.HistoryKey(number), record)
	return nil
}
