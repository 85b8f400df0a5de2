package follower_test

import (
	"testing"
	"testing/synctest"
	"time"

	"burdocklane/follower"
	"burdocklane/storer"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// Guards against an unexpected error in what follows a change, or in the search for a
// relay, that ends the process: the keys are read again.
func TestPanicsDoNotEndTheProcess(t *testing.T) {
	tests := []struct {
		name        string
		inChoice    bool // In the search for the first source, or else in the first change.
		published   int  // The number of calls until one succeeds.
		withinAtAll time.Duration
	}{
		{"in the first change", false, 2, 2 * time.Second},
		{"in the search for a relay", true, 1, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				d := &discoveryFleet{started: time.Now()}
				calls, done := 0, make(chan struct{})
				onChange := func([]storer.Pair, storer.RangeResult) {
					if calls++; calls < test.published {
						panic("odd key")
					}
					close(done)
				}
				choose := func([]storer.Pair, time.Duration) follower.FirstSource {
					if test.inChoice {
						panic("odd entry")
					}
					return follower.FromStore{}
				}
				f := follower.New(d.store(), "", onChange, zerolog.Nop(), follower.WithDiscovery(follower.NewDiscovery("relay", choose)))
				f.Start()
				defer f.Close()
				<-done
				c.Assert(d.waited() <= test.withinAtAll, qt.IsTrue, qt.Commentf("after %s", d.waited()))
			})
		})
	}
}
