package storer

import (
	"context"
	"time"

	"burdocklane/sleeper"
)

// Protocol is how a deployment's own store is spoken to. Poll returns the
// changes after a revision, or an empty batch if there are none for a while.
type Protocol struct {
	Range     func(ctx context.Context, prefix string) (Page, error)
	Poll      func(ctx context.Context, prefix string, after int64) (Batch, error)
	Commit    func(ctx context.Context, t Txn) (Committed, error)
	Grant     func(ctx context.Context, ttl time.Duration) (int64, error)
	KeepAlive func(ctx context.Context, lease int64) (bool, error)
	Revoke    func(ctx context.Context, lease int64) error
}

// Remote is a store that is spoken to by a protocol of the deployment's own.
type Remote struct {
	protocol Protocol
	pause    time.Duration
}

// NewRemote returns a store. After each batch of changes the watch pauses, so
// that changes that come together cost one call.
func NewRemote(protocol Protocol, pause time.Duration) *Remote {
	return &Remote{protocol: protocol, pause: pause}
}

// watch passes each poll's batch on, also an empty one, as a sign of life.
func (r *Remote) watch(ctx context.Context, prefix string, from int64, receive func(Batch)) error {
	after := from - 1
	pause := r.pause
	for {
		asked := time.Now()
		batch, err := r.protocol.Poll(ctx, prefix, after)
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
const pauseGrowth = 4

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
