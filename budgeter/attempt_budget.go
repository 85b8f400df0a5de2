package budgeter

import "sync/atomic"

const (
	// tokensPerAttempt is the cost of one extra attempt. Tokens are
	// thousandths of an attempt, so that a call can earn a fraction of one.
	tokensPerAttempt = 1000
	// defaultBurst is the maximum number of extra attempts that can accumulate
	// by default.
	defaultBurst = 20 * tokensPerAttempt
	// initialTokens allows extra attempts for a service with few calls.
	initialTokens = 3 * tokensPerAttempt
)

// AttemptBudget limits extra attempts, such as retries, to a share of the calls. It is
// safe for concurrent use.
type AttemptBudget struct {
	perCall int64
	initial int64
	burst   atomic.Int64
	tokens  atomic.Int64
	calls   atomic.Int64
	spent   atomic.Int64
}

// NewAttemptBudget returns a budget of the given share of calls, from 0 to 1, which
// initially holds a few extra attempts.
func NewAttemptBudget(share float64) *AttemptBudget {
	b := &AttemptBudget{perCall: int64(share * tokensPerAttempt), initial: initialTokens}
	b.burst.Store(defaultBurst)
	b.tokens.Store(initialTokens)
	return b
}

// NewEmptyAttemptBudget returns a budget of the given share of calls that is initially
// empty and accumulates at most one extra attempt until its burst is raised.
func NewEmptyAttemptBudget(share float64) *AttemptBudget {
	b := &AttemptBudget{perCall: int64(share * tokensPerAttempt)}
	b.burst.Store(tokensPerAttempt)
	return b
}

// SetBurst sets the maximum number of extra attempts that can accumulate. It is
// at least one.
func (b *AttemptBudget) SetBurst(attempts float64) {
	b.burst.Store(max(int64(attempts*tokensPerAttempt), tokensPerAttempt))
}

// Deposit adds the tokens that one call earns.
func (b *AttemptBudget) Deposit() {
	b.calls.Add(1)
	for {
		available := b.tokens.Load()
		next := min(available+b.perCall, b.burst.Load())
		if next <= available || b.tokens.CompareAndSwap(available, next) {
			return
		}
	}
}

// Withdraw takes the cost of one extra attempt, or returns false if the budget
// does not allow it.
func (b *AttemptBudget) Withdraw() bool {
	for {
		available := b.tokens.Load()
		if available < tokensPerAttempt {
			return false
		}
		if b.tokens.CompareAndSwap(available, available-tokensPerAttempt) {
			b.spent.Add(1)
			return true
		}
	}
}

// Spent returns the number of extra attempts that were allowed.
func (b *AttemptBudget) Spent() int64 { return b.spent.Load() }

// Calls returns the number of calls that were deposited.
func (b *AttemptBudget) Calls() int64 { return b.calls.Load() }

// Overspent reports whether more extra attempts were allowed than the calls
// have earned.
func (b *AttemptBudget) Overspent() bool {
	spent := b.Spent() * tokensPerAttempt
	return spent > b.initial+b.Calls()*b.perCall
}
