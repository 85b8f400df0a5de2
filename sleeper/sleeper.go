// Package sleeper waits for a time without missing the end of the work.
package sleeper

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for the time, and returns false as soon as the context has ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Backoff returns the pause after a number of failures in a row: exponential from
// the base up to the most, with jitter on its second half.
func Backoff(base, most time.Duration, failures int) time.Duration {
	const doublings = 10 // More would overflow a long base.
	pause := min(base<<min(failures, doublings), most)
	return pause/2 + rand.N(pause/2)
}
