// Package asserter checks invariants of the program at run time. A violation is
// logged with details and counted; in test and soak runs it also ends the
// process.
package asserter

import (
	"os"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// Invariant is the name of a condition that must always hold. It is a label of
// the violations metric.
type Invariant string

// Invariants that are checked.
const (
	// MeasuringBudget: the budget for measuring traffic is not overspent.
	MeasuringBudget Invariant = "measuring-budget"
	// AtMostOnce: a call that must not be repeated runs at most once.
	AtMostOnce Invariant = "at-most-once"
	// NotRun: a call that is reported as not run has not run.
	NotRun Invariant = "not-run"
	// MatchingResponse: a forwarded response belongs to the caller's request.
	MatchingResponse Invariant = "whole-answer"
	// LeavingWorker: no attempt goes to a worker that has been draining for long.
	LeavingWorker Invariant = "leaving-worker"
	// MonotonicRevisions: the revision of the active configuration only increases.
	MonotonicRevisions Invariant = "revisions-grow"
	// InFlightBalanced: after the shutdown, no call and no slot is in flight.
	InFlightBalanced Invariant = "in-flight-balanced"
	// RetryBudget: the retry budget is not overspent.
	RetryBudget Invariant = "retry-budget"
)

// ExitStatus is the exit status of a process that ends after a violation.
const ExitStatus = 70

// Asserter logs and counts violations of invariants.
type Asserter struct {
	log        zerolog.Logger
	exit       func(int)
	violations atomic.Int64
}

// Option sets one property of an Asserter.
type Option func(*Asserter)

// WithExit makes a violation end the process with ExitStatus.
func WithExit() Option { return func(a *Asserter) { a.exit = os.Exit } }

// New returns an Asserter that logs violations to the given logger.
func New(log zerolog.Logger, opts ...Option) *Asserter {
	a := &Asserter{log: log, exit: func(int) {}}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Log returns the logger of violations.
func (a *Asserter) Log() *zerolog.Logger { return &a.log }

// Check logs and counts a violation of the invariant unless holds is true.
// evidence adds details to the log event; it is called only on a violation and
// may be nil.
func (a *Asserter) Check(holds bool, invariant Invariant, evidence func(*zerolog.Event)) {
	if holds {
		return
	}
	a.violations.Add(1)
	metrics.GetOrCreateCounter(`burdocklane_invariant_violations_total{invariant="` + string(invariant) + `"}`).Inc()
	event := a.log.Error().Str("invariant", string(invariant))
	if evidence != nil {
		evidence(event)
	}
	event.Msg("invariant violated")
	a.exit(ExitStatus)
}

// Violations returns the number of violations since the start.
func (a *Asserter) Violations() int64 { return a.violations.Load() }
