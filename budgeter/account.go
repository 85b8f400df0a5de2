// Package budgeter keeps the account of what an instance spends on measuring
// the state of servers.
package budgeter

import (
	"sync/atomic"
	"time"
)

// burstSeconds is how many seconds of the budget can be saved up.
const burstSeconds = 2

// Account is a token bucket of bytes. It is safe for concurrent use and does
// not block.
type Account struct {
	started time.Time
	rate    atomic.Int64 // Bytes per second.
	tokens  atomic.Int64 // Bytes.
	filled  atomic.Int64 // Nanoseconds since the start up to which tokens were added.
	earned  atomic.Int64 // All that the budget has ever allowed.
	spent   atomic.Int64
	refused atomic.Int64
}

// New returns an Account of the given bytes per second, with one second's
// worth in it.
func New(bytesPerSecond int64) *Account {
	a := &Account{started: time.Now()}
	a.SetRate(bytesPerSecond)
	return a
}

// SetRate changes the budget.
func (a *Account) SetRate(bytesPerSecond int64) {
	a.fill(time.Since(a.started))
	if a.rate.Swap(bytesPerSecond) == 0 {
		a.earned.Add(bytesPerSecond)
		a.tokens.Add(bytesPerSecond)
	}
}

// Spend takes the bytes out of the account, or returns false if there are not
// enough. What was refused must not be sent.
func (a *Account) Spend(bytes int64) bool {
	a.fill(time.Since(a.started))
	for {
		have := a.tokens.Load()
		if have < bytes {
			a.refused.Add(1)
			return false
		}
		if a.tokens.CompareAndSwap(have, have-bytes) {
			a.spent.Add(bytes)
			return true
		}
	}
}

// fill adds the tokens that have been earned since the last call.
func (a *Account) fill(now time.Duration) {
	last := a.filled.Load()
	rate := a.rate.Load()
	if rate <= 0 {
		return
	}
	earned := int64(float64(int64(now)-last) * float64(rate) / float64(time.Second))
	if earned <= 0 || !a.filled.CompareAndSwap(last, int64(now)) {
		return
	}
	a.earned.Add(earned)
	for {
		have := a.tokens.Load()
		next := min(have+earned, rate*burstSeconds)
		if next <= have || a.tokens.CompareAndSwap(have, next) {
			return
		}
	}
}

// Spent returns the bytes spent since the start.
func (a *Account) Spent() int64 { return a.spent.Load() }

// Refused returns how often there was not enough in the account.
func (a *Account) Refused() int64 { return a.refused.Load() }

// Exhausted tells whether there is less in the account than the bytes.
func (a *Account) Exhausted(bytes int64) bool {
	a.fill(time.Since(a.started))
	return a.tokens.Load() < bytes
}

// Overspent tells whether more was spent than the budget has ever allowed.
func (a *Account) Overspent() bool { return a.Spent() > a.earned.Load() }
