// Package drainer decides which starts of workers may get calls. It takes what the
// platform's list and the workers themselves say, in the order of arrival, and orders
// that by the start and the sequence number which each statement names: a statement may
// arrive late. It has no clock, network or encoding of its own.
package drainer

import "burdocklane/registrar"

// Fact is what a source says of one start of a worker: Listed, Unlisted, Announced or
// Confirmed.
type Fact interface{ worker() registrar.Worker }

// Listed says that the platform's list has a registration of the worker. The era is that
// of the store: a later one begins with an older copy.
type Listed struct {
	member registrar.Worker
	era    int64
}

// Unlisted says that the list has the worker no more, which it had in the given
// registration.
type Unlisted struct {
	member registrar.Worker
	era    int64
}

// Announced says that the worker itself has announced that it is about to stop. That is
// final for this start of the worker.
type Announced struct {
	member registrar.Worker
	signal Signal
}

// Confirmed says that the worker has answered a health check that it serves.
type Confirmed struct{ member registrar.Worker }

// Signal is the message in which a worker has announced that it is about to stop.
type Signal string

// Signals of a worker.
const (
	SignalAnswer      Signal = "answer"
	SignalHealthCheck Signal = "health-check"
)

// NewListed returns the fact that the list has a registration, in an era of the store.
func NewListed(member registrar.Worker, era int64) Listed { return Listed{member: member, era: era} }

// NewUnlisted returns the fact that the list has lost a worker, in an era of the store.
func NewUnlisted(member registrar.Worker, era int64) Unlisted {
	return Unlisted{member: member, era: era}
}

// NewAnnounced returns the fact that a worker has announced by a signal that it is about
// to stop.
func NewAnnounced(member registrar.Worker, signal Signal) Announced {
	return Announced{member: member, signal: signal}
}

// NewConfirmed returns the fact that a worker has answered that it serves.
func NewConfirmed(member registrar.Worker) Confirmed { return Confirmed{member: member} }

func (l Listed) worker() registrar.Worker    { return l.member }
func (u Unlisted) worker() registrar.Worker  { return u.member }
func (a Announced) worker() registrar.Worker { return a.member }
func (c Confirmed) worker() registrar.Worker { return c.member }
