// Package storer is a client of the platform's key-value store, which has
// compare-and-swap transactions, leases and watches.
package storer

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Store is a key-value store: *Gateway, *Memory or *Remote.
type Store interface{ store() }

func (*Gateway) store() {}
func (*Memory) store()  {}
func (*Remote) store()  {}

// Pair is a key with its value, and the store's revision at its last change.
type Pair struct {
	key      string
	value    []byte
	revision Revision
}

// NewPair returns a pair as the store holds it.
func NewPair(key string, value []byte, revision Revision) Pair {
	return Pair{key: key, value: value, revision: revision}
}

// Key returns the key.
func (p Pair) Key() string { return p.key }

// Value returns the value. The caller must not change it.
func (p Pair) Value() []byte { return p.value }

// Revision returns the store's revision at which the pair was last changed.
func (p Pair) Revision() Revision { return p.revision }

// NewRangeResult returns the pairs that a store held at a revision, sorted by key.
func NewRangeResult(pairs []Pair, revision Revision) RangeResult {
	return RangeResult{pairs: pairs, revision: revision}
}

// NewEvent returns the event of a key that was put.
func NewEvent(p Pair) Event { return Event{pair: p} }

// NewDeletion returns the event of a key that was deleted at a revision.
func NewDeletion(key string, revision Revision) Event {
	return Event{pair: Pair{key: key, revision: revision}, deleted: true}
}

// NewBatch returns events in the order of their revisions, and the store's
// revision after them.
func NewBatch(events []Event, revision Revision) Batch {
	return Batch{events: events, revision: revision}
}

// NewTxnResult returns the result of a transaction.
func NewTxnResult(succeeded bool, revision Revision) TxnResult {
	return TxnResult{succeeded: succeeded, revision: revision}
}

// NewStatusError returns the error for a response with an unsuccessful status.
func NewStatusError(operation string, status int, message string) *StatusError {
	return &StatusError{operation: operation, status: status, message: message}
}

// NewRelayLostStoreError returns the error for a read from a relay that has lost the store.
func NewRelayLostStoreError(relay string) *RelayLostStoreError {
	return &RelayLostStoreError{relay: relay}
}

// NewCompactedError returns the error for a watch from a compacted revision.
func NewCompactedError(revision Revision) *CompactedError { return &CompactedError{revision: revision} }

// RangeResult is the result of a range read: the pairs and the store's revision.
type RangeResult struct {
	pairs      []Pair
	revision   Revision
	recovering bool
}

// WithRecovering returns a copy of r that is marked as read from a store which has
// just recovered from an outage: keys whose leases expired meanwhile may be put
// again.
func (r RangeResult) WithRecovering(recovering bool) RangeResult {
	r.recovering = recovering
	return r
}

// IsRecovering reports whether keys that are missing may be put again, as the store
// has just recovered from an outage.
func (r RangeResult) IsRecovering() bool { return r.recovering }

// Pairs returns the pairs, sorted by key.
func (r RangeResult) Pairs() []Pair { return r.pairs }

// Revision returns the store's revision at the time of the read.
func (r RangeResult) Revision() Revision { return r.revision }

// Event is a change of one key.
type Event struct {
	pair    Pair
	deleted bool
}

// Pair returns the key and its new value.
func (e Event) Pair() Pair { return e.pair }

// Deleted reports whether the key was deleted.
func (e Event) Deleted() bool { return e.deleted }

// Batch is the events of one or more whole transactions.
type Batch struct {
	events   []Event
	revision Revision
}

// Events returns the events in the order of their revisions.
func (b Batch) Events() []Event { return b.events }

// Revision returns the store's revision after the batch.
func (b Batch) Revision() Revision { return b.revision }

// Txn is a transaction: if every compared key is at its expected revision, all
// writes take effect atomically, and otherwise none does.
type Txn struct {
	compares []compare
	writes   []write
}

type compare struct {
	key      string
	revision Revision
}

type write struct {
	key     string
	value   []byte
	lease   Lease
	deleted bool
}

// Compare adds the condition that the key was last changed at the revision, or
// does not exist if that is the zero value.
func (t *Txn) Compare(key string, revision Revision) {
	t.compares = append(t.compares, compare{key: key, revision: revision})
}

// Put adds a write of a value.
func (t *Txn) Put(key string, value []byte) {
	t.writes = append(t.writes, write{key: key, value: value})
}

// PutLeased adds a write of a value that is attached to a lease: the key is removed
// when the lease expires.
func (t *Txn) PutLeased(key string, value []byte, lease Lease) {
	t.writes = append(t.writes, write{key: key, value: value, lease: lease})
}

// Delete adds the removal of a key.
func (t *Txn) Delete(key string) {
	t.writes = append(t.writes, write{key: key, deleted: true})
}

// TxnResult is the result of a transaction.
type TxnResult struct {
	succeeded bool
	revision  Revision
}

// Succeeded reports whether the writes took effect.
func (c TxnResult) Succeeded() bool { return c.succeeded }

