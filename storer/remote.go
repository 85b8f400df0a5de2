package storer

import (
	"context"
	"time"

	"burdocklane/sleeper"
)

// Remote is a store that is accessed by functions, which implement a protocol other
// than etcd's.
type Remote struct {
	name       string
	readRange  func(ctx context.Context, prefix string) (RangeResult, error)
	readStale  func(ctx context.Context, prefix string) (RangeResult, error)
	poll       func(ctx context.Context, prefix string, after Revision) (Batch, error)
	batchDelay time.Duration
	probe      func(ctx context.Context) (Revision, error)
	commitTxn  func(ctx context.Context, t Txn) (TxnResult, error)
	grant      func(ctx context.Context, ttl time.Duration) (Lease, error)
	keepAlive  func(ctx context.Context, lease Lease) (bool, error)
	revoke     func(ctx context.Context, lease Lease) error
}

// RemoteOption sets one operation of a Remote.
type RemoteOption func(*Remote)

// WithName sets the name of the store in logs.
func WithName(name string) RemoteOption { return func(r *Remote) { r.name = name } }

// WithRange sets the function that reads all keys with a prefix.
func WithRange(read func(ctx context.Context, prefix string) (RangeResult, error)) RemoteOption {
	return func(r *Remote) { r.readRange = read }
}

// WithStaleRange sets the function that reads the first keys with a prefix at a low
// price. The result may be some seconds old and incomplete.
func WithStaleRange(read func(ctx context.Context, prefix string) (RangeResult, error)) RemoteOption {
	return func(r *Remote) { r.readStale = read }
}

// WithPoll sets the function that waits for the changes after a revision, by a long
// poll: its batch is empty if there are none before its timeout. After each batch
// of changes the watch pauses for batchDelay, so that changes that come shortly
// after each other cost one call.
func WithPoll(poll func(ctx context.Context, prefix string, after Revision) (Batch, error), batchDelay time.Duration) RemoteOption {
	return func(r *Remote) { r.poll, r.batchDelay = poll, batchDelay }
}

// WithProbe sets the function that reads the store's revision at a low price. The
// revision may be some seconds old.
func WithProbe(probe func(ctx context.Context) (Revision, error)) RemoteOption {
	return func(r *Remote) { r.probe = probe }
}

// WithCommit sets the function that runs a transaction.
func WithCommit(commit func(ctx context.Context, t Txn) (TxnResult, error)) RemoteOption {
	return func(r *Remote) { r.commitTxn = commit }
}

// WithLeases sets the functions that grant, renew and revoke leases.
func WithLeases(
	grant func(ctx context.Context, ttl time.Duration) (Lease, error),
	keepAlive func(ctx context.Context, lease Lease) (bool, error),
	revoke func(ctx context.Context, lease Lease) error,
) RemoteOption {
	return func(r *Remote) { r.grant, r.keepAlive, r.revoke = grant, keepAlive, revoke }
}

// NewRemote returns a store that is accessed by the given functions.
func NewRemote(opts ...RemoteOption) *Remote {
	r := &Remote{}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// watch polls until an error. It calls receive with each batch, also with an empty
// one, which shows that the store is reachable. A batch of another era ends the
// watch: what has changed between the eras is not known.
func (r *Remote) watch(ctx context.Context, prefix string, after Revision, receive func(Batch)) error {
	batchDelay := r.batchDelay
	for {
		start := time.Now()
		batch, err := r.poll(ctx, prefix, after)
		if err != nil {
			return err
		}
		if batch.Revision().Era() != after.Era() {
			return NewCompactedError(after)
		}
		receive(batch)
		after = LatestRevision(after, batch.Revision())
		batchDelay = r.nextBatchDelay(batchDelay, time.Since(start))
		if len(batch.Events()) > 0 && !sleeper.Sleep(ctx, batchDelay) {
			return ctx.Err()
		}
	}
}

// maxBatchDelayFactor is the ratio of the maximum batch delay to the configured one.
const maxBatchDelayFactor = 3

// nextBatchDelay doubles the delay, up to its maximum, while polls return faster
// than the last delay, and otherwise resets it.
func (r *Remote) nextBatchDelay(last, waited time.Duration) time.Duration {
	if waited > last {
		return r.batchDelay
	}
	return min(2*last, maxBatchDelayFactor*r.batchDelay)
}

// Compare is a condition of a transaction: the key was last changed at the
// revision, or does not exist if that is the zero value.
type Compare struct {
	key      string
	revision Revision
}

// Key returns the key.
func (c Compare) Key() string { return c.key }

// Revision returns the revision that the key must have.
func (c Compare) Revision() Revision { return c.revision }

// Write is a change that a transaction makes.
type Write struct{ write write }

// Key returns the key.
func (w Write) Key() string { return w.write.key }

// Value returns the new value.
func (w Write) Value() []byte { return w.write.value }

// Lease returns the lease that the key is attached to, or the zero value.
func (w Write) Lease() Lease { return w.write.lease }

// IsDelete reports whether the key is removed.
func (w Write) IsDelete() bool { return w.write.deleted }

// Compares returns the conditions of the transaction.
func (t Txn) Compares() []Compare {
	compares := make([]Compare, 0, len(t.compares))
	for _, c := range t.compares {
		compares = append(compares, Compare(c))
	}
	return compares
}

// Writes returns the changes that the transaction makes.
func (t Txn) Writes() []Write {
	writes := make([]Write, 0, len(t.writes))
	for _, w := range t.writes {
		writes = append(writes, Write{write: w})
	}
	return writes
}
