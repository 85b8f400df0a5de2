package follower

import (
	"context"
	"time"

	"burdocklane/sleeper"
	"burdocklane/storer"

	"github.com/go-faster/errors"
)

// storeProbeInterval is how often an instance that reads from a fallback checks whether the
// store serves it again.
const storeProbeInterval = time.Second

// errStoreServes is the cause with which a watch of a fallback is ended.
var errStoreServes = errors.New("the store serves this instance again")

// watchUntilStoreServes watches a fallback. It returns nil when the store serves this
// instance again, or the context ends.
func (f *Follower) watchUntilStoreServes(ctx context.Context, peer storer.Store, revision storer.Revision) error {
	fallbackCtx, end := context.WithCancelCause(ctx)
	defer end(nil)
	f.done.Go(func() { f.endWhenStoreServes(fallbackCtx, end) })
	for {
		err := f.watchKeys(fallbackCtx, peer, revision, true)
		var compacted *storer.CompactedError
		if fallbackCtx.Err() != nil {
			return nil
		}
		if err != nil && !errors.As(err, &compacted) {
			return err
		}
		read, err := f.read(fallbackCtx, peer)
		if fallbackCtx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		f.adopt(peer, read, true)
		revision = read.result.Revision()
	}
}

// endWhenStoreServes ends the watch of a fallback once the store can be read. A probe costs
// less than a read, which is tried only if the store answers the probe.
func (f *Follower) endWhenStoreServes(ctx context.Context, end context.CancelCauseFunc) {
	for sleeper.Sleep(ctx, storeProbeInterval) {
		if storer.CanProbe(f.store) {
			if _, err := f.probe(ctx, minProbeTimeout); err != nil {
				continue
			}
		}
		if _, err := storer.Range(ctx, f.store, f.prefix); err == nil {
			end(errStoreServes)
			return
		}
	}
}
