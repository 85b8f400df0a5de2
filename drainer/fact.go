// Package drainer decides which starts of workers may get calls. It takes what the
// platform's list and the workers themselves say, in the order of arrival, and orders
// that by the start and the sequence number which each statement names: a statement may
// arrive late. It has no clock, network or encoding of its own.
package drainer

import "burdocklane/registrar"

// Fact is what a source says of one start of a worker: Announced.
type Fact interface{ worker() registrar.Worker }

// Announced says that the worker itself has announced that it is about to stop. That is
// final for this start of the worker.
type Announced struct {
	member registrar.Worker
	signal Signal
}

// Signal is the message in which a worker has announced that it is about to stop.
type Signal string

// Signals of a worker.
const (
	SignalAnswer      Signal = "answer"
	SignalHealthCheck Signal = "health-check"
)

// NewAnnounced returns the fact that a worker has announced by a signal that it is about
// to stop.
func NewAnnounced(member registrar.Worker, signal Signal) Announced {
	return Announced{member: member, signal: signal}
}

func (a Announced) worker() registrar.Worker { return a.member }
