// Package applier changes the configuration in the store by compare-and-swap,
// and finds out what became of a change whose answer was lost.
package applier

import (
	"context"
	"time"

	"burdocklane/assembler"
	"burdocklane/descriptor"
	"burdocklane/sleeper"
	"burdocklane/storer"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

const (
	settleTimeout = 10 * time.Second
	settlePause   = 200 * time.Millisecond
)

// Result is how a change ended: Accepted, Refused or Unknown.
type Result interface{ result() }

// Accepted says that the change is in the store.
type Accepted struct {
	revision descriptor.Revision
	changed  []string
}

// Refused says that the change is not in the store, and never will be, since
// another one came first.
type Refused struct {
	revision descriptor.Revision
	winner   descriptor.Change
	differs  []string
}

// Unknown says that the store did not tell what became of the change.
type Unknown struct {
	changeID string
	err      error
}

func (Accepted) result() {}
func (Refused) result()  {}
func (Unknown) result()  {}

// Revision returns the revision that the change made.
func (a Accepted) Revision() descriptor.Revision { return a.revision }

// Changed returns the names of the services that were written or removed.
func (a Accepted) Changed() []string { return a.changed }

// Revision returns the revision that stands in the store.
func (r Refused) Revision() descriptor.Revision { return r.revision }

// Winner returns the change that came first.
func (r Refused) Winner() descriptor.Change { return r.winner }

// Differs returns the names of the services in which the store's configuration
// differs from the refused one.
func (r Refused) Differs() []string { return r.differs }

// ChangeID returns the ID by which Settle finds the change.
func (u Unknown) ChangeID() string { return u.changeID }

// Err returns why the store's answer is missing.
func (u Unknown) Err() error { return u.err }

// Applier writes configurations to a store.
type Applier struct {
	store  storer.Store
	keys   assembler.Keys
	author string
	expect descriptor.Revision
	settle time.Duration
}

// Option sets one property of an Applier.
type Option func(*Applier)

// WithAuthor names the operator in the history.
func WithAuthor(author string) Option { return func(a *Applier) { a.author = author } }

// WithExpect refuses the change unless the store is at the revision.
func WithExpect(r descriptor.Revision) Option { return func(a *Applier) { a.expect = r } }

// WithSettleTimeout sets how long an unanswered change is looked for.
func WithSettleTimeout(d time.Duration) Option { return func(a *Applier) { a.settle = d } }

// New returns an Applier.
func New(store storer.Store, keys assembler.Keys, opts ...Option) *Applier {
	a := &Applier{store: store, keys: keys, author: "unknown", settle: settleTimeout}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Apply makes d the configuration. The error is nil unless nothing was tried;
// the store is then as it was.
func (a *Applier) Apply(ctx context.Context, d descriptor.Deployment) (Result, error) {
	page, err := storer.Range(ctx, a.store, a.keys.Config())
	if err != nil {
		return nil, err
	}
	change := descriptor.NewChange(uuid.NewString(), a.author, time.Now().UTC())
	plan, err := assembler.NewPlan(a.keys, page, d, change)
	if err != nil {
		return nil, err
	}
	if head, ok := a.head(page); ok && a.expect != 0 && head.Revision() != a.expect {
		return Refused{revision: head.Revision(), winner: head.Change(), differs: plan.Changed()}, nil
	}
	done, err := storer.Commit(ctx, a.store, plan.Txn())
	switch {
	case err == nil && done.Succeeded():
		return Accepted{revision: descriptor.Revision(done.Revision()), changed: plan.Changed()}, nil
	case err == nil:
		return a.refused(ctx, d, change)
	}
	return a.afterError(ctx, change.ID(), plan.Changed(), err)
}

// afterError looks for the change in the store, since the answer may have been
// lost after the write took effect.
func (a *Applier) afterError(ctx context.Context, id string, changed []string, cause error) (Result, error) {
	var status *storer.StatusError
	if errors.As(cause, &status) && status.Status() < 500 {
		return nil, cause
	}
	ctx, cancel := context.WithTimeout(ctx, a.settle)
	defer cancel()
	for {
		accepted, found, err := a.find(ctx, id)
		if err == nil && found {
			accepted.changed = changed
			return accepted, nil
		}
		// Not found says nothing yet: the write may still be on its way.
		if !sleeper.Sleep(ctx, settlePause) {
			return Unknown{changeID: id, err: cause}, nil
		}
	}
}

// Settle looks for a change in the history. It returns false if the change is
// not there now.
func (a *Applier) Settle(ctx context.Context, changeID string) (Accepted, bool, error) {
	return a.find(ctx, changeID)
}

func (a *Applier) find(ctx context.Context, id string) (Accepted, bool, error) {
	records, err := History(ctx, a.store, a.keys)
	if err != nil {
		return Accepted{}, false, err
	}
	for _, record := range records {
		if record.Change().ID() == id {
			return Accepted{revision: record.Revision(), changed: record.Services()}, true, nil
		}
	}
	return Accepted{}, false, nil
}

// refused reads who won. The change that lost may be its own, if the store ran
// it twice.
func (a *Applier) refused(ctx context.Context, d descriptor.Deployment, change descriptor.Change) (Result, error) {
	page, err := storer.Range(ctx, a.store, a.keys.Config())
	if err != nil {
		return Refused{}, nil
	}
	head, ok := a.head(page)
	if !ok {
		return Refused{}, nil
	}
	if head.Change().ID() == change.ID() {
		return Accepted{revision: head.Revision()}, nil
	}
	plan, err := assembler.NewPlan(a.keys, page, d, change)
	if err != nil {
		return nil, err
	}
	return Refused{revision: head.Revision(), winner: head.Change(), differs: plan.Changed()}, nil
}

func (a *Applier) head(page storer.Page) (assembler.Header, bool) {
	for _, pair := range page.Pairs() {
		if pair.Key() == a.keys.Deployment() {
			header, err := assembler.ParseHeader(pair.Value(), pair.Revision())
			return header, err == nil
		}
	}
	return assembler.Header{}, false
}

// History returns the records of changes that the store keeps, newest first.
func History(ctx context.Context, store storer.Store, keys assembler.Keys) ([]assembler.Record, error) {
	page, err := storer.Range(ctx, store, keys.HistoryPrefix())
	if err != nil {
		return nil, err
	}
	records := make([]assembler.Record, 0, len(page.Pairs()))
	for _, pair := range page.Pairs() {
		record, err := assembler.ParseRecord(pair.Value(), pair.Revision())
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	sortNewestFirst(records)
	return records, nil
}
