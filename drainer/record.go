package drainer

import (
	"time"

	"burdocklane/registrar"
)

const (
	// outdatedTTL is how long a registration from before a known one is ignored. The
	// platform removes the entry of a silent worker: one that stays listed for longer is
	// that of a live worker, whose heartbeats alone do not change it.
	outdatedTTL = 30 * time.Second
	// confirmationTimeout is how long a worker that is listed again has to be confirmed.
	// A worker that has stopped stays listed for some missed heartbeats at most.
	confirmationTimeout = 15 * time.Second
)

// record is what is known of the latest known start of a worker. It is immutable.
type record struct {
	member           registrar.Worker // Its latest known registration.
	announcedAt      time.Time        // When its announcement arrived, or zero.
	unlistedAt       time.Time        // When the list lost it, or zero while it is listed.
	unlistedEra      int64            // The store's era then.
	unconfirmedUntil time.Time        // Until when it needs a confirmation, or zero.
	earlierSince     time.Time        // Since when an earlier start stands in its place, or zero.
}

// with returns the record once a fact has arrived, and the standing of the start that the
// fact is about. The zero record is that of an unknown worker.
func (r record) with(f Fact, now time.Time) (record, Standing) {
	switch f := f.(type) {
	case Listed:
		return r.list(f, now)
	case Unlisted:
		r = r.unlist(f, now)
	case Announced:
		r = r.announce(f.member, now)
	case Confirmed:
		if r.member.SameIncarnation(f.member) {
			r.unconfirmedUntil = time.Time{}
		}
	}
	return r, r.standingOf(f.worker(), now)
}

// list records a registration, unless it is from before the known one.
func (r record) list(f Listed, now time.Time) (record, Standing) {
	switch {
	case f.member.StartedBefore(r.member):
		return r.listEarlier(f, now)
	case !r.member.SameIncarnation(f.member):
		r = record{}
	case r.isOutdated(f, now):
		return r, Outdated{}
	}
	if !r.unlistedAt.IsZero() {
		r.unconfirmedUntil = now.Add(confirmationTimeout)
	}
	r.member = f.member
	r.unlistedAt, r.earlierSince = time.Time{}, time.Time{}
	return r, r.standingOf(f.member, now)
}

// listEarlier ignores the registration of an earlier start, unless it has stayed: the clock
// of the worker may have gone back between its starts.
func (r record) listEarlier(f Listed, now time.Time) (record, Standing) {
	switch {
	case r.earlierSince.IsZero():
		r.earlierSince = now
	case now.Sub(r.earlierSince) >= outdatedTTL:
		r = record{member: f.member}
		return r, r.standingOf(f.member, now)
	}
	return r, Outdated{}
}

// isOutdated reports whether a registration of the same start is from before the known
// one, or from before the list lost the worker. What a worker says of itself is ordered by
// the sequence number alone, whatever the store's revision says.
func (r record) isOutdated(f Listed, now time.Time) bool {
	isEarlier := f.member.Sequence() < r.member.Sequence()
	isSame := f.member.Sequence() == r.member.Sequence()
	isLive := r.member.Leaving() && !f.member.Leaving()
	if r.unlistedAt.IsZero() || r.member.Leaving() {
		return isEarlier || isSame && isLive
	}
	isFromCopy := isSame && f.era > r.unlistedEra
	return (isEarlier || isFromCopy) && now.Sub(r.unlistedAt) < outdatedTTL
}

func (r record) unlist(f Unlisted, now time.Time) record {
	if r.unlistedAt.IsZero() && r.member.SameIncarnation(f.member) {
		r.unlistedAt, r.unlistedEra = now, f.era
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
		return record{member: member, announcedAt: now, unlistedAt: now}
	case r.announcedAt.IsZero():
		r.announcedAt = now
	}
	return r
}

// standingOf returns the standing of a start of the worker.
func (r record) standingOf(member registrar.Worker, now time.Time) Standing {
	switch {
	case member.StartedBefore(r.member):
		return Outdated{}
	case !r.member.SameIncarnation(member):
		return Open{}
	case !r.announcedAt.IsZero():
		return Leaving{since: r.announcedAt}
	case now.Before(r.unconfirmedUntil):
		return Unconfirmed{until: r.unconfirmedUntil}
	}
	return Open{}
}
