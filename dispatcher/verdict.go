// Package dispatcher runs a call through the filters: classifier, limiter and
// picker, the front end's sender, retrier, recorder. It knows no wire format,
// so that any front end can use it.
package dispatcher

import (
	"context"

	"burdocklane/classifier"
	"burdocklane/registrar"
	"burdocklane/retrier"
)

// Transmit makes one attempt of a call at a worker. Attempts are numbered from
// 0. It is called from two goroutines at once when a request is hedged.
type Transmit func(ctx context.Context, attempt int, call *classifier.Call, worker registrar.Worker) retrier.Result

// Verdict is what the front end has to tell the caller: Done, NotRun, Unknown
// or Unmatched.
type Verdict interface{ verdict() }

// Done says that an attempt's answer is to be passed on.
type Done struct {
	attempt  int
	declined bool
	finish   func(whole bool)
}

// NotRun says that no worker ran the call.
type NotRun struct{ reason string }

// Unknown says that a worker may have run the call.
type Unknown struct{ reason string }

// Unmatched says that no class matches the request. It has not run.
type Unmatched struct{}

// Unready says that no configuration is in force yet. The call has not run.
type Unready struct{}

func (Done) verdict()      {}
func (NotRun) verdict()    {}
func (Unknown) verdict()   {}
func (Unmatched) verdict() {}
func (Unready) verdict()   {}

// Attempt returns the number of the attempt whose answer is passed on.
func (d Done) Attempt() int { return d.attempt }

// Declined tells whether the worker's answer promises that the call did not
// run.
func (d Done) Declined() bool { return d.declined }

// Finish ends the call: it must be called once, when the answer has been
// passed on, or has broken off before its end.
func (d Done) Finish(whole bool) { d.finish(whole) }

// Reason says why the call did not run.
func (n NotRun) Reason() string { return n.reason }

// Reason says how the answer was lost.
func (u Unknown) Reason() string { return u.reason }
