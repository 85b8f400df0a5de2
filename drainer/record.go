package drainer

import (
	"time"

	"burdocklane/registrar"
)

// record is what is known of the latest known start of a worker. It is immutable.
type record struct {
	member      registrar.Worker // Its latest known registration.
	announcedAt time.Time        // When its announcement arrived, or zero.
}

// with returns the record once a fact has arrived. The zero record is that of an unknown
// worker.
func (r record) with(f Fact, now time.Time) record {
	switch f := f.(type) {
	case Announced:
		return r.announce(f.member, now)
	}
	return r
}

// announce records an announcement. One of an earlier start changes nothing, and neither
// does one of an unknown start: the next start of the worker could not be told from it.
func (r record) announce(member registrar.Worker, now time.Time) record {
	switch {
	case member.Started() == 0 || member.StartedBefore(r.member):
		return r
	case !r.member.SameIncarnation(member):
		return record{member: member, announcedAt: now}
	case r.announcedAt.IsZero():
		r.announcedAt = now
	}
	return r
}

// standingOf returns the standing of a start of the worker.
func (r record) standingOf(member registrar.Worker) Standing {
	if r.member.SameIncarnation(member) && !r.announcedAt.IsZero() {
		return Leaving{since: r.announcedAt}
	}
	return Open{}
}
