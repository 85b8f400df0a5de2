package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"burdocklane/classifier"
	"burdocklane/descriptor"
	"burdocklane/registrar"
	"burdocklane/retrier"

	qt "github.com/frankban/quicktest"
)

// Pattern: requests that come late in a planned stop. Guards against one that is passed
// on and aborted without an answer when the stop ends, and against one that is refused
// although it can be served. The deadline of the class is 2 s.
func TestCallsDuringAPlannedStop(t *testing.T) {
	tests := []struct {
		name     string
		lateFrom time.Duration // From now, as is end.
		end      time.Duration
		want     string
		deadline time.Duration // Of the attempt at most.
	}{
		{"early", time.Second, 5 * time.Second, "done", 2 * time.Second},
		{"early, and the deadline is after the end", time.Second, 1500 * time.Millisecond, "done", 1500 * time.Millisecond},
		{"late, and the deadline is before the end", -time.Second, 3 * time.Second, "done", 2 * time.Second},
		{"late, and the deadline is after the end", -time.Second, 1500 * time.Millisecond, "not-run", 0},
		{"after the end", -2 * time.Second, -time.Second, "not-run", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(c, descriptor.AtMostOnce{}, 1)
			now := time.Now()
			f.dispatcher.Stop(now.Add(test.lateFrom), now.Add(test.end))
			attempts := 0
			got := f.dispatch(context.Background(), func(_ context.Context, _ int, call *classifier.Call, _ registrar.Worker) retrier.Result {
				attempts++
				c.Check(time.Until(call.Deadline()) <= test.deadline, qt.IsTrue, qt.Commentf("%s", time.Until(call.Deadline())))
				return retrier.NewAnswered(200)
			})
			c.Assert(got, qt.Equals, test.want)
			c.Assert(attempts == 1, qt.Equals, test.want == "done")
		})
	}
}
