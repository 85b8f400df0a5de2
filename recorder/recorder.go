package recorder

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

const (
	defaultBufferSize = 4096
	defaultRecentSize = 8192
)

// Recorder writes decisions to the log in a separate goroutine. It is safe for
// concurrent use.
type Recorder struct {
	log        zerolog.Logger
	queue      chan Decision
	recent     []atomic.Pointer[Decision]
	nextRecent atomic.Uint64
	dropped    atomic.Int64
	written    atomic.Int64

	bufferSize int
	cancel     context.CancelFunc
	writer     sync.WaitGroup
}

// Option sets one property of a Recorder.
type Option func(*Recorder)

// WithBufferSize sets how many decisions can be buffered before lines are dropped.
func WithBufferSize(decisions int) Option { return func(r *Recorder) { r.bufferSize = decisions } }

// WithRecentSize sets how many of the latest decisions are kept in memory for [Recorder.DecisionsFor],
// at least one.
func WithRecentSize(decisions int) Option {
	return func(r *Recorder) { r.recent = make([]atomic.Pointer[Decision], max(decisions, 1)) }
}

// New returns a Recorder that writes to the log, and starts its goroutine.
func New(log zerolog.Logger, opts ...Option) *Recorder {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Recorder{log: log, bufferSize: defaultBufferSize, cancel: cancel}
	WithRecentSize(defaultRecentSize)(r)
	for _, opt := range opts {
		opt(r)
	}
	r.queue = make(chan Decision, r.bufferSize)
	r.writer.Go(func() { r.writeLoop(ctx) })
	return r
}

// Close writes the buffered decisions and stops the goroutine.
func (r *Recorder) Close() {
	r.cancel()
	r.writer.Wait()
}

// Record stores a decision and queues it for writing. It never blocks: if the buffer
// is full, the line is dropped and counted.
func (r *Recorder) Record(d Decision) {
	index := r.nextRecent.Add(1) - 1
	r.recent[index%uint64(len(r.recent))].Store(&d)
	select {
	case r.queue <- d:
	default:
		r.dropped.Add(1)
		droppedTotal.Inc()
	}
}

var (
	droppedTotal = metrics.NewCounter("burdocklane_decision_lines_dropped_total")
	writtenTotal = metrics.NewCounter("burdocklane_decision_lines_written_total")
)

// Dropped returns the number of decisions that were not written.
func (r *Recorder) Dropped() int64 { return r.dropped.Load() }

// Written returns the number of decisions that were written.
func (r *Recorder) Written() int64 { return r.written.Load() }

// DecisionsFor returns the decisions for a request ID that are still in memory, oldest
// first.
func (r *Recorder) DecisionsFor(id string) []Decision {
	var found []Decision
	end := r.nextRecent.Load()
	size := uint64(len(r.recent))
	for i := end - min(end, size); i < end; i++ {
		if d := r.recent[i%size].Load(); d != nil && d.id == id {
			found = append(found, *d)
		}
	}
	return found
}

func (r *Recorder) writeLoop(ctx context.Context) {
	reported := int64(0)
	for {
		select {
		case d := <-r.queue:
			r.write(d)
			reported = r.reportDropped(reported)
		case <-ctx.Done():
			r.flush()
			r.reportDropped(reported)
			return
		}
	}
}

func (r *Recorder) flush() {
	for {
		select {
		case d := <-r.queue:
			r.write(d)
		default:
			return
		}
	}
}

func (r *Recorder) write(d Decision) {
	r.log.Info().EmbedObject(d).Msg("decision")
	r.written.Add(1)
	writtenTotal.Inc()
}

// reportDropped logs the number of lines dropped since the last report once the
// buffer is at most half full. It returns the total reported so far.
func (r *Recorder) reportDropped(reported int64) int64 {
	dropped := r.dropped.Load()
	if dropped == reported || len(r.queue) > r.bufferSize/2 {
		return reported
	}
	r.log.Warn().Int64("dropped", dropped-reported).Int64("dropped-total", dropped).Msg("decision lines dropped")
	return dropped
}
