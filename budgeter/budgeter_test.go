package budgeter_test

import (
	"sync"
	"testing"

	"burdocklane/budgeter"

	"pgregory.net/rapid"
)

// Concurrent spending never exceeds what was earned.
func TestNeverOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(0, 100_000).Draw(t, "rate")
		bytes := budgeter.NewByteBudget(rate)
		attempts := budgeter.NewAttemptBudget(rapid.Float64Range(0, 1).Draw(t, "share"))
		price := rapid.Int64Range(1, 5_000).Draw(t, "price")
		var spenders sync.WaitGroup
		for range 4 {
			spenders.Go(func() {
				for n := range 50 {
					bytes.Spend(price)
					if n == 25 {
						bytes.SetRate(rate / 2)
					}
					attempts.Deposit()
					attempts.Withdraw()
					attempts.Withdraw()
				}
			})
		}
		spenders.Wait()
		if bytes.Overspent() {
			t.Fatalf("%d bytes were spent at %d a second", bytes.Spent(), rate)
		}
		if attempts.Overspent() {
			t.Fatalf("%d extra attempts for %d calls", attempts.Spent(), attempts.Calls())
		}
	})
}
