// Package granter decides how many calls of each tenant the schedulers may admit, so that
// all instances together keep to the tenant's rate limit.
//
// One coordinator, the owner, has a token bucket for each limited tenant and grants tokens
// to the schedulers, the holders, ahead of their calls. Holders vote for one owner at a
// time, and the part of the rates that an owner grants follows from its votes. So two
// owners that do not know of each other never grant more than the limit together.
package granter

import (
	"slices"
	"time"

	"burdocklane/apportioner"
)

// reservedTime is how long an owner leaves the part of a coordinator that has stopped to
// vote for it: it may be lent to another owner until then.
const reservedTime = TouchLife + VoteLife

// Terms are the coordinators and limits in force.
type Terms struct {
	members []uint32
	parts   func(tenant uint32) (apportioner.Parts, bool)
}

// NewTerms returns the terms for the coordinators with the hashes. parts returns the parts
// of a tenant's limit, and false if there is no limit.
func NewTerms(members []uint32, parts func(tenant uint32) (apportioner.Parts, bool)) Terms {
	return Terms{members: members, parts: parts}
}

// Owner answers the requests of holders. It is not safe for concurrent use.
type Owner struct {
	id        uint32
	epoch     uint32
	holders   map[uint32]*holder
	buckets   map[uint32]*bucket
	authority authority
	updated   time.Duration // When minted was brought up to date.
	minted    time.Duration // The time for which tokens were added, times the authority's share.
	confirmed bool
	since     time.Duration // When the owner was confirmed.
	lapsesAt  time.Duration // When it is not any more, unless votes are renewed.
	initial   bool          // Whether buckets get the initial tokens.
}

// holder is what the owner knows of a holder.
type holder struct {
	process   uint32        // Identifies the holder's process.
	number    uint32        // Of its last request.
	voteUntil time.Duration // When its vote runs out.
	heldUntil time.Duration // When its tokens are void.
	repliedAt time.Duration // When the last request with a vote was answered.
	inTouch   bool          // See Request.InTouch.
	settled   bool          // See Request.Settled.
}

// authority is the part of the rates that the owner may grant for a while.
type authority struct {
	share   float64
	until   time.Duration // When the first of its votes runs out.
	members int           // The number of coordinators.
	missing int           // Coordinators that may have tokens which the owner does not know of.
}

// New returns an owner without votes. The epoch tells its process from earlier ones.
func New(id, epoch uint32) *Owner {
	return &Owner{id: id, epoch: epoch, holders: map[uint32]*holder{}, buckets: map[uint32]*bucket{}}
}

// Confirmed reports whether the owner has the votes of most coordinators, as of the last
// request.
func (o *Owner) Confirmed() bool { return o.confirmed }

// Share returns the part of the rates that the owner grants.
func (o *Owner) Share() float64 { return o.authority.share }

// Handle answers a request at a time since the start of the process. It returns false if
// the request is older than one that was answered.
func (o *Owner) Handle(now time.Duration, r Request, t Terms) (Reply, bool) {
	o.mint(now)
	o.forget(now)
	o.confirmed = o.confirmed && now < o.lapsesAt
	if !r.Votes() {
		o.updateAuthority(now, t.members)
		return NewReply(o.id, r.Number(), NewStamp(o.epoch, now), o.confirmed, nil), true
	}
	if !o.record(now, r) {
		return Reply{}, false
	}
	o.updateAuthority(now, t.members)
	grants := make([]Grant, 0, len(r.Demands()))
	for _, d := range r.Demands() {
		grants = append(grants, o.grant(now, r.Holder(), d, t))
	}
	return NewReply(o.id, r.Number(), NewStamp(o.epoch, now), o.confirmed, grants), true
}

// mint adds up the time for which tokens are due, by the authority since the last request.
func (o *Owner) mint(now time.Duration) {
	valid := max(min(now, o.authority.until)-o.updated, 0)
	o.minted += time.Duration(o.authority.share * float64(valid))
	o.updated = now
}

// forget drops holders whose tokens have expired. Their tokens count as used: whether they
// were is not known.
func (o *Owner) forget(now time.Duration) {
	for id, h := range o.holders {
		if h.heldUntil > now || h.repliedAt+reservedTime > now {
			continue
		}
		delete(o.holders, id)
		o.dropEntries(id)
	}
}

// dropEntries forgets what the holder has and wants of all tenants.
func (o *Owner) dropEntries(holder uint32) {
	for _, b := range o.buckets {
		delete(b.entries, holder)
	}
}