// Revision returns the store's revision after the transaction.
func (c TxnResult) Revision() Revision { return c.revision }

// StatusError reports a response of the store with an unsuccessful status. The
// operation has not taken effect if the status is below 500.
type StatusError struct {
	operation string
	status    int
	message   string
}

// RelayLostStoreError reports a relay that does not serve because the store does not serve
// it. One that is about to serve refuses with another error.
type RelayLostStoreError struct{ relay string }

// Error implements error.
func (e *RelayLostStoreError) Error() string {
	return fmt.Sprintf("relay %s has lost the store", e.relay)
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("store: %s: status %d: %s", e.operation, e.status, e.message)
}

// CompactedError reports that a watch started at a revision that the store has
// compacted, or that is of another era. The keys have to be read again.
type CompactedError struct{ revision Revision }

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("store: history is compacted up to revision %s", e.revision)
}

// Name returns the name of a store in logs.
func Name(s Store) string {
	if remote, ok := s.(*Remote); ok && remote.name != "" {
		return remote.name
	}
	return defaultName
}

// defaultName is the name of a store that has none of its own.
const defaultName = "store"

var errUnknownStoreType = errors.New("store: unknown store type")

// Range reads all keys with the prefix in one call.
func Range(ctx context.Context, s Store, prefix string) (RangeResult, error) {
	switch s := s.(type) {
	case *Gateway:
		return s.rangePrefix(ctx, prefix)
	case *Memory:
		return s.Range(prefix), nil
	case *Remote:
		return s.readRange(ctx, prefix)
	}
	return RangeResult{}, errUnknownStoreType
}

// CanRangeStale reports whether RangeStale is available for the store.
func CanRangeStale(s Store) bool {
	remote, ok := s.(*Remote)
	return ok && remote.readStale != nil
}

// RangeStale reads the first keys with the prefix at a low price. The result may be
// some seconds old and lack keys, so that it only tells where to ask next.
func RangeStale(ctx context.Context, s Store, prefix string) (RangeResult, error) {
	if remote, ok := s.(*Remote); ok && remote.readStale != nil {
		return remote.readStale(ctx, prefix)
	}
	return RangeResult{}, errUnknownStoreType
}

// Commit runs a transaction. After an error it is unknown whether the transaction
// took effect, unless NotExecuted says that it has not.
func Commit(ctx context.Context, s Store, t Txn) (TxnResult, error) {
	switch s := s.(type) {
	case *Gateway:
		return s.commit(ctx, t)
	case *Memory:
		return s.Commit(t), nil
	case *Remote:
		return s.commitTxn(ctx, t)
	}
	return TxnResult{}, errUnknownStoreType
}

// Watch calls receive with each batch of changes after the revision, until
// the context ends or the watch fails. The error is a *CompactedError if the keys
// have to be read again.
func Watch(ctx context.Context, s Store, prefix string, after Revision, receive func(Batch)) error {
	switch s := s.(type) {
	case *Gateway:
		return s.watch(ctx, prefix, after, receive)
	case *Memory:
		return s.Watch(ctx, prefix, after, receive)
	case *Remote:
		return s.watch(ctx, prefix, after, receive)
	}
	return errUnknownStoreType
}

// CanProbe reports whether Probe is available for the store.
func CanProbe(s Store) bool {
	remote, ok := s.(*Remote)
	return ok && remote.probe != nil
}

// Probe checks that the store answers, and returns its revision, which may be some
// seconds old.
func Probe(ctx context.Context, s Store) (Revision, error) {
	if remote, ok := s.(*Remote); ok && remote.probe != nil {
		return remote.probe(ctx)
	}
	return Revision{}, errUnknownStoreType
}

// Grant creates a lease.
func Grant(ctx context.Context, s Store, ttl time.Duration) (Lease, error) {
	switch s := s.(type) {
	case *Gateway:
		return s.grant(ctx, ttl)
	case *Memory:
		return etcdLease(s.Grant(ttl, 0)), nil
	case *Remote:
		return s.grant(ctx, ttl)
	}
	return Lease{}, errUnknownStoreType
}

// KeepAlive renews a lease. It returns false if the lease has expired.
func KeepAlive(ctx context.Context, s Store, lease Lease) (bool, error) {
	switch s := s.(type) {
	case *Gateway:
		return s.keepAlive(ctx, lease)
	case *Memory:
		return s.KeepAlive(lease.ID()) > 0, nil
	case *Remote:
		return s.keepAlive(ctx, lease)
	}
	return false, errUnknownStoreType
}

// Revoke revokes a lease and removes its keys.
func Revoke(ctx context.Context, s Store, lease Lease) error {
	switch s := s.(type) {
	case *Gateway:
		return s.revoke(ctx, lease)
	case *Memory:
		s.Revoke(lease.ID())
		return nil
	case *Remote:
		return s.revoke(ctx, lease)
	}
	return errUnknownStoreType
}
