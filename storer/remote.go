package storer

import (
	"context"
	"time"

	"burdocklane/sleeper"
)

// Remote is a store that is spoken to by a protocol of the deployment's own.
type Remote struct {
	readRange func(ctx context.Context, prefix string) (Page, error)
	poll      func(ctx context.Context, prefix string, after int64) (Batch, error)
	pause     time.Duration
	apply     func(ctx context.Context, t Txn) (Committed, error)
	grant     func(ctx context.Context, ttl time.Duration) (int64, error)
	keepAlive func(ctx context.Context, lease int64) (bool, error)
	revoke    func(ctx context.Context, lease int64) error
}

// RemoteOption sets one call of a Remote.
type RemoteOption func(*Remote)

// WithRange sets how all keys with a prefix are read.
func WithRange(read func(ctx context.Context, prefix string) (Page, error)) RemoteOption {
	return func(r *Remote) { r.readRange = read }
}

// WithPoll sets how the changes after a revision are waited for; the batch is
// empty if there are none for a while. After each batch of changes the watch
// pauses, so that changes that come together cost one call.
func WithPoll(poll func(ctx context.Context, prefix string, after int64) (Batch, error), pause time.Duration) RemoteOption {
	return func(r *Remote) { r.poll, r.pause = poll, pause }
}

// WithCommit sets how a transaction is run.
func WithCommit(commit func(ctx context.Context, t Txn) (Committed, error)) RemoteOption {
	return func(r *Remote) { r.apply = commit }
}

// WithLeases sets how leases are granted, renewed and revoked.
func WithLeases(
	grant func(ctx context.Context, ttl time.Duration) (int64, error),
	keepAlive func(ctx context.Context, lease int64) (bool, error),
	revoke func(ctx context.Context, lease int64) error,
) RemoteOption {
	return func(r *Remote) { r.grant, r.keepAlive, r.revoke = grant, keepAlive, revoke }
}

// NewRemote returns a store that is spoken to by the given calls.
func NewRemote(opts ...RemoteOption) *Remote {
	r := &Remote{}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// watch passes each poll's batch on, also an empty one, as a sign of life.
func (r *Remote) watch(ctx context.Context, prefix string, from int64, receive func(Batch)) error {
	after := from - 1
	pause := r.pause
	for {
		asked := time.Now()
		batch, err := r.poll(ctx, prefix, after)
		if err != nil {
			return err
		}
		receive(batch)
		after = max(after, batch.Revision())
		pause = r.nextPause(pause, time.Since(asked))
		if len(batch.Events()) > 0 && !sleeper.Sleep(ctx, pause) {
			return ctx.Err()
		}
	}
}

// pauseGrowth times the first pause is the longest.
const pauseGrowth = 3

// nextPause doubles the pause while changes come without an end.
func (r *Remote) nextPause(last, waited time.Duration) time.Duration {
	if waited > last {
		return r.pause
	}
	return min(2*last, pauseGrowth*r.pause)
}

// Compare is a condition of a transaction: the key was last changed at the
// revision, or does not exist if that is 0.
type Compare struct {
	key      string
	revision int64
}

// Key returns the key.
func (c Compare) Key() string { return c.key }

// Revision returns the revision that the key must have.
func (c Compare) Revision() int64 { return c.revision }

// Write is a change that a transaction makes.
type Write struct{ write write }

// Key returns the key.
func (w Write) Key() string { return w.write.key }

// Value returns the new value.
func (w Write) Value() []byte { return w.write.value }

// Lease returns the lease with which the key goes, or 0.
func (w Write) Lease() int64 { return w.write.lease }

// Deletes tells whether the key is removed.
func (w Write) Deletes() bool { return w.write.deleted }

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
