package granter

import "time"

// Times that holders and owners agree on.
const (
	// VoteLife is how long a holder that has voted for an owner votes for no other one.
	VoteLife = 700 * time.Millisecond
	// TokenLife is how long a holder may use its tokens after it sent the last request that
	// was answered. It outlasts the change to another owner.
	TokenLife = 2 * time.Second
	// TouchLife is how long after the last answer of a confirmed owner a holder may lend
	// its part of the rates to one that is not confirmed.
	TouchLife = 2 * time.Second
)

// Stamp is a moment of an owner's process. The zero value is none.
type Stamp struct {
	epoch uint32
	at    time.Duration
}

// NewStamp returns the stamp of the process with the epoch, at a time of its clock.
func NewStamp(epoch uint32, at time.Duration) Stamp { return Stamp{epoch: epoch, at: at} }

// Epoch identifies the owner's process.
func (s Stamp) Epoch() uint32 { return s.epoch }

// At returns the time since the process started.
func (s Stamp) At() time.Duration { return s.at }

// Demand is what a holder has of a tenant's tokens, and how many it would have.
type Demand struct {
	tenant uint32
	held   int
	wanted int
}

// NewDemand returns the demand for tokens of the tenant whose name has the hash.
func NewDemand(tenant uint32, held, wanted int) Demand {
	return Demand{tenant: tenant, held: held, wanted: wanted}
}

// Tenant returns the hash of the tenant's name.
func (d Demand) Tenant() uint32 { return d.tenant }

// Held returns the number of tokens that the holder has.
func (d Demand) Held() int { return d.held }

// Wanted returns the number of tokens that the holder would have.
func (d Demand) Wanted() int { return d.wanted }

// Request is a holder's request for tokens, and its vote.
type Request struct {
	holder  uint32
	process uint32
	number  uint32
	stamp   Stamp
	votes   bool
	inTouch bool
	settled bool
	demands []Demand
}

// RequestOption configures a Request.
type RequestOption func(*Request)

// WithVote makes the request a vote for the owner. stamp is that of the owner's last reply.
// inTouch says that a confirmed owner answered the holder within TouchLife, and settled
// that the holder had not changed its owner within a window of the tolerance before.
func WithVote(stamp Stamp, inTouch, settled bool) RequestOption {
	return func(r *Request) { r.votes, r.stamp, r.inTouch, r.settled = true, stamp, inTouch, settled }
}

// WithDemands sets the tenants whose tokens the owner does not know right, or lacks.
func WithDemands(demands []Demand) RequestOption {
	return func(r *Request) { r.demands = demands }
}

// NewRequest returns a request of the holder, whose process numbers its requests from 1.
func NewRequest(holder, process, number uint32, opts ...RequestOption) Request {
	r := Request{holder: holder, process: process, number: number}
	for _, opt := range opts {
		opt(&r)
	}
	return r
}

// Holder returns the hash of the holder's ID.
func (r Request) Holder() uint32 { return r.holder }

// Process identifies the holder's process.
func (r Request) Process() uint32 { return r.process }

// Number returns the number of the request, which grows.
func (r Request) Number() uint32 { return r.number }

// Stamp returns the stamp of the owner's last reply to the holder.
func (r Request) Stamp() Stamp { return r.stamp }

// Votes reports whether the holder votes for the owner. Without a vote, the request only
// asks whether the owner is there.
func (r Request) Votes() bool { return r.votes }

// InTouch reports whether a confirmed owner answered the holder lately.
func (r Request) InTouch() bool { return r.inTouch }

// Settled reports whether the holder had not changed its owner for a window before.
func (r Request) Settled() bool { return r.settled }

// Demands returns the demands. The caller must not modify the slice.
func (r Request) Demands() []Demand { return r.demands }

// Grant gives a holder tokens of a tenant.
type Grant struct {
	tenant    uint32
	tokens    int
	exhausted bool
}

// NewGrant returns a grant, which may be of no tokens. exhausted says that the tenant has
// used up its limit.
func NewGrant(tenant uint32, tokens int, exhausted bool) Grant {
	return Grant{tenant: tenant, tokens: tokens, exhausted: exhausted}
}

// Tenant returns the hash of the tenant's name.
func (g Grant) Tenant() uint32 { return g.tenant }

// Tokens returns the number of tokens.
func (g Grant) Tokens() int { return g.tokens }

// IsExhausted reports whether the tenant has used up its limit.
func (g Grant) IsExhausted() bool { return g.exhausted }

// Reply answers a request.
type Reply struct {
	owner     uint32
	number    uint32
	stamp     Stamp
	confirmed bool
	grants    []Grant
}

// NewReply returns the owner's reply to the request with the number. A confirmed owner has
// the votes of most coordinators.
func NewReply(owner, number uint32, stamp Stamp, confirmed bool, grants []Grant) Reply {
	return Reply{owner: owner, number: number, stamp: stamp, confirmed: confirmed, grants: grants}
}

// Owner returns the hash of the owner's ID.
func (r Reply) Owner() uint32 { return r.owner }

// Number returns the number of the request.
func (r Reply) Number() uint32 { return r.number }

// Stamp returns the moment at which the owner replied.
func (r Reply) Stamp() Stamp { return r.stamp }

// Confirmed reports whether the owner has the votes of most coordinators.
func (r Reply) Confirmed() bool { return r.confirmed }

// Grants returns a grant for each demand. The caller must not modify the slice.
func (r Reply) Grants() []Grant { return r.grants }
