package charger

import (
	"math"
	"sync/atomic"
	"time"

	"burdocklane/granter"
)

const (
	// reserve is the number of tokens that a scheduler keeps of a tenant without calls, so
	// that its next call finds one.
	reserve = 2
	// horizon is the time for whose calls a holder wants tokens: two requests to the owner
	// and a lost one.
	horizon = 500 * time.Millisecond
	// deviations is for how many standard deviations more calls than expected a holder wants
	// tokens, if calls come at random times.
	deviations = 2
	// riseWeight and fallWeight are the weights of a new sample in the moving average of a
	// tenant's calls, which rises fast and falls slowly.
	riseWeight = 0.5
	fallWeight = 0.1
	// askAgainInterval is the time between two requests for the reserve of a tenant without
	// calls. After maxRequests, or maxRequestsWithToken if it has one, none is made until its
	// next call: quiet tenants cost no messages.
	askAgainInterval     = time.Second
	maxRequests          = 10
	maxRequestsWithToken = 3
	// returnFactor times what a holder wants is what it keeps of a tenant's tokens.
	returnFactor = 1.5
	// grantRateTime is the seconds of the grant rate, which is an integer: small limits grant
	// less than a token a second.
	grantRateTime = 1000
	// unknown is the value of known while the owner may know something else.
	unknown = -1
)

// account holds a tenant's tokens. Calls use the atomic fields; the others belong to the
// one that exchanges messages with the owner.
type account struct {
	tenant    uint32
	period    atomic.Pointer[period]
	balance   balance
	calls     atomic.Int64 // Since the last request.
	refused   atomic.Int64 // Since the last reply.
	exhausted atomic.Bool  // The tenant has used up its limit, as the owner last said.
	grantRate atomic.Int64 // Tokens that the owner grants in grantRateTime; a moving average.
	granted   atomic.Int64 // When the owner last granted tokens.

	place    int // Index in the order of accounts.
	capacity float64
	rate     float64       // Calls a second.
	known    int           // The balance that the owner knows, or unknown.
	reported int           // The balance in the last request that had the tenant.
	wanted   int           // Tokens that the holder would have.
	asked    time.Duration // When the last request had the tenant.
	requests int           // Requests that had the tenant since its last call.
}

// period is the time between two reports of an account's balance to the owner. A token that
// was used in it can be given back in it.
type period struct {
	account *account
	number  uint32
}

// newAccount returns an account without tokens. The first request may have it at once.
func newAccount(tenant uint32) *account {
	a := &account{tenant: tenant, known: unknown, asked: -askAgainInterval}
	a.beginPeriod()
	return a
}

// beginPeriod begins a period, and returns the tokens at that moment.
func (a *account) beginPeriod() (tokens int64) {
	number, tokens := a.balance.beginPeriod()
	a.period.Store(&period{account: a, number: number})
	return tokens
}

// void drops all tokens.
func (a *account) void() {
	a.period.Store(&period{account: a, number: a.balance.void()})
}

// take uses a token. It returns the period in which it can be given back, or nil, and how
// many tokens are left; and false if there was none.
func (a *account) take() (p *period, left int64, ok bool) {
	p = a.period.Load()
	left, number, ok := a.balance.take()
	if p.number != number { // A period is just beginning.
		p = nil
	}
	return p, left, ok
}

// observe updates the rate of the tenant's calls, and what the holder wants.
func (a *account) observe(elapsed time.Duration, isScheduler bool) (calls int64) {
	calls = a.calls.Swap(0)
	weight := fallWeight
	sample := float64(calls) / max(elapsed, time.Millisecond).Seconds()
	if sample > a.rate {
		weight = riseWeight
	}
	a.rate += weight * (sample - a.rate)
	expected := a.rate * horizon.Seconds()
	a.wanted = int(math.Round(expected + deviations*math.Sqrt(expected)))
	if isScheduler {
		a.wanted += reserve
	}
	a.wanted = min(a.wanted, math.MaxUint16)
	return calls
}

// giveBack reduces the balance to what the holder wants if it is much more. The owner
// learns of it by the next request.
func (a *account) giveBack() {
	if float64(a.balance.tokens()) > returnFactor*float64(a.wanted) {
		a.balance.reduce(int64(a.wanted))
	}
}

// due says whether the next request has to have a tenant: notDue, dueForReserve or dueForCalls,
// which goes first.
type due int

const (
	notDue due = iota
	dueForReserve
	dueForCalls
)

// due returns whether the next request has to have the tenant, which got so many calls since
// the last one.
func (a *account) due(now time.Duration, calls int64) due {
	if calls > 0 {
		a.requests = 0
	}
	balance := int(a.balance.tokens())
	limit := maxRequests
	if balance > 0 {
		limit = maxRequestsWithToken
	}
	changed := balance != a.known && (balance > 0 || a.known > 0)
	switch {
	case !changed && balance >= a.wanted:
		return notDue
	case changed || calls > 0:
		return dueForCalls
	case a.requests < limit && now-a.asked >= askAgainInterval:
		return dueForReserve
	}
	return notDue
}

// demand begins a period and returns the demand for the next request.
func (a *account) demand(now time.Duration) granter.Demand {
	a.reported = int(min(a.beginPeriod(), math.MaxUint16))
	a.known, a.asked = unknown, now
	a.requests++
	return granter.NewDemand(a.tenant, a.reported, a.wanted)
}

// apply adds the tokens that the owner granted for the last request.
func (a *account) apply(now, elapsed time.Duration, g granter.Grant) {
	a.balance.add(g.Tokens())
	a.known = a.reported + g.Tokens()
	a.exhausted.Store(g.IsExhausted())
	a.refused.Store(0)
	if g.Tokens() > 0 {
		a.granted.Store(int64(now))
	}
	grantRate := float64(g.Tokens()) / max(elapsed, time.Millisecond).Seconds() * grantRateTime
	a.grantRate.Store(int64((float64(a.grantRate.Load()) + grantRate) / 2))
}

// retryAfter estimates when a token will be there for the caller that is refused now.
func (a *account) retryAfter(random float64) time.Duration {
	perSecond := max(float64(a.grantRate.Load())/grantRateTime, 1/maxRetryAfter.Seconds())
	wait := float64(a.refused.Load()+1) / perSecond * (0.5 + random)
	return min(max(time.Duration(wait*float64(time.Second)), minRetryAfter), maxRetryAfter)
}
