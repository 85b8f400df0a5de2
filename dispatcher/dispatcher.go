package dispatcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/asserter"
	"burdocklane/classifier"
	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/publisher"
	"burdocklane/ranker"
	"burdocklane/recorder"
	"burdocklane/registrar"
	"burdocklane/retrier"
	"burdocklane/sleeper"
	"burdocklane/verifier"

	"github.com/rs/zerolog"
)

// Dispatcher runs calls against the active snapshot of the configuration and the
// workers. It is safe for concurrent use.
type Dispatcher struct {
	publisher    *publisher.Publisher
	recorder     *recorder.Recorder
	asserter     *asserter.Asserter
	metrics      *callMetrics
	hedging      bool
	verifier     *verifier.Verifier // Or nil.
	inFlight     atomic.Int64
	stop         atomic.Pointer[stopPlan] // Of a planned stop in progress, or nil.
	activeHedges sync.WaitGroup
}

// Option sets one property of a Dispatcher.
type Option func(*Dispatcher)

// WithoutHedging disables hedged attempts.
func WithoutHedging() Option { return func(d *Dispatcher) { d.hedging = false } }

// New returns a Dispatcher that routes by the snapshots of p, logs decisions to r
// and checks invariants with a.
func New(p *publisher.Publisher, r *recorder.Recorder, a *asserter.Asserter, opts ...Option) *Dispatcher {
	d := &Dispatcher{publisher: p, recorder: r, asserter: a, metrics: newCallMetrics(), hedging: true}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Close waits for the hedged attempts that are still being cancelled. Dispatch
// must not be called afterwards.
func (d *Dispatcher) Close() { d.activeHedges.Wait() }

// InFlight returns the number of calls in flight. A call counts until its result
// is returned or, for [Answered], until Finish is called.
func (d *Dispatcher) InFlight() int64 { return d.inFlight.Load() }

// Dispatch classifies and authenticates a request and runs it as a call, with retries and
// hedging. The configuration that is active at the beginning applies to the whole call.
// replayable reports whether the front end can send the request body more than
// once. If the result is [Answered], the caller must call its Finish.
func (d *Dispatcher) Dispatch(ctx context.Context, request classifier.Request, replayable bool, roundTrip RoundTrip) Result {
	snapshot := d.publisher.Current()
	if !snapshot.Ready() {
		return NotReady{}
	}
	matched, ok := snapshot.Index().Classify(request, time.Now()).(classifier.Matched)
	if !ok {
		return Unmatched{}
	}
	authenticated, ok := d.authenticate(snapshot, request, matched.Call())
	if !ok {
		return Unauthorized{}
	}
	call, inTime := d.stop.Load().limit(authenticated)
	if !inTime {
		return d.rejectLate(&call)
	}
	serviceState := snapshot.ServiceState(call.Service().Name())
	serviceState.Budget().Deposit()
	d.inFlight.Add(1)
	active := &activeCall{dispatcher: d, ctx: ctx, serviceState: serviceState, call: &call, roundTrip: roundTrip, replayable: replayable, constraint: limiter.NewConstraint(call.Regions())}
	answered := false
	defer func() { // Also after a panic.
		if !answered {
			d.inFlight.Add(-1)
		}
	}()
	result := active.runAttempts()
	_, answered = result.(Answered)
	return result
}

// activeCall is the state of one call that is being dispatched.
type activeCall struct {
	dispatcher      *Dispatcher
	ctx             context.Context // Cancelled when the caller disconnects.
	serviceState    *publisher.ServiceState
	call            *classifier.Call
	roundTrip       RoundTrip
	replayable      bool
	history         retrier.History
	triedWorkers    []registrar.WorkerID
	attemptsStarted int
	constraint      limiter.Constraint
	slotRequested   bool                 // At least once.
	rejections      int                  // By the verifier.
	rejectedWorkers []registrar.WorkerID // By the verifier, which are avoided.
	closedWorkers   []registrar.WorkerID // By the verifier, which must not get the call.
}

// attempt is one attempt at a worker. Its slot is released when the attempt is
// discarded or the call is finished.
type attempt struct {
	number    int
	granted   limiter.Granted
	worker    registrar.Worker
	result    retrier.Result
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc
}

// runAttempts makes attempts until the retrier ends the call, no slot is granted
// or the caller disconnects.
func (c *activeCall) runAttempts() Result {
	c.history = retrier.NewHistory(c.replayable)
	for {
		admission := c.serviceState.Pool().Acquire(c.ctx, c.admissionRequest())
		granted, ok := admission.(limiter.Granted)
		if !ok && c.readmitRejected() {
			continue
		}
		if !ok {
			return c.reject(admission.(limiter.Refused))
		}
		if !c.isVerified(granted) {
			continue
		}
		last := c.attemptWithHedge(granted)
		decision := retrier.Decide(c.call, c.history, last.result, c.serviceState.Budget(), time.Now())
		switch s := decision.(type) {
		case retrier.Finish:
			return c.finishCall(last, s.Outcome())
		case retrier.Retry:
			c.recordDecision("again", retrier.ResultText(last.result), last, 0, time.Since(c.call.Arrival()), last.granted.CandidateSummary())
			c.discard(last)
			if !sleeper.Sleep(c.ctx, s.Delay()) {
				return c.giveUp("cancelled")
			}
		}
	}
}

// admissionRequest returns the request for a slot. It names the workers that were
// tried before, so that the limiter avoids them.
func (c *activeCall) admissionRequest() limiter.Request {
	isFirst := !c.slotRequested
	c.slotRequested = true
	return NewAdmissionRequest(c.call, c.constraint, isFirst, slices.Concat(c.triedWorkers, c.closedWorkers, c.rejectedWorkers)...)
}

// NewAdmissionRequest returns the request for a slot for the call. Only the first one of a
// call counts against the rate limit of its tenant.
func NewAdmissionRequest(call *classifier.Call, constraint limiter.Constraint, isFirst bool, avoid ...registrar.WorkerID) limiter.Request {
	return limiter.NewRequest(call.Class().Target().Latency(), call.Deadline(),
		limiter.WithCaller(call.Caller()), limiter.WithAvoid(avoid...), limiter.WithConstraint(constraint),
		limiter.WithPriority(call.Priority()), limiter.WithTimeout(call.Timeout()), limiter.WithTenant(call.Tenant(), isFirst)).
		WithTargetDeadline(targetDeadline(call))
}

// targetDeadline returns the time until which a response from the worker still
// meets the latency target at the caller.
func targetDeadline(call *classifier.Call) time.Time {
	return call.Arrival().Add(call.Class().Target().Latency() - networkAllowance)
}

// startAttempt registers an attempt that uses the granted slot and logs it. It
// does not send anything.
func (c *activeCall) startAttempt(granted limiter.Granted, reason string) *attempt {
	worker := granted.Worker().Member()
	a := &attempt{number: c.attemptsStarted, granted: granted, worker: worker, startedAt: time.Now()}
	a.ctx, a.cancel = context.WithCancel(c.ctx)
	c.attemptsStarted++
	c.triedWorkers = append(c.triedWorkers, worker.ID())
	c.assertNotLeaving(granted)
	c.recordDecision("send", reason, a, granted.Waited(), 0, granted.CandidateSummary())
	return a
}

// assertNotLeaving checks that the worker has not been known to be leaving for
// more than 3 seconds.
func (c *activeCall) assertNotLeaving(granted limiter.Granted) {
	const maxLeaving = 3 * time.Second
	leaving := granted.Worker().LeavingFor(c.serviceState.Pool().Now())
	c.dispatcher.asserter.Check(leaving <= maxLeaving, asserter.LeavingWorker, func(e *zerolog.Event) {
		e.Str("request-id", c.call.ID()).Str("worker", string(granted.Worker().ID())).Dur("leaving-for", leaving)
	})
}

// sendAttempt sends the attempt and waits for its result. The call's deadline
// covers the time up to the response header; the body may take longer.
func (c *activeCall) sendAttempt(a *attempt) {
	timer := time.AfterFunc(time.Until(c.call.Deadline()), a.cancel)
	a.result = c.roundTrip(a.ctx, a.number, c.call, a.worker)
	timer.Stop()
}

// observeResult adds the attempt's result to the call's history and reports it to
// the pool.
func (c *activeCall) observeResult(a *attempt) {
	c.history = c.history.With(a.result)
	c.reportToPool(a)
}

// reportToPool counts the attempt and reports its result to the pool, which tracks
// the worker's health and latency. Attempts that the caller cancelled, or whose body it did
// not send, are not reported: they say nothing about the worker.
func (c *activeCall) reportToPool(a *attempt) {
	c.dispatcher.metrics.countAttempt(a.result)
	if c.ctx.Err() != nil {
		return
	}
	pool := c.serviceState.Pool()
	switch result := a.result.(type) {
	case retrier.Answered:
		pool.RecordAnswer(a.granted, time.Since(a.startedAt), result.Status() >= minServerErrorStatus)
	case retrier.Declined:
		pool.RecordShed(a.granted, result.RetryAfter())
	case retrier.Unsent:
		pool.RecordUnreachable(a.granted)
	case retrier.Lost:
		if !result.IsCallerAtFault() {
			pool.RecordFailure(a.granted)
		}
	}
}

// networkAllowance is the part of the latency target reserved for the network
// between caller and instance.
const networkAllowance = 15 * time.Millisecond

// declinedRetryAfter is when a caller is told to retry after a worker with free slots has
// declined the call: another worker may take it now.
const declinedRetryAfter = 2 * time.Millisecond

// minServerErrorStatus is the first HTTP status that counts as a server error.
const minServerErrorStatus = 500

// discard cancels an attempt whose response is not forwarded and releases its slot.
func (c *activeCall) discard(a *attempt) {
	a.cancel()
	a.granted.Release()
}

// finishCall logs the outcome of the call after its last attempt and returns the
// result for the front end.
func (c *activeCall) finishCall(a *attempt, outcome retrier.Outcome) Result {
	took := time.Since(c.call.Arrival())
	c.assertAttempts()
	switch o := outcome.(type) {
	case retrier.Forwarded:
		c.recordDecision("pass", retrier.ResultText(a.result), a, 0, took, a.granted.CandidateSummary())
		_, declined := a.result.(retrier.Declined)
		answered := Answered{attempt: a.number, declined: declined, cancel: a.cancel, finish: c.finishFunc(a)}
		if declined && c.serviceState.Pool().HasRoom(a.granted.Worker()) {
			answered.retryAfter = declinedRetryAfter
		}
		return answered
	case retrier.NotRun:
		c.discard(a)
		c.recordDecision("refuse", o.Reason(), a, 0, took, a.granted.CandidateSummary())
		return c.notRunResult(o.Reason(), 0)
	case retrier.Unknown:
		c.discard(a)
		c.recordDecision("unknown", o.Reason(), a, 0, took, a.granted.CandidateSummary())
		c.dispatcher.metrics.countOutcome(c.call, "unknown")
		return Unknown{reason: o.Reason()}
	}
	return Unknown{}
}

// notRunResult ends the call as not run, after checking that no attempt can have
// run.
func (c *activeCall) notRunResult(reason string, retryAfter time.Duration) Result {
	c.dispatcher.asserter.Check(!c.history.MayHaveRun(), asserter.NotRun, func(e *zerolog.Event) {
		e.Str("request-id", c.call.ID()).Int("attempts", c.history.Attempts())
	})
	c.dispatcher.metrics.countOutcome(c.call, "not-run")
	return NotRun{reason: reason, retryAfter: retryAfter}
}

// assertAttempts checks that an at-most-once call has at most one attempt that may
// have run, and that the retry budget is not exceeded.
func (c *activeCall) assertAttempts() {
	c.dispatcher.asserter.Check(c.call.MayRepeat() || c.history.MayHaveRunCount() <= 1, asserter.AtMostOnce, func(e *zerolog.Event) {
		e.Str("request-id", c.call.ID()).Int("attempts", c.history.Attempts())
	})
	c.dispatcher.asserter.Check(!c.serviceState.Budget().Overspent(), asserter.RetryBudget, func(e *zerolog.Event) {
		e.Int64("spent", c.serviceState.Budget().Spent()).Int64("calls", c.serviceState.Budget().Calls())
	})
}

// finishFunc returns the function that ends the call once the attempt's response
// has been forwarded or its transfer has failed.
func (c *activeCall) finishFunc(a *attempt) func(bool) {
	return func(complete bool) {
		a.cancel()
		a.granted.Release()
		c.dispatcher.inFlight.Add(-1)
		c.dispatcher.metrics.observeResponse(c.call, time.Since(c.call.Arrival()), a.result, complete)
		if !complete {
			c.recordDecision("broken", "transfer-broken", a, 0, time.Since(c.call.Arrival()), a.granted.CandidateSummary())
		}
	}
}

// reject logs that the limiter granted no slot and ends the call. If an earlier
// attempt may have run, the result is [Unknown] instead of [NotRun].
func (c *activeCall) reject(rejection limiter.Refused) Result {
	reason := string(rejection.Reason())
	c.dispatcher.recorder.Record(recorder.NewDecision(c.call.ID(), time.Now(), "refuse", reason,
		recorder.WithClass(c.call.Service().Name(), c.call.Class().Name()),
		recorder.WithCandidates(rejection.CandidateSummary()),
		recorder.WithTarget(c.call.Class().Target().Latency()),
		recorder.WithTimes(rejection.Waited(), time.Since(c.call.Arrival()))))
	if rejection.Reason() == limiter.ReasonOverLimit && !c.history.MayHaveRun() {
		c.dispatcher.metrics.countOutcome(c.call, "over-limit")
		return OverLimit{retryAfter: rejection.RetryAfter()}
	}
	return c.giveUpWithRetryAfter(reason, c.retryAfter(rejection.RetryAfter()))
}

// retryAfter returns when the caller is told to retry, given the expected wait for a
// slot, or 0 if that is unknown.
func (c *activeCall) retryAfter(wait time.Duration) time.Duration {
	if wait <= 0 {
		return 0
	}
	left := max(c.call.Timeout()-time.Since(c.call.Arrival()), time.Until(c.call.Deadline()))
	return ranker.ReturnAfter(wait, left, rand.Float64())
}

// giveUp ends the call without a response: as unknown if an attempt may have run,
// and otherwise as not run.
func (c *activeCall) giveUp(reason string) Result { return c.giveUpWithRetryAfter(reason, 0) }

// giveUpWithRetryAfter is giveUp for a call that may be served after retryAfter, or 0 if that
// is unknown.
func (c *activeCall) giveUpWithRetryAfter(reason string, retryAfter time.Duration) Result {
	if c.history.MayHaveRun() {
		c.dispatcher.metrics.countOutcome(c.call, "unknown")
		return Unknown{reason: reason}
	}
	return c.notRunResult(reason, retryAfter)
}

// classLabels returns the metric labels of a service's class.
func classLabels(s descriptor.ServiceName, c descriptor.ClassName) string {
	return `service="` + string(s) + `",class="` + string(c) + `"`
}
