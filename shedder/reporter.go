package shedder

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

var (
	endedHoldings = metrics.NewCounter("burdocklane_callers_ended_total")
	refusals      = metrics.NewCounter("burdocklane_callers_refused_total")
)

// quietPeriod is how long no caller is refused or ended until the log says that callers are
// within the limits again.
const quietPeriod = 5 * time.Second

// reporter writes one log line when callers begin to be refused or ended, and one when none
// has been for the quiet period.
type reporter struct {
	log  zerolog.Logger
	port string

	mutex   sync.Mutex // Guards the fields below.
	timer   *time.Timer
	closed  bool
	since   time.Time
	ended   int64
	bytes   int64
	refused int64
}

func newReporter(log zerolog.Logger, port string) *reporter { return &reporter{log: log, port: port} }

// shed counts a holding that was ended.
func (r *reporter) shed(bytes int64) {
	endedHoldings.Inc()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ended++
	r.bytes += bytes
	r.extend()
}

// refuse counts a caller that found no room.
func (r *reporter) refuse() {
	refusals.Inc()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refused++
	r.extend()
}

// extend begins the period in which callers are refused or ended, or makes it longer.
func (r *reporter) extend() {
	switch {
	case r.closed:
	case r.timer == nil:
		r.since = time.Now()
		r.log.Warn().Str("port", r.port).Msg("callers hold too much; those that hold most for longest are ended")
		r.timer = time.AfterFunc(quietPeriod, r.report)
	default:
		r.timer.Reset(quietPeriod)
	}
}

// report ends the period.
func (r *reporter) report() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.end()
}

func (r *reporter) end() {
	if r.timer == nil {
		return
	}
	r.timer.Stop()
	r.timer = nil
	r.log.Info().Str("port", r.port).Int64("ended", r.ended).Int64("ended-bytes", r.bytes).Int64("refused", r.refused).
		Dur("for", time.Since(r.since)).Msg("callers are within the limits again")
	r.ended, r.bytes, r.refused = 0, 0, 0
}

func (r *reporter) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.end()
	r.closed = true
}
