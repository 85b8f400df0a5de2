package retrier_test

import (
	"testing"
	"time"

	"burdocklane/budgeter"
	"burdocklane/classifier"
	"burdocklane/descriptor"
	"burdocklane/retrier"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func newCall(r descriptor.CallSemantics, now time.Time) *classifier.Call {
	class := descriptor.NewClass("c", descriptor.WithCallSemantics(r))
	service := descriptor.NewService("s", []descriptor.Class{class}, nil)
	call := classifier.NewCall("id", &service, &service.Classes()[0], now, now.Add(time.Second))
	return &call
}

func TestNext(t *testing.T) {
	tests := []struct {
		name     string
		repeat   descriptor.CallSemantics
		result   retrier.Result
		streamed bool
		want     string
	}{
		{"at-most-once is retried if nothing was sent", descriptor.AtMostOnce{}, retrier.NewUnsent(nil), false, "again"},
		{"at-most-once is retried if the worker declined", descriptor.AtMostOnce{}, retrier.NewDeclined(503, 0), false, "again"},
		{"at-most-once is not retried after a lost attempt", descriptor.AtMostOnce{}, retrier.NewLost(nil), false, "unknown"},
		{"at-most-once is not retried after a 503", descriptor.AtMostOnce{}, retrier.NewAnswered(503), false, "passed"},
		{"idempotent is retried after a lost attempt", descriptor.Idempotent{}, retrier.NewLost(nil), false, "again"},
		{"idempotent is retried after a 503", descriptor.Idempotent{}, retrier.NewAnswered(503), false, "again"},
		{"idempotent is not retried after a 500", descriptor.Idempotent{}, retrier.NewAnswered(500), false, "passed"},
		{"a streamed body is not retried", descriptor.Idempotent{}, retrier.NewLost(nil), true, "unknown"},
		{"a streamed body that was never sent did not run", descriptor.Idempotent{}, retrier.NewUnsent(nil), true, "not-run"},
		{"a response is forwarded", descriptor.AtMostOnce{}, retrier.NewAnswered(200), false, "passed"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(0, 0)
			history := retrier.NewHistory(!test.streamed).With(test.result)
			decision := retrier.Decide(newCall(test.repeat, now), history, test.result, budgeter.NewAttemptBudget(retrier.BudgetShare), now)
			c.Assert(decisionText(decision), qt.Equals, test.want)
		})
	}
}

func decisionText(d retrier.Decision) string {
	switch d := d.(type) {
	case retrier.Retry:
		return "again"
	case retrier.Finish:
		return retrier.OutcomeText(d.Outcome())
	}
	return ""
}

// Whatever the results of its attempts, an at-most-once call has at most one attempt
// that may have run, and a call that may have run is never reported as not run.
func TestRandomHistoriesKeepAtMostOnceAndNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		var repeat descriptor.CallSemantics = descriptor.AtMostOnce{}
		if rapid.Bool().Draw(t, "idempotent") {
			repeat = descriptor.Idempotent{}
		}
		call := newCall(repeat, now)
		budget := budgeter.NewAttemptBudget(retrier.BudgetShare)
		history := retrier.NewHistory(rapid.Bool().Draw(t, "replayable"))
		ran := 0
		for {
			result := rapid.SampledFrom([]retrier.Result{
				retrier.NewAnswered(200), retrier.NewAnswered(503), retrier.NewDeclined(503, 0),
				retrier.NewUnsent(nil), retrier.NewLost(nil),
			}).Draw(t, "result")
			switch result.(type) {
			case retrier.Answered, retrier.Lost:
				ran++
			}
			history = history.With(result)
			finish, done := retrier.Decide(call, history, result, budget, now).(retrier.Finish)
			if !done {
				continue
			}
			if _, notRun := finish.Outcome().(retrier.NotRun); notRun && ran > 0 {
				t.Fatalf("reported as not run after %d attempts that may have run", ran)
			}
			break
		}
		if !call.MayRepeat() && ran > 1 {
			t.Fatalf("an at-most-once call may have run %d times", ran)
		}
		if history.Attempts() > retrier.MaxAttempts || budget.Overspent() {
			t.Fatalf("%d attempts, budget overspent: %v", history.Attempts(), budget.Overspent())
		}
	})
}
