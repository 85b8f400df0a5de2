// Package applier writes configurations to the store by compare-and-swap. If the
// store's response to a write is lost, it determines from the history whether
// the change was applied.
package applier

import (
	"context"
	"time"

	"burdocklane/assembler"
	"burdocklane/descriptor"
	"burdocklane/sleeper"
	"burdocklane/storer"

	"github.com/google/uuid"
)

const (
	defaultConfirmTimeout = 10 * time.Second
	confirmInterval       = 200 * time.Millisecond
)

// Result is the outcome of a change: Accepted, Refused or Unknown.
type Result interface{ result() }

// Accepted means that the change was written to the store.
type Accepted struct {
	revision        descriptor.Revision
	changedServices []string
}

// Refused means that the change is not in the store and never will be, since
// another change was written first.
type Refused struct {
	revision          descriptor.Revision
	winningChange     descriptor.Change
	differingServices []string
}

// Unknown means that the store did not confirm the change: it may or may not
// have been written.
type Unknown struct {
	changeID string
	err      error
}

func (Accepted) result() {}
func (Refused) result()  {}
func (Unknown) result()  {}

// Revision returns the revision that the change created.
func (a Accepted) Revision() descriptor.Revision { return a.revision }

// ChangedServices returns the names of the services that were written or deleted.
func (a Accepted) ChangedServices() []string { return a.changedServices }

// Revision returns the current revision of the store.
func (r Refused) Revision() descriptor.Revision { return r.revision }

// WinningChange returns the change that was written first.
func (r Refused) WinningChange() descriptor.Change { return r.winningChange }

// DifferingServices returns the names of the services that differ between the store's
// configuration and the refused one.
func (r Refused) DifferingServices() []string { return r.differingServices }

// ChangeID returns the ID of the change, by which it can be looked up later.
func (u Unknown) ChangeID() string { return u.changeID }

// Err returns why there was no response from the store.
func (u Unknown) Err() error { return u.err }

// Applier writes configurations to a store.
type Applier struct {
	store            storer.Store
	keys             assembler.Keys
	author           string
	expectedRevision descriptor.Revision
	confirmTimeout   time.Duration
}

// Option configures an Applier.
type Option func(*Applier)

// WithAuthor sets the operator's name for the history.
func WithAuthor(author string) Option { return func(a *Applier) { a.author = author } }

// WithExpectedRevision makes Apply refuse the change unless the store is at the revision.
func WithExpectedRevision(r descriptor.Revision) Option {
	return func(a *Applier) { a.expectedRevision = r }
}

// WithConfirmTimeout sets how long Apply looks for a change in the history if the
// store did not respond.
func WithConfirmTimeout(d time.Duration) Option { return func(a *Applier) { a.confirmTimeout = d } }

// New returns an Applier.
func New(store storer.Store, keys assembler.Keys, opts ...Option) *Applier {
	a := &Applier{store: store, keys: keys, author: "unknown", confirmTimeout: defaultConfirmTimeout}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Apply writes d as the new configuration. It returns an error only if nothing
// was written.
func (a *Applier) Apply(ctx context.Context, d descriptor.Deployment) (Result, error) {
	page, err := storer.Range(ctx, a.store, a.keys.ConfigPrefix())
	if err != nil {
		return nil, err
	}
	change := descriptor.NewChange(uuid.NewString(), a.author, time.Now().UTC())
	plan, err := assembler.NewPlan(a.keys, page, d, change)
	if err != nil {
		return nil, err
	}
	if manifest, ok := a.currentManifest(page); ok && a.expectedRevision != 0 && manifest.Revision() != a.expectedRevision {
		return Refused{revision: manifest.Revision(), winningChange: manifest.Change(), differingServices: plan.ChangedServices()}, nil
	}
	committed, err := storer.Commit(ctx, a.store, plan.Txn())
	switch {
	case err == nil && committed.Succeeded():
		return Accepted{revision: assembler.ConfigurationRevision(committed.Revision()), changedServices: plan.ChangedServices()}, nil
	case err == nil:
		return a.conflictResult(ctx, d, change)
	}
	return a.confirmAfterError(ctx, change.ID(), plan.ChangedServices(), err)
}

// confirmAfterError looks for the change in the history, since the response may
// have been lost after the write was applied.
func (a *Applier) confirmAfterError(ctx context.Context, id string, changedServices []string, cause error) (Result, error) {
	if storer.NotExecuted(cause) {
		return nil, cause
	}
	ctx, cancel := context.WithTimeout(ctx, a.confirmTimeout)
	defer cancel()
	for {
		accepted, found, err := a.findInHistory(ctx, id)
		if err == nil && found {
			accepted.changedServices = changedServices
			return accepted, nil
		}
		// A change that is not found may still be in flight.
		if !sleeper.Sleep(ctx, confirmInterval) {
			return Unknown{changeID: id, err: cause}, nil
		}
	}
}

// FindChange looks for a change in the history. It returns false if the change is
// not there at present.
func (a *Applier) FindChange(ctx context.Context, changeID string) (Accepted, bool, error) {
	return a.findInHistory(ctx, changeID)
}

func (a *Applier) findInHistory(ctx context.Context, id string) (Accepted, bool, error) {
	records, err := History(ctx, a.store, a.keys)
	if err != nil {
		return Accepted{}, false, err
	}
	for _, record := range records {
		if record.Change().ID() == id {
			return Accepted{revision: record.Revision(), changedServices: record.Services()}, true, nil
		}
	}
	return Accepted{}, false, nil
}

// conflictResult reads which change was written first. It may be the given one,
// if the store executed the transaction twice.
func (a *Applier) conflictResult(ctx context.Context, d descriptor.Deployment, change descriptor.Change) (Result, error) {
	page, err := storer.Range(ctx, a.store, a.keys.ConfigPrefix())
	if err != nil {
		return Refused{}, nil
	}
	manifest, ok := a.currentManifest(page)
	if !ok {
		return Refused{}, nil
	}
	if manifest.Change().ID() == change.ID() {
		return Accepted{revision: manifest.Revision()}, nil
	}
	plan, err := assembler.NewPlan(a.keys, page, d, change)
	if err != nil {
		return nil, err
	}
	return Refused{revision: manifest.Revision(), winningChange: manifest.Change(), differingServices: plan.ChangedServices()}, nil
}

func (a *Applier) currentManifest(page storer.RangeResult) (assembler.Manifest, bool) {
	for _, pair := range page.Pairs() {
		if pair.Key() == a.keys.DeploymentKey() {
			manifest, err := assembler.ParseManifest(pair.Value(), pair.Revision())
			return manifest, err == nil
		}
	}
	return assembler.Manifest{}, false
}

// History returns the stored records of changes, newest first.
func History(ctx context.Context, store storer.Store, keys assembler.Keys) ([]assembler.HistoryRecord, error) {
	page, err := storer.Range(ctx, store, keys.HistoryPrefix())
	if err != nil {
		return nil, err
	}
	records := make([]assembler.HistoryRecord, 0, len(page.Pairs()))
	for _, pair := range page.Pairs() {
		record, err := assembler.ParseHistoryRecord(pair.Value(), pair.Revision())
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	sortNewestFirst(records)
	return records, nil
}
