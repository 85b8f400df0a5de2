// Package asserter checks the invariants of the program while it runs. A
// violation is logged with its evidence and counted; in test and soak runs it
// also ends the process.
package asserter

import (
	"os"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// Invariant names a promise that must always hold.
type Invariant string

// Invariants that the program asserts.
const (
	MeasuringBudget  Invariant = "measuring-budget"
	AtMostOnce       Invariant = "at-most-once"
	NotRun           Invariant = "not-run"
	WholeAnswer      Invariant = "whole-answer"
	LeavingWorker    Invariant = "leaving-worker"
	RevisionsGrow    Invariant = "revisions-grow"
	InFlightBalanced Invariant = "in-flight-balanced"
	RetryBudget      Invariant = "retry-budget"
)

// ExitStatus is the exit status of a process that a violation ended.
const ExitStatus = 70

// Asserter counts violations.
type Asserter struct {
	log        zerolog.Logger
	exit       func(int)
	violations atomic.Int64
}

// Option sets one property of an Asserter.
type Option func(*Asserter)

// WithExit makes a violation end the process with ExitStatus.
func WithExit() Option { return func(a *Asserter) { a.exit = os.Exit } }

// New returns an Asserter that writes violations to the log.
func New(log zerolog.Logger, opts ...Option) *Asserter {
	a := &Asserter{log: log, exit: func(int) {}}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Log returns the log that violations are written to.
func (a *Asserter) Log() *zerolog.Logger { return &a.log }

// Check counts a violation of the invariant unless it holds. The evidence is
// made only then, and may be nil.
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

// Violations returns how many checks have failed since the start.
func (a *Asserter) Violations() int64 { return a.violations.Load() }
