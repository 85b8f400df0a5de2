package drainer

import (
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/registrar"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// maxRecords bounds the workers that a Ledger remembers, unless more are listed. Workers
// come and go for as long as an instance runs.
const maxRecords = 8192

var (
	announcedTotal = metrics.NewCounter("burdocklane_workers_announced_leaving_total")
	listedAgain    = metrics.NewCounter("burdocklane_workers_listed_again_total")
	confirmedTotal = metrics.NewCounter("burdocklane_workers_confirmed_total")
)

// Ledger holds what is known of the starts of workers. It is safe for concurrent use: a
// record is replaced as a whole, and readers never wait.
type Ledger struct {
	log     zerolog.Logger
	records sync.Map // From registrar.WorkerID to *record.
	count   atomic.Int32
	pruning sync.Mutex // Serializes the removal of old records.
}

// Option sets one property of a Ledger.
type Option func(*Ledger)

// WithLog sets the log that gets a line for each change of a standing. The default is
// none.
func WithLog(log zerolog.Logger) Option { return func(l *Ledger) { l.log = log } }

// New returns a Ledger that knows no worker.
func New(opts ...Option) *Ledger {
	l := &Ledger{log: zerolog.Nop()}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Observe takes a fact into account that has arrived now, and returns the standing of the
// start that it is about.
func (l *Ledger) Observe(f Fact, now time.Time) Standing {
	member := f.worker()
	for {
		stored, old := l.load(member.ID())
		next, standing := old.with(f, now)
		if next == old {
			return standing
		}
		if l.replace(member.ID(), stored, &next) {
			l.logChange(f, old, next)
			return standing
		}
	}
}

// Standing returns the standing of a start of a worker.
func (l *Ledger) Standing(member registrar.Worker, now time.Time) Standing {
	_, known := l.load(member.ID())
	return known.standingOf(member, now)
}

// load returns the record of a worker, also as it is stored. Both are empty for an unknown
// worker.
func (l *Ledger) load(id registrar.WorkerID) (stored *record, known record) {
	if found, ok := l.records.Load(id); ok {
		stored = found.(*record)
		return stored, *stored
	}
	return nil, record{}
}

// replace stores the next record of a worker, and returns false if the stored one has
// changed meanwhile.
func (l *Ledger) replace(id registrar.WorkerID, stored, next *record) bool {
	if stored != nil {
		return l.records.CompareAndSwap(id, stored, next)
	}
	if _, exists := l.records.LoadOrStore(id, next); exists {
		return false
	}
	if l.count.Add(1) > maxRecords {
		l.prune()
	}
	return true
}

// prune forgets the worker that the list has lost first.
func (l *Ledger) prune() {
	l.pruning.Lock()
	defer l.pruning.Unlock()
	var oldest *record
	l.records.Range(func(_, value any) bool {
		r := value.(*record)
		if !r.unlistedAt.IsZero() && (oldest == nil || r.unlistedAt.Before(oldest.unlistedAt)) {
			oldest = r
		}
		return true
	})
	if oldest != nil && l.records.CompareAndDelete(oldest.member.ID(), oldest) {
		l.count.Add(-1)
	}
}

// logChange logs and counts a change that ends or begins the use of a start.
func (l *Ledger) logChange(f Fact, old, next record) {
	switch f := f.(type) {
	case Announced:
		announcedTotal.Inc()
		l.event(next).Str("signal", string(f.signal)).Msg("worker has announced that it is about to stop")
	case Listed:
		if !next.unconfirmedUntil.IsZero() && next.unconfirmedUntil != old.unconfirmedUntil {
			listedAgain.Inc()
			l.event(next).Int64("had-sequence", old.member.Sequence()).Msg("worker is listed again; it gets calls once a health check has confirmed it")
		}
	case Confirmed:
		confirmedTotal.Inc()
		l.event(next).Msg("worker that is listed again is confirmed")
	case Unlisted:
	}
}

// event returns a line of the log about the known start of a worker.
func (l *Ledger) event(r record) *zerolog.Event {
	return l.log.Info().Str("worker", string(r.member.ID())).Int64("start", r.member.Started()).Int64("sequence", r.member.Sequence())
}
