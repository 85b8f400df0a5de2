// Package verifier checks the worker that was chosen for a call right before the call is
// sent. Load reports are some tens of milliseconds old when they decide, and a worker may
// have become slow or unreachable since; a call that may run only once cannot be taken
// back from it.
package verifier

import (
	"context"
	"time"

	"burdocklane/healthchecker"
	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/tracker"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxReportAge is the age up to which a load report needs no verification.
	maxReportAge = 8 * time.Millisecond
	// MaxRejections is the number of workers that a call rejects at most. Each costs the
	// call a round trip, and workers may all be slow.
	MaxRejections = 2
	// timeShare is the share of the time until the target that a verification may take,
	// between minTimeout and maxTimeout.
	timeShare  = 0.1
	minTimeout = 20 * time.Millisecond
	maxTimeout = 100 * time.Millisecond
	// remoteTimeout is the least time for the verification of a worker in another region.
	remoteTimeout = 40 * time.Millisecond
)

var (
	confirmedTotal = metrics.NewCounter(`burdocklane_verifications_total{verdict="confirmed"}`)
	rejectedTotal  = metrics.NewCounter(`burdocklane_verifications_total{verdict="rejected"}`)
)

// Verdict says whether the call may be sent to the worker: Confirmed, Rejected or Closed.
type Verdict interface{ verdict() }

// Confirmed is the verdict for a worker that still is as the decision expected.
type Confirmed struct{}

// Rejected is the verdict for a worker to which the call should not be sent if another one
// can take it.
type Rejected struct{ reason string }

// Closed is the verdict for a worker to which the call must not be sent.
type Closed struct{ reason string }

func (Confirmed) verdict() {}
func (Rejected) verdict()  {}
func (Closed) verdict()    {}

// NewClosed returns the verdict with a reason.
func NewClosed(reason string) Closed { return Closed{reason: reason} }

// Reason returns why the worker is closed, for logs.
func (c Closed) Reason() string { return c.reason }

// Reason returns why the worker was rejected, for logs.
func (r Rejected) Reason() string { return r.reason }

// Choice is the worker that was chosen for a call, as far as it decides whether to verify
// the worker.
type Choice struct {
	reportAge   time.Duration
	distance    int
	rejections  int
	untilTarget time.Duration
	confined    bool // The call may be processed in some regions only.
}

// NewChoice returns a choice of a worker at a distance, by a report of the given age, for
// a call that has rejected a number of workers before.
func NewChoice(reportAge time.Duration, distance, rejections int, untilTarget time.Duration) Choice {
	return Choice{reportAge: reportAge, distance: distance, rejections: rejections, untilTarget: untilTarget}
}

// Confined returns c as a choice for a call that may be processed in some regions only. It
// goes to another region as a rule, not only when its own has no capacity.
func (c Choice) Confined() Choice {
	c.confined = true
	return c
}

// Timeout returns how long the verification may take, and false if none is due.
func (c Choice) Timeout() (time.Duration, bool) {
	if c.reportAge <= maxReportAge || c.rejections >= MaxRejections || c.untilTarget <= minTimeout {
		return 0, false
	}
	timeout := time.Duration(timeShare * float64(c.untilTarget))
	if c.distance >= picker.RemoteDistance && (!c.confined || timeout < remoteTimeout) {
		return 0, false
	}
	return min(max(timeout, minTimeout), maxTimeout), true
}

// Judge returns the verdict for a worker by its health check. A health check may lie: a
// worker that was chosen although it was known to be unhealthy is no worse now.
func Judge(health healthchecker.Health, knownUnhealthy bool) Verdict {
	switch health.(type) {
	case healthchecker.Healthy:
		load, ok := healthchecker.LoadOf(health)
		if ok && load.Report(0).Slowdown() >= picker.SlowdownThreshold {
			return Rejected{reason: "slow"}
		}
		return Confirmed{}
	case healthchecker.Unhealthy:
		if knownUnhealthy {
			return Confirmed{}
		}
		return Rejected{reason: "unhealthy"}
	case healthchecker.WrongWorker:
		return Rejected{reason: "other-worker"}
	case healthchecker.Unreachable:
		return Rejected{reason: "unreachable"}
	}
	return Confirmed{}
}

// Verifier verifies workers by health checks.
type Verifier struct{ checker *healthchecker.Checker }

// New returns a Verifier that sends its health checks by c. The call is sent on the
// connection of its check if that comes from the same pool.
func New(c *healthchecker.Checker) *Verifier { return &Verifier{checker: c} }

// Verify checks the worker of a service, whose health checks have the given path, and
// records what it reports.
func (v *Verifier) Verify(ctx context.Context, pool *limiter.Pool, worker *tracker.Worker, path string, timeout time.Duration) Verdict {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	knownUnhealthy := worker.Unhealthy() || worker.HasAnnounced()
	health := v.checker.Check(ctx, worker.Member(), path)
	record(pool, worker, health)
	verdict := Judge(health, knownUnhealthy)
	if _, ok := verdict.(Confirmed); ok && pool.IsClosed(worker) { // It was chosen before that was known.
		verdict = Rejected{reason: "leaving"}
	}
	switch verdict.(type) {
	case Confirmed:
		confirmedTotal.Inc()
	case Rejected:
		rejectedTotal.Inc()
	}
	return verdict
}

// Confirm checks a worker that gets no calls before it has answered a health check. One that
// does not confirm that it serves gets no calls for a while.
func (v *Verifier) Confirm(ctx context.Context, pool *limiter.Pool, worker *tracker.Worker, path string) Verdict {
	verdict := v.Verify(ctx, pool, worker, path, maxTimeout)
	if !pool.NeedsConfirmation(worker) {
		return verdict
	}
	if ctx.Err() == nil { // Else it was the caller who left.
		pool.BackOff(worker)
	}
	return Closed{reason: "unconfirmed"}
}

// record passes the result of a check on to the pool. A check that got no answer in its
// short time does not show that the worker is down.
func record(pool *limiter.Pool, worker *tracker.Worker, health healthchecker.Health) {
	switch health.(type) {
	case healthchecker.Unhealthy:
		worker.SetUnhealthy(true)
	case healthchecker.WrongWorker:
		pool.MarkLeaving(worker)
	case healthchecker.Healthy, healthchecker.Unreachable:
	}
	pool.RecordCheck(worker, healthchecker.IsHealthy(health), healthchecker.AnnouncesLeaving(health))
	if left, ok := healthchecker.WarmupOf(health); ok {
		pool.RecordWarmup(worker, left)
	}
	if load, ok := healthchecker.LoadOf(health); ok {
		pool.RecordReport(worker, load.Report(pool.Now()))
	}
}
