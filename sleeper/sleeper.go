// Package sleeper provides a sleep that a context can cancel, and the backoff
// between retries.
package sleeper

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d and returns true, or returns false as soon as the context is
// done.
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

// Backoff returns the pause after a number of consecutive failures. It grows
// exponentially from base up to maxPause, with jitter on its second half.
func Backoff(base, maxPause time.Duration, failures int) time.Duration {
	const doublings = 10 // More would overflow a long base.
	pause := min(base<<min(failures, doublings), maxPause)
	return pause/2 + rand.N(pause/2)
}
