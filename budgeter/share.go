package budgeter

import "sync/atomic"

const (
	// milli is the price of one extra attempt in units of a share.
	milli = 1000
	// shareMost is the largest number of extra attempts that can be saved up.
	shareMost = 20 * milli
	// shareAtStart lets a service with few calls have an extra attempt at all.
	shareAtStart = 3 * milli
)

// Share bounds extra attempts, such as retries, to a share of the calls. It is
// safe for concurrent use.
type Share struct {
	perCall int64
	start   int64
	most    atomic.Int64
	tokens  atomic.Int64
	calls   atomic.Int64
	spent   atomic.Int64
}

// NewShare returns a budget of the given share of calls, 0 to 1, with a few
// extra attempts in it.
func NewShare(share float64) *Share {
	b := &Share{perCall: int64(share * milli), start: shareAtStart}
	b.most.Store(shareMost)
	b.tokens.Store(shareAtStart)
	return b
}

// NewEmptyShare returns a budget of the given share of calls without any extra
// attempts in it, in which none but one is saved up until SetMost allows more.
func NewEmptyShare(share float64) *Share {
	b := &Share{perCall: int64(share * milli)}
	b.most.Store(milli)
	return b
}

// SetMost bounds the extra attempts that can be saved up, at least one.
func (b *Share) SetMost(attempts float64) { b.most.Store(max(int64(attempts*milli), milli)) }

// Deposit adds what one call earns.
func (b *Share) Deposit() {
	b.calls.Add(1)
	for {
		have := b.tokens.Load()
		next := min(have+b.perCall, b.most.Load())
		if next <= have || b.tokens.CompareAndSwap(have, next) {
			return
		}
	}
}

// Withdraw takes the price of one extra attempt, or returns false.
func (b *Share) Withdraw() bool {
	for {
		have := b.tokens.Load()
		if have < milli {
			return false
		}
		if b.tokens.CompareAndSwap(have, have-milli) {
			b.spent.Add(1)
			return true
		}
	}
}

// Spent returns how many extra attempts were allowed.
func (b *Share) Spent() int64 { return b.spent.Load() }

// Calls returns how many calls have paid in.
func (b *Share) Calls() int64 { return b.calls.Load() }

// Overspent tells whether more was allowed than the calls have earned.
func (b *Share) Overspent() bool {
	spent := b.Spent() * milli
	return spent > b.start+b.Calls()*b.perCall
}
