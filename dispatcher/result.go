// Package dispatcher runs a call through the filter pipeline: classifier, limiter and
// picker, the front end's sender, retrier, recorder. It does not depend on a wire
// format, so any front end can use it.
package dispatcher

import (
	"context"
	"time"

	"burdocklane/classifier"
	"burdocklane/registrar"
	"burdocklane/retrier"
)

// RoundTrip makes one attempt of a call at a worker. Attempts are numbered from 0. It
// must be safe for concurrent use: the two attempts of a hedged call run in
// parallel.
type RoundTrip func(ctx context.Context, attempt int, call *classifier.Call, worker registrar.Worker) retrier.Result

// Result is the result of dispatching a call, for the front end to send to the
// caller: [Answered], [NotRun], [Unknown], [Unmatched], [Unauthorized], [OverLimit] or
// [NotReady].
type Result interface{ result() }

// Answered means that the response of an attempt is to be forwarded.
type Answered struct {
	attempt  int
	declined bool
	// retryAfter is when the caller of a declined call is told to retry, or 0.
	retryAfter time.Duration
	cancel     func()
	finish     func(complete bool)
}

// NotRun means that no worker ran the call.
type NotRun struct {
	reason     string
	retryAfter time.Duration
}

// OverLimit means that the call is beyond the rate limit of its tenant. It has not run.
type OverLimit struct{ retryAfter time.Duration }

// Unauthorized means that the request carries no API key that is in force. It has not run.
type Unauthorized struct{}

// Unknown means that a worker may have run the call and the outcome is not known.
type Unknown struct{ reason string }

// Unmatched means that no class matches the request. It has not run.
type Unmatched struct{}

// NotReady means that no configuration is active yet. The call has not run.
type NotReady struct{}

func (Answered) result()     {}
func (NotRun) result()       {}
func (OverLimit) result()    {}
func (Unknown) result()      {}
func (Unmatched) result()    {}
func (Unauthorized) result() {}
func (NotReady) result()     {}

// Attempt returns the number of the attempt whose response is to be forwarded.
func (a Answered) Attempt() int { return a.attempt }

// Declined reports whether the worker's response guarantees that the call did not
// run.
func (a Answered) Declined() bool { return a.declined }

// RetryAfter returns when the caller of a declined call is told to retry, or 0 if that is
// unknown.
func (a Answered) RetryAfter() time.Duration { return a.retryAfter }

// Cancel ends the transfer of the response, whose body then cannot be read further.
// Finish must still be called.
func (a Answered) Cancel() { a.cancel() }

// Finish ends the call and releases its slot. It must be called exactly once, after
// the response has been forwarded; complete is false if the transfer failed before
// the end.
func (a Answered) Finish(complete bool) { a.finish(complete) }

// Reason returns why the call did not run.
func (n NotRun) Reason() string { return n.reason }

// RetryAfter returns when the caller may expect to be served, or 0 if that is unknown.
func (n NotRun) RetryAfter() time.Duration { return n.retryAfter }

// RetryAfter returns when the limit admits calls of the tenant again.
func (o OverLimit) RetryAfter() time.Duration { return o.retryAfter }

// Reason returns why no response arrived.
func (u Unknown) Reason() string { return u.reason }
