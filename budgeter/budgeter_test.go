package budgeter_test

import (
	"sync"
	"testing"

	"burdocklane/budgeter"

	"pgregory.net/rapid"
)

// However many spend at once, no more is spent than was earned.
func TestNeverOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(0, 100_000).Draw(t, "rate")
		account := budgeter.New(rate)
		share := budgeter.NewShare(rapid.Float64Range(0, 1).Draw(t, "share"))
		price := rapid.Int64Range(1, 5_000).Draw(t, "price")
		var spenders sync.WaitGroup
		for range 4 {
			spenders.Go(func() {
				for n := range 50 {
					account.Spend(price)
					if n == 25 {
						account.SetRate(rate / 2)
					}
					share.Deposit()
					share.Withdraw()
					share.Withdraw()
				}
			})
		}
		spenders.Wait()
		if account.Overspent() {
			t.Fatalf("%d bytes were spent at %d a second", account.Spent(), rate)
		}
		if share.Overspent() {
			t.Fatalf("%d extra attempts for %d calls", share.Spent(), share.Calls())
		}
	})
}
