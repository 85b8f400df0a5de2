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

// When both attempts are answered at the same moment, the one whose answer is
// passed on must not be cancelled for the other's sake: its body may be long.
func TestTheAnswerThatIsPassedOnIsNotCancelled(t *testing.T) {
	tests := []struct {
		name string
		lead time.Duration // Of the first attempt before the hedged one.
	}{
		{"at once", 0},
		{"the first a little earlier", 50 * time.Microsecond},
		{"the hedged one a little earlier", -50 * time.Microsecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := newRig(c, descriptor.Idempotent{}, 3)
			good := retrier.NewAnswered(200)
			for range 5 { // The pool learns how long calls take.
				r.dispatch(context.Background(), func(context.Context, int, *classifier.Call, registrar.Worker) retrier.Result {
					time.Sleep(time.Millisecond)
					return good
				})
			}
			for n := range 30 {
				var contexts [2]context.Context
				hedged, ended := make(chan struct{}), make(chan struct{}, 2)
				verdict := r.dispatcher.Dispatch(context.Background(), classifier.NewHead("id", "GET", "/a"), true,
					func(ctx context.Context, n int, _ *classifier.Call, _ registrar.Worker) retrier.Result {
						contexts[n] = ctx
						if n == 1 {
							defer func() { ended <- struct{}{} }()
							close(hedged)
							time.Sleep(max(test.lead, 0))
							return good
						}
						select {
						case <-hedged:
							time.Sleep(max(-test.lead, 0))
						case <-time.After(30 * time.Millisecond): // No budget for a hedge.
							ended <- struct{}{}
						}
						return good
					})
				<-ended
				time.Sleep(100 * time.Microsecond)
				done, ok := verdict.(dispatcher.Done)
				c.Assert(ok, qt.IsTrue)
				c.Assert(contexts[done.Attempt()].Err(), qt.IsNil, qt.Commentf("call %d, attempt %d", n, done.Attempt()))
				done.Finish(true)
			}
		})
	}
}
