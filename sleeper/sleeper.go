// Package sleeper waits for a time without missing the end of the work.
package sleeper

import (
	"context"
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
