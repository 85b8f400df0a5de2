package retrier

import (
	"math/rand/v2"
	"net/http"
	"time"

	"burdocklane/budgeter"
	"burdocklane/classifier"
)

const (
	// MostAttempts bounds the attempts of a call, hedged ones included.
	MostAttempts = 3

	backoffBase = 2 * time.Millisecond
	backoffMost = 250 * time.Millisecond

	// BudgetShare is the share of calls that may be retried or hedged.
	BudgetShare = 0.1
)

// Step is what follows an attempt: Again or Settle.
type Step interface{ step() }

// Again asks for another attempt after a delay.
type Again struct{ delay time.Duration }

// Settle ends the call with the outcome.
type Settle struct{ outcome Outcome }

func (Again) step()  {}
func (Settle) step() {}

// Delay returns how long to wait before the next attempt.
func (a Again) Delay() time.Duration { return a.delay }

// Outcome returns what the caller is to be told.
func (s Settle) Outcome() Outcome { return s.outcome }

// Outcome is what the caller is told: Passed, NotRun or Unknown.
type Outcome interface{ outcome() }

// Passed hands the worker's own answer on.
type Passed struct{}

// NotRun says that no worker ran the call.
type NotRun struct{ reason string }

// Unknown says that a worker may have run the call.
type Unknown struct{ reason string }

func (Passed) outcome()  {}
func (NotRun) outcome()  {}
func (Unknown) outcome() {}

// Reason says why the call did not run.
func (n NotRun) Reason() string { return n.reason }

// Reason says how the answer was lost.
func (u Unknown) Reason() string { return u.reason }

// OutcomeText returns the word for o in logs and answers.
func OutcomeText(o Outcome) string {
	switch o.(type) {
	case Passed:
		return "passed"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	}
	return ""
}

// History sums up the attempts of a call so far.
type History struct {
	attempts   int
	maybeRan   int
	replayable bool
}

// NewHistory returns the history of a call that has had no attempt; replayable
// tells whether its body can be sent again.
func NewHistory(replayable bool) History { return History{replayable: replayable} }

// After returns the history with one more attempt.
func (h History) After(r Result) History {
	h.attempts++
	switch r.(type) {
	case Answered, Lost:
		h.maybeRan++
	case Declined, Unsent:
	}
	return h
}

// Attempts returns the number of attempts.
func (h History) Attempts() int { return h.attempts }

// MaybeRan tells whether any attempt may have run at a worker.
func (h History) MaybeRan() bool { return h.maybeRan > 0 }

// MaybeRanTimes returns how many attempts may have run.
func (h History) MaybeRanTimes() int { return h.maybeRan }

// Next decides what follows the latest result, which h includes. An
// at-most-once call is tried again only if no attempt can have run. A retry is
// taken from the budget.
func Next(call *classifier.Call, h History, latest Result, budget *budgeter.Share, now time.Time) Step {
	if !wantsRetry(call, latest) || h.attempts >= mostAttempts(call) || !h.replayable {
		return settle(h, latest)
	}
	if h.MaybeRan() && !call.MayRepeat() {
		return settle(h, latest)
	}
	delay := backoff(h.attempts, latest)
	if !now.Add(delay).Before(call.Deadline()) || !budget.Withdraw() {
		return settle(h, latest)
	}
	return Again{delay: delay}
}

// mostAttempts is the class's own bound, up to MostAttempts.
func mostAttempts(call *classifier.Call) int {
	if own := call.Class().Attempts(); own > 0 {
		return min(own, MostAttempts)
	}
	return MostAttempts
}

// MayHedge tells whether a call that has had the given number of attempts may
// have one beside the last.
func MayHedge(call *classifier.Call, replayable bool, attempts int) bool {
	return replayable && call.MayRepeat() && attempts < mostAttempts(call)
}

// wantsRetry tells whether another attempt could do better. Whether it may be
// made is for Next to say.
func wantsRetry(call *classifier.Call, latest Result) bool {
	switch r := latest.(type) {
	case Unsent, Declined, Lost:
		return true
	case Answered:
		return temporary(r.status) || (r.status == http.StatusInternalServerError && call.Class().RetriesServerErrors())
	}
	return false
}

func temporary(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func settle(h History, latest Result) Step {
	switch latest.(type) {
	case Answered:
		return Settle{outcome: Passed{}}
	case Declined: // A refusal would hide that an earlier attempt may have run.
		if !h.MaybeRan() {
			return Settle{outcome: Passed{}}
		}
	case Unsent, Lost:
	}
	if h.MaybeRan() {
		return Settle{outcome: Unknown{reason: "attempt-lost"}}
	}
	return Settle{outcome: NotRun{reason: "unreachable"}}
}

// backoff is exponential with full jitter (Brooker, "Exponential Backoff And
// Jitter", 2015). An unsent attempt goes to another worker at once.
func backoff(attempts int, latest Result) time.Duration {
	if _, ok := latest.(Unsent); ok {
		return 0
	}
	most := min(backoffBase<<min(attempts, 8), backoffMost)
	return rand.N(most)
}
