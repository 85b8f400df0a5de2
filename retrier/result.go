// Package retrier decides what follows an attempt: another attempt, a hedged
// one beside it, or the call's outcome.
package retrier

import "time"

// Result is what became of one attempt: Answered, Declined, Unsent or Lost.
type Result interface{ result() }

// Answered carries the status of an answer whose header has arrived.
type Answered struct{ status int }

// Declined is a worker's answer that promises, by its contract, "not run".
type Declined struct {
	status     int
	retryAfter time.Duration
}

// Unsent says that no byte of the request was written to a worker.
type Unsent struct{ err error }

// Lost says that the request may have reached the worker and that no answer
// came.
type Lost struct{ err error }

func (Answered) result() {}
func (Declined) result() {}
func (Unsent) result()   {}
func (Lost) result()     {}

// NewAnswered returns the result of an answer with the status.
func NewAnswered(status int) Answered { return Answered{status: status} }

// NewDeclined returns the result of a refusal; retryAfter is zero if the
// worker named no time.
func NewDeclined(status int, retryAfter time.Duration) Declined {
	return Declined{status: status, retryAfter: retryAfter}
}

// NewUnsent returns the result of an attempt that failed before it was sent.
func NewUnsent(err error) Unsent { return Unsent{err: err} }

// NewLost returns the result of an attempt whose answer did not come.
func NewLost(err error) Lost { return Lost{err: err} }

// Status returns the HTTP status or its equivalent in another protocol.
func (a Answered) Status() int { return a.status }

// Status returns the status of the refusal.
func (d Declined) Status() int { return d.status }

// RetryAfter returns the time that the worker asked to be left alone.
func (d Declined) RetryAfter() time.Duration { return d.retryAfter }

// Err returns why the request could not be sent.
func (u Unsent) Err() error { return u.err }

// Err returns how the attempt broke.
func (l Lost) Err() error { return l.err }

// Text returns the word for r in logs.
func Text(r Result) string {
	switch r.(type) {
	case Answered:
		return "answered"
	case Declined:
		return "declined"
	case Unsent:
		return "unsent"
	case Lost:
		return "lost"
	}
	return ""
}