// record stores the holder's vote and demands. It returns false if the request is old.
func (o *Owner) record(now time.Duration, r Request) bool {
	h := o.holders[r.Holder()]
	if h == nil {
		h = &holder{process: r.Process()}
		o.holders[r.Holder()] = h
	}
	switch {
	case h.process != r.Process():
		o.dropEntries(r.Holder())
	case r.Number() <= h.number:
		return false
	}
	h.process, h.number = r.Process(), r.Number()
	h.heldUntil, h.repliedAt = now+TokenLife, now
	h.inTouch, h.settled = r.InTouch(), r.Settled()
	// The holder sent its vote after it got the reply with the stamp.
	if r.Stamp().Epoch() == o.epoch && r.Stamp().At() <= now {
		h.voteUntil = max(h.voteUntil, r.Stamp().At()+VoteLife)
	}
	return true
}

// updateAuthority derives the authority from the votes that are valid now.
func (o *Owner) updateAuthority(now time.Duration, members []uint32) {
	ends := make([]time.Duration, 0, len(members))
	settled, inTouch := true, 0
	for _, m := range members {
		h := o.holders[m]
		if h == nil || h.voteUntil <= now {
			continue
		}
		ends = append(ends, h.voteUntil)
		settled = settled && h.settled
		if h.inTouch {
			inTouch++
		}
	}
	slices.Sort(ends)
	votes := len(ends)
	if votes == 0 {
		o.confirmed, o.authority = false, authority{}
		return
	}
	o.confirm(now, 2*votes > len(members), settled)
	if !o.confirmed {
		usable := inTouch
		if 2*votes == len(members) { // Nobody else can be confirmed.
			usable = votes
		}
		o.authority = authority{share: part(usable, members), until: ends[0], members: len(members)}
		return
	}
	o.lapsesAt = ends[votes-len(members)/2-1]
	unreserved := votes + o.countUnreserved(now, members)
	o.authority = authority{
		share: part(unreserved, members), until: ends[0],
		members: len(members), missing: len(members) - unreserved,
	}
}

// part returns the part of the rates that belongs to so many of the coordinators.
func part(count int, members []uint32) float64 {
	if len(members) == 0 {
		return 0
	}
	return float64(count) / float64(len(members))
}

// confirm updates whether the owner is confirmed. What its buckets hold from an earlier time
// is void then: another owner may have granted tokens since.
func (o *Owner) confirm(now time.Duration, confirmed, settled bool) {
	if confirmed && !o.confirmed {
		o.since, o.initial = now, settled
		for _, b := range o.buckets {
			b.level, b.isNew = 0, true
		}
	}
	o.confirmed = confirmed
}

// countUnreserved returns the number of coordinators without a vote whose part of the rates
// nobody else may grant any more.
func (o *Owner) countUnreserved(now time.Duration, members []uint32) int {
	count := 0
	for _, m := range members {
		replied := o.since
		if h := o.holders[m]; h != nil {
			if h.voteUntil > now {
				continue
			}
			replied = max(replied, h.repliedAt)
		}
		if replied+reservedTime <= now {
			count++
		}
	}
	return count
}

// grant answers one demand.
func (o *Owner) grant(now time.Duration, holder uint32, d Demand, t Terms) Grant {
	parts, limited := t.parts(d.Tenant())
	if !limited {
		delete(o.buckets, d.Tenant())
		return NewGrant(d.Tenant(), 0, false)
	}
	b := o.buckets[d.Tenant()]
	if b == nil {
		b = &bucket{minted: o.minted, entries: map[uint32]*entry{}, isNew: true}
		o.buckets[d.Tenant()] = b
	}
	if b.isNew && o.confirmed && o.initial {
		b.level = parts.Initial()
	}
	b.isNew = b.isNew && !o.confirmed
	b.record(holder, d)
	maxPart := parts.HeldByOne(o.authority.members)
	capacity := o.capacity(now, parts, maxPart)
	b.refill(o.minted, parts, capacity)
	tokens, exhausted := b.grant(holder, min(parts.Held(), capacity), maxPart)
	// A new owner's buckets are empty, which says nothing of the calls before.
	knows := o.confirmed && now-o.since >= TokenLife
	return NewGrant(d.Tenant(), tokens, knows && exhausted)
}

// capacity returns the owner's part of the capacity. For a while, coordinators that don't
// vote for a new owner may have tokens of an earlier one.
func (o *Owner) capacity(now time.Duration, p apportioner.Parts, maxPart float64) float64 {
	capacity := p.Capacity() * o.authority.share
	if o.confirmed && now < o.since+TokenLife {
		unknown := min(maxPart*float64(o.authority.missing), p.Held())
		return min(capacity, p.Capacity()-unknown)
	}
	return capacity
}
