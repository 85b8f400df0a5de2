package retrier

import "sync/atomic"

const (
	// milli is the price of one retry in budget units.
	milli = 1000
	// depositPerCall lets one retry in ten calls.
	depositPerCall = milli / 10
	// budgetMost is the largest number of retries that can be saved up.
	budgetMost = 20 * milli
	// budgetAtStart lets a service with few calls retry at all.
	budgetAtStart = 3 * milli
)

// Budget bounds retries and hedged requests to a share of the calls. It is
// safe for concurrent use.
type Budget struct {
	tokens atomic.Int64
	calls  atomic.Int64
	spent  atomic.Int64
}

// NewBudget returns a budget with a few retries in it.
func NewBudget() *Budget {
	b := &Budget{}
	b.tokens.Store(budgetAtStart)
	return b
}

// Deposit adds what one call earns.
func (b *Budget) Deposit() {
	b.calls.Add(1)
	if b.tokens.Load() < budgetMost {
		b.tokens.Add(depositPerCall)
	}
}

// Withdraw takes the price of one retry, or returns false.
func (b *Budget) Withdraw() bool {
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

// Spent returns how many retries and hedged requests were allowed.
func (b *Budget) Spent() int64 { return b.spent.Load() }

// Calls returns how many calls have paid in.
func (b *Budget) Calls() int64 { return b.calls.Load() }

// Overspent tells whether more was allowed than the calls have earned.
func (b *Budget) Overspent() bool {
	spent := b.Spent() * milli
	return spent > budgetAtStart+b.Calls()*depositPerCall
}
