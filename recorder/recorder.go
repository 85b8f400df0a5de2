package recorder

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

const (
	defaultBuffer = 4096
	defaultRecent = 8192
)

// Recorder writes decisions from a goroutine of its own.
type Recorder struct {
	log     zerolog.Logger
	queue   chan Decision
	recent  []atomic.Pointer[Decision]
	next    atomic.Uint64
	dropped atomic.Int64
	written atomic.Int64

	buffer int
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Option sets one property of a Recorder.
type Option func(*Recorder)

// WithBuffer sets how many decisions may wait to be written.
func WithBuffer(decisions int) Option { return func(r *Recorder) { r.buffer = decisions } }

// WithRecent sets how many of the latest decisions are kept for explain.
func WithRecent(decisions int) Option {
	return func(r *Recorder) { r.recent = make([]atomic.Pointer[Decision], decisions) }
}

// New starts a Recorder that writes to the log.
func New(log zerolog.Logger, opts ...Option) *Recorder {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Recorder{log: log, buffer: defaultBuffer, cancel: cancel}
	WithRecent(defaultRecent)(r)
	for _, opt := range opts {
		opt(r)
	}
	r.queue = make(chan Decision, r.buffer)
	r.done.Go(func() { r.run(ctx) })
	return r
}

// Close writes what is buffered and waits for the writer to end.
func (r *Recorder) Close() {
	r.cancel()
	r.done.Wait()
}

// Record takes a decision. It never blocks.
func (r *Recorder) Record(d Decision) {
	at := r.next.Add(1) - 1
	r.recent[at%uint64(len(r.recent))].Store(&d)
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

// Dropped returns how many decisions were not written.
func (r *Recorder) Dropped() int64 { return r.dropped.Load() }

// Written returns how many decisions were written.
func (r *Recorder) Written() int64 { return r.written.Load() }

// Explain returns the decisions for a request ID that are still kept, oldest
// first.
func (r *Recorder) Explain(id string) []Decision {
	var found []Decision
	end := r.next.Load()
	size := uint64(len(r.recent))
	for i := end - min(end, size); i < end; i++ {
		if d := r.recent[i%size].Load(); d != nil && d.id == id {
			found = append(found, *d)
		}
	}
	return found
}

func (r *Recorder) run(ctx context.Context) {
	reported := int64(0)
	for {
		select {
		case d := <-r.queue:
			r.write(d)
			reported = r.reportDropped(reported)
		case <-ctx.Done():
			r.drain()
			r.reportDropped(reported)
			return
		}
	}
}

func (r *Recorder) drain() {
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

// reportDropped writes the count of dropped lines once the buffer has room.
func (r *Recorder) reportDropped(reported int64) int64 {
	dropped := r.dropped.Load()
	if dropped == reported || len(r.queue) > r.buffer/2 {
		return reported
	}
	r.log.Warn().Int64("dropped", dropped-reported).Int64("dropped-total", dropped).Msg("decision lines dropped")
	return dropped
}
