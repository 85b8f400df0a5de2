// Package budgeter limits what an instance spends on measuring the state of
// servers, in bytes, and on extra attempts, as a share of the calls.
package budgeter

import (
	"sync/atomic"
	"time"
)

// burstSeconds is how many seconds' worth of unused budget can accumulate.
const burstSeconds = 2

// ByteBudget is a token bucket of bytes. It is safe for concurrent use and does
// not block.
type ByteBudget struct {
	started time.Time
	rate    atomic.Int64 // Bytes per second.
	tokens  atomic.Int64 // Bytes.
	filled  atomic.Int64 // Time until which tokens were added, in nanoseconds since the start.
	earned  atomic.Int64 // Total bytes that the budget has allowed.
	spent   atomic.Int64
	refused atomic.Int64
}

// NewByteBudget returns a token bucket that is refilled at the given rate and initially
// holds one second's worth.
func NewByteBudget(bytesPerSecond int64) *ByteBudget {
	b := &ByteBudget{started: time.Now()}
	b.SetRate(bytesPerSecond)
	return b
}

// SetRate changes the rate at which the bucket is refilled.
func (b *ByteBudget) SetRate(bytesPerSecond int64) {
	b.fill(time.Since(b.started))
	if b.rate.Swap(bytesPerSecond) == 0 {
		b.earned.Add(bytesPerSecond)
		b.tokens.Add(bytesPerSecond)
	}
}

// Spend takes the bytes from the bucket, or returns false if it holds too few.
// The caller must not send what was refused.
func (b *ByteBudget) Spend(bytes int64) bool {
	b.fill(time.Since(b.started))
	for {
		available := b.tokens.Load()
		if available < bytes {
			b.refused.Add(1)
			return false
		}
		if b.tokens.CompareAndSwap(available, available-bytes) {
			b.spent.Add(bytes)
			return true
		}
	}
}

// fill adds the tokens earned since the last call.
func (b *ByteBudget) fill(now time.Duration) {
	last := b.filled.Load()
	rate := b.rate.Load()
	if rate <= 0 {
		return
	}
	earned := int64(float64(int64(now)-last) * float64(rate) / float64(time.Second))
	if earned <= 0 || !b.filled.CompareAndSwap(last, int64(now)) {
		return
	}
	b.earned.Add(earned)
	for {
		available := b.tokens.Load()
		next := min(available+earned, rate*burstSeconds)
		if next <= available || b.tokens.CompareAndSwap(available, next) {
			return
		}
	}
}

// Spent returns the total number of bytes spent.
func (b *ByteBudget) Spent() int64 { return b.spent.Load() }

// Refused returns how many times Spend returned false.
func (b *ByteBudget) Refused() int64 { return b.refused.Load() }

// Exhausted reports whether the bucket holds fewer than the given bytes.
func (b *ByteBudget) Exhausted(bytes int64) bool {
	b.fill(time.Since(b.started))
	return b.tokens.Load() < bytes
}

// Overspent reports whether more was spent than the budget has allowed in
// total.
func (b *ByteBudget) Overspent() bool { return b.Spent() > b.earned.Load() }
