package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"burdocklane/classifier"
	"burdocklane/descriptor"
	"burdocklane/dispatcher"
	"burdocklane/registrar"
	"burdocklane/retrier"

	qt "github.com/frankban/quicktest"
)

// When both attempts are answered at nearly the same time, the one whose response is
// forwarded must not be cancelled in favour of the other: its body may still be in
// transfer.
func TestForwardedResponseIsNotCancelled(t *testing.T) {
	tests := []struct {
		name string
		lead time.Duration // How much earlier the first attempt is answered than the hedged one.
	}{
		{"at the same time", 0},
		{"first attempt slightly earlier", 50 * time.Microsecond},
		{"hedged attempt slightly earlier", -50 * time.Microsecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(c, descriptor.Idempotent{}, 3)
			success := retrier.NewAnswered(200)
			for range 5 { // Establishes the mean latency.
				f.dispatch(context.Background(), func(context.Context, int, *classifier.Call, registrar.Worker) retrier.Result {
					time.Sleep(time.Millisecond)
					return success
				})
			}
			for n := range 30 {
				var contexts [2]context.Context
				hedged, ended := make(chan struct{}), make(chan struct{}, 2)
				result := f.dispatcher.Dispatch(context.Background(), classifier.NewRequest("id", "GET", "/a"), true,
					func(ctx context.Context, n int, _ *classifier.Call, _ registrar.Worker) retrier.Result {
						contexts[n] = ctx
						if n == 1 {
							defer func() { ended <- struct{}{} }()
							close(hedged)
							time.Sleep(max(test.lead, 0))
							return success
						}
						select {
						case <-hedged:
							time.Sleep(max(-test.lead, 0))
						case <-time.After(30 * time.Millisecond): // Not hedged: the retry budget is exhausted.
							ended <- struct{}{}
						}
						return success
					})
				<-ended
				time.Sleep(100 * time.Microsecond)
				done, ok := result.(dispatcher.Answered)
				c.Assert(ok, qt.IsTrue)
				c.Assert(contexts[done.Attempt()].Err(), qt.IsNil, qt.Commentf("call %d, attempt %d", n, done.Attempt()))
				done.Finish(true)
			}
		})
	}
}
