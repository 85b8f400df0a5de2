package retrier

import (
	"math/rand/v2"
	"net/http"
	"time"

	"burdocklane/budgeter"
	"burdocklane/classifier"
)

const (
	// MaxAttempts is the maximum number of attempts of a call, including hedged ones.
	MaxAttempts = 3

	backoffBase = 2 * time.Millisecond
	backoffMax  = 250 * time.Millisecond

	// BudgetShare is the retry budget: the ratio of retries and hedged attempts to calls.
	BudgetShare = 0.1
)

// Decision is what follows an attempt: [Retry] or [Finish].
type Decision interface{ decision() }

// Retry means that another attempt is made after a delay.
type Retry struct{ delay time.Duration }

// Finish means that the call ends with the outcome.
type Finish struct{ outcome Outcome }

func (Retry) decision()  {}
func (Finish) decision() {}

// Delay returns how long to wait before the next attempt.
func (r Retry) Delay() time.Duration { return r.delay }

// Outcome returns the outcome to report to the caller.
func (f Finish) Outcome() Outcome { return f.outcome }

// Outcome is the outcome of a call as reported to the caller: [Forwarded], [NotRun] or
// [Unknown].
type Outcome interface{ outcome() }

// Forwarded means that the worker's response is forwarded.
type Forwarded struct{}

// NotRun means that no worker ran the call.
type NotRun struct{ reason string }

// Unknown means that a worker may have run the call and the outcome is not known.
type Unknown struct{ reason string }

func (Forwarded) outcome() {}
func (NotRun) outcome()    {}
func (Unknown) outcome()   {}

// Reason returns why the call did not run.
func (n NotRun) Reason() string { return n.reason }

// Reason returns why the outcome is not known.
func (u Unknown) Reason() string { return u.reason }

// OutcomeText returns the name of o in logs and responses.
func OutcomeText(o Outcome) string {
	switch o.(type) {
	case Forwarded:
		return "passed"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	}
	return ""
}

// History summarizes the attempts of a call so far. It is immutable.
type History struct {
	attempts   int
	mayHaveRun int
	replayable bool
}

// NewHistory returns the history of a call without attempts. replayable reports
// whether the request body can be sent again.
func NewHistory(replayable bool) History { return History{replayable: replayable} }

// With returns a copy of the history with one more attempt.
func (h History) With(r Result) History {
	h.attempts++
	switch r.(type) {
	case Answered, Lost:
		h.mayHaveRun++
	case Declined, Unsent:
	}
	return h
}

// Attempts returns the number of attempts.
func (h History) Attempts() int { return h.attempts }

// MayHaveRun reports whether any attempt may have run at a worker.
func (h History) MayHaveRun() bool { return h.mayHaveRun > 0 }

// MayHaveRunCount returns the number of attempts that may have run.
func (h History) MayHaveRunCount() int { return h.mayHaveRun }

// Decide returns the decision after the latest result, which h already includes. A call is
// retried only within its attempt limit, its deadline and the retry budget, and only
// if its body is replayable. An at-most-once call is retried only if no attempt can
// have run. A retry is withdrawn from the budget.
func Decide(call *classifier.Call, h History, latest Result, budget *budgeter.AttemptBudget, now time.Time) Decision {
	if !isRetryable(call, latest) || h.attempts >= maxAttempts(call) || !h.replayable {
		return finish(h, latest)
	}
	if h.MayHaveRun() && !call.MayRepeat() {
		return finish(h, latest)
	}
	delay := backoff(h.attempts, latest)
	if !now.Add(delay).Before(call.Deadline()) || !budget.Withdraw() {
		return finish(h, latest)
	}
	return Retry{delay: delay}
}

// maxAttempts returns the attempt limit of the call's class, capped at [MaxAttempts].
func maxAttempts(call *classifier.Call) int {
	if configured := call.Class().MaxAttempts(); configured > 0 {
		return min(configured, MaxAttempts)
	}
	return MaxAttempts
}

// MayHedge reports whether a call with the given number of attempts may have a hedged
// attempt concurrently with the last one.
func MayHedge(call *classifier.Call, replayable bool, attempts int) bool {
	return replayable && call.MayRepeat() && attempts < maxAttempts(call)
}

// isRetryable reports whether another attempt could have a better result. Whether one
// is allowed is up to [Decide].
func isRetryable(call *classifier.Call, latest Result) bool {
	switch r := latest.(type) {
	case Unsent, Declined, Lost:
		return true
	case Answered:
		return isTemporary(r.status) || (r.status == http.StatusInternalServerError && call.Class().RetriesServerErrors())
	}
	return false
}

// isTemporary reports whether the status usually means a temporary failure.
func isTemporary(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// finish returns the decision that ends the call after the latest result.
func finish(h History, latest Result) Decision {
	switch latest.(type) {
	case Answered:
		return Finish{outcome: Forwarded{}}
	case Declined: // If an earlier attempt may have run, forwarding "not run" would be wrong.
		if !h.MayHaveRun() {
			return Finish{outcome: Forwarded{}}
		}
	case Unsent, Lost:
	}
	if h.MayHaveRun() {
		return Finish{outcome: Unknown{reason: "attempt-lost"}}
	}
	return Finish{outcome: NotRun{reason: "unreachable"}}
}

// backoff returns the delay before the next attempt: exponential with full jitter
// (Brooker, "Exponential Backoff And Jitter", 2015). After an unsent attempt, the
// next worker is tried without a delay.
func backoff(attempts int, latest Result) time.Duration {
	if _, ok := latest.(Unsent); ok {
		return 0
	}
	maxDelay := min(backoffBase<<min(attempts, 8), backoffMax)
	return rand.N(maxDelay)
}
