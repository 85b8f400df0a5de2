package registrant

import (
	"context"
	"strings"
	"sync"
	"time"

	"burdocklane/recoverer"
	"burdocklane/storer"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

const (
	// enrolmentDelay is how long a Delegate gathers entries before it writes them.
	enrolmentDelay = 60 * time.Millisecond
	// maxBatchEntries is the number of entries that one transaction writes at most.
	maxBatchEntries = 32
	// maxPendingEntries bounds the entries that wait for their write.
	maxPendingEntries = 1024
)

var enrolledTotal = metrics.NewCounter("burdocklane_instances_enrolled_total")

// BusyError reports that too many instances ask to be registered at once.
type BusyError struct{}

// Error implements error.
func (*BusyError) Error() string { return "too many instances wait to be registered" }

// Delegate registers other instances, many of them by one write and under one lease, so
// that the writes at a start of the whole fleet grow with its zones. It doesn't renew the
// leases: the instances ask again in time, whichever instance is the relay then.
type Delegate struct {
	store   storer.Store
	prefix  string
	log     zerolog.Logger
	pending chan enrolment
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// enrolment is an entry that waits for its write. The result is sent without blocking.
type enrolment struct {
	key    string
	value  []byte
	result chan enrolmentResult
}

type enrolmentResult struct {
	revision storer.Revision
	err      error
}

// NewDelegate returns a Delegate that writes entries under the key prefix.
func NewDelegate(store storer.Store, prefix string, log zerolog.Logger) *Delegate {
	d := &Delegate{store: store, prefix: prefix, log: log, pending: make(chan enrolment, maxPendingEntries)}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.done.Go(d.run)
	return d
}

// Close ends the writes, and waits for them.
func (d *Delegate) Close() {
	d.cancel()
	d.done.Wait()
}

// Enroll writes the entry of another instance, and returns the store's revision of it.
// The error is an *EntryError or a *BusyError, and nothing is written, if the entry does
// not describe an instance or too many others wait.
func (d *Delegate) Enroll(ctx context.Context, key string, value []byte) (storer.Revision, error) {
	if !strings.HasPrefix(key, d.prefix) {
		return storer.Revision{}, &EntryError{key: key, reason: "key is not that of an instance"}
	}
	if _, err := Parse(key, value); err != nil {
		return storer.Revision{}, err
	}
	e := enrolment{key: key, value: value, result: make(chan enrolmentResult, 1)}
	select {
	case d.pending <- e:
	default:
		return storer.Revision{}, &BusyError{}
	}
	select {
	case r := <-e.result:
		return r.revision, r.err
	case <-ctx.Done():
		return storer.Revision{}, ctx.Err()
	case <-d.ctx.Done():
		return storer.Revision{}, d.ctx.Err()
	}
}

func (d *Delegate) run() {
	for {
		batch, ok := d.gather()
		if !ok {
			return
		}
		revision, err := d.write(batch)
		for _, e := range batch {
			e.result <- enrolmentResult{revision: revision, err: err}
		}
		if err != nil {
			d.log.Warn().Err(err).Int("entries", len(batch)).Msg("could not write the entries of other instances")
			continue
		}
		enrolledTotal.Add(len(batch))
		d.log.Info().Int("entries", len(batch)).Stringer("store-revision", revision).Msg("registered other instances")
	}
}

// write writes the entries of a batch.
func (d *Delegate) write(batch []enrolment) (revision storer.Revision, err error) {
	panicked := recoverer.Do(d.log, "registration of other instances", func() {
		_, revision, err = writeEntries(d.ctx, d.store, batch)
	})
	if panicked != nil {
		return storer.Revision{}, panicked
	}
	return revision, err
}

// gather waits for an entry and for those that come shortly after it. It returns false
// when the Delegate is closed.
func (d *Delegate) gather() ([]enrolment, bool) {
	var batch []enrolment
	select {
	case e := <-d.pending:
		batch = append(batch, e)
	case <-d.ctx.Done():
		return nil, false
	}
	timer := time.NewTimer(enrolmentDelay)
	defer timer.Stop()
	for len(batch) < maxBatchEntries {
		select {
		case e := <-d.pending:
			batch = append(batch, e)
		case <-timer.C:
			return batch, true
		case <-d.ctx.Done():
			return nil, false
		}
	}
	return batch, true
}

// writeEntries writes entries under a lease of their own.
func writeEntries(ctx context.Context, store storer.Store, entries []enrolment) (storer.Lease, storer.Revision, error) {
	lease, err := storer.Grant(ctx, store, leaseTTL)
	if err != nil {
		return storer.Lease{}, storer.Revision{}, err
	}
	var txn storer.Txn
	for _, e := range entries {
		txn.PutLeased(e.key, e.value, lease)
	}
	result, err := storer.Commit(ctx, store, txn)
	return lease, result.Revision(), err
}
