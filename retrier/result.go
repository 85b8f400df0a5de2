// Package retrier decides what follows an attempt: a retry, a concurrent hedged
// attempt or the outcome of the call.
package retrier

import "time"

// Result is the result of one attempt: [Answered], [Declined], [Unsent] or [Lost].
type Result interface{ result() }

// Answered means that the header of a response has arrived.
type Answered struct{ status int }

// Declined means that the worker rejected the request with a status that guarantees
// that it has not run.
type Declined struct {
	status     int
	retryAfter time.Duration
}

// Unsent means that no byte of the request was written to a worker.
type Unsent struct{ err error }

// Lost means that the request may have reached the worker and that no response
// arrived.
type Lost struct {
	err           error
	callerAtFault bool
}

func (Answered) result() {}
func (Declined) result() {}
func (Unsent) result()   {}
func (Lost) result()     {}

// NewAnswered returns the result of an attempt with a response of the given status.
func NewAnswered(status int) Answered { return Answered{status: status} }

// NewDeclined returns the result of an attempt that the worker rejected; retryAfter is
// zero if the worker gave none.
func NewDeclined(status int, retryAfter time.Duration) Declined {
	return Declined{status: status, retryAfter: retryAfter}
}

// NewUnsent returns the result of an attempt that failed before anything was sent.
func NewUnsent(err error) Unsent { return Unsent{err: err} }

// NewLost returns the result of an attempt that was sent but got no response.
func NewLost(err error) Lost { return Lost{err: err} }

// WithCallerAtFault returns the result of an attempt whose caller did not send the rest of
// its request. It says nothing about the worker.
func (l Lost) WithCallerAtFault() Lost { l.callerAtFault = true; return l }

// IsCallerAtFault reports whether the caller did not send the rest of its request.
func (l Lost) IsCallerAtFault() bool { return l.callerAtFault }

// Status returns the HTTP status or its equivalent in another protocol.
func (a Answered) Status() int { return a.status }

// Status returns the status of the rejection.
func (d Declined) Status() int { return d.status }

// RetryAfter returns how long the worker asked not to be sent requests.
func (d Declined) RetryAfter() time.Duration { return d.retryAfter }

// Err returns why the request could not be sent.
func (u Unsent) Err() error { return u.err }

// Err returns why no response arrived.
func (l Lost) Err() error { return l.err }

// ResultText returns the name of r in logs and metrics.
func ResultText(r Result) string {
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
