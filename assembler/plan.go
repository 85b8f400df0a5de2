package assembler

import (
	"encoding/json"
	"slices"

	"burdocklane/descriptor"
	"burdocklane/parser"
	"burdocklane/storer"

	"github.com/go-faster/errors"
)

// Plan is the transaction that turns the configuration in the store into
// another one, and what it changes.
type Plan struct {
	txn     storer.Txn
	changed []string
}

// Txn returns the transaction.
func (p Plan) Txn() storer.Txn { return p.txn }

// Changed returns the names of the services that are written or removed.
func (p Plan) Changed() []string { return p.changed }

// NewPlan compares d with the pairs in the store. The transaction holds only
// if nobody changes the deployment key first.
func NewPlan(keys Keys, page storer.Page, d descriptor.Deployment, change descriptor.Change) (Plan, error) {
	present := map[string][]byte{}
	var header Header
	for _, pair := range page.Pairs() {
		present[pair.Key()] = pair.Value()
		if pair.Key() != keys.Deployment() {
			continue
		}
		parsed, err := ParseHeader(pair.Value(), pair.Revision())
		if err != nil {
			return Plan{}, err
		}
		header = parsed
	}
	p := Plan{}
	p.txn.Compare(keys.Deployment(), header.revision)
	hashes, err := p.putServices(keys, present, d)
	if err != nil {
		return Plan{}, err
	}
	p.deleteServices(keys, present, hashes)
	slices.Sort(p.changed)
	return p, p.putHeader(keys, d, header.Number()+1, change, hashes)
}

func (p *Plan) putServices(keys Keys, present map[string][]byte, d descriptor.Deployment) (map[string]string, error) {
	hashes := map[string]string{}
	for _, service := range d.Services() {
		value, err := parser.EncodeService(service)
		if err != nil {
			return nil, err
		}
		key := keys.Service(service.Name())
		hashes[string(service.Name())] = contentHash(value)
		if string(present[key]) != string(value) {
			p.txn.Put(key, value)
			p.changed = append(p.changed, string(service.Name()))
		}
	}
	return hashes, nil
}

func (p *Plan) deleteServices(keys Keys, present map[string][]byte, hashes map[string]string) {
	for key := range present {
		name, ok := keys.ServiceName(key)
		if !ok {
			continue
		}
		if _, stays := hashes[string(name)]; !stays {
			p.txn.Delete(key)
			p.changed = append(p.changed, string(name))
		}
	}
}

func (p *Plan) putHeader(keys Keys, d descriptor.Deployment, number int64, change descriptor.Change, hashes map[string]string) error {
	value, err := encodeHeader(d, number, change, hashes)
	if err != nil {
		return err
	}
	record, err := json.Marshal(recordMessage{
		Number: number, ChangeID: change.ID(), Author: change.Author(), At: change.At(), Services: p.changed,
	})
	if err != nil {
		return errors.Wrap(err, "encode history")
	}
	p.txn.Put(keys.Deployment(), value)
	p.txn.Put(keys.History(number), record)
	return nil
}
