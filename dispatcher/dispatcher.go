package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/asserter"
	"burdocklane/classifier"
	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/publisher"
	"burdocklane/recorder"
	"burdocklane/registrar"
	"burdocklane/retrier"
	"burdocklane/sleeper"

	"github.com/rs/zerolog"
)

// Dispatcher runs calls against the snapshot in force.
type Dispatcher struct {
	publisher *publisher.Publisher
	recorder  *recorder.Recorder
	asserter  *asserter.Asserter
	meter     *meter
	hedging   bool
	inFlight  atomic.Int64
	running   sync.WaitGroup
}

// Option sets one property of a Dispatcher.
type Option func(*Dispatcher)

// WithoutHedging lets no second attempt start beside the first.
func WithoutHedging() Option { return func(d *Dispatcher) { d.hedging = false } }

// New returns a Dispatcher.
func New(p *publisher.Publisher, r *recorder.Recorder, a *asserter.Asserter, opts ...Option) *Dispatcher {
	d := &Dispatcher{publisher: p, recorder: r, asserter: a, meter: newMeter(), hedging: true}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Close waits for the hedged attempts that are still being cancelled. No call
// may be dispatched afterwards.
func (d *Dispatcher) Close() { d.running.Wait() }

// InFlight returns the number of calls that have not been finished.
func (d *Dispatcher) InFlight() int64 { return d.inFlight.Load() }

// Dispatch runs a call; replayable tells whether the front end can send its
// body more than once. If the verdict is Done, the call ends with its Finish.
func (d *Dispatcher) Dispatch(ctx context.Context, head classifier.Head, replayable bool, transmit Transmit) Verdict {
	snapshot := d.publisher.Current()
	if !snapshot.Ready() {
		return Unready{}
	}
	matched, ok := snapshot.Index().Classify(head, time.Now()).(classifier.Matched)
	if !ok {
		return Unmatched{}
	}
	call := matched.Call()
	lane := snapshot.Lane(call.Service().Name())
	lane.Budget().Deposit()
	d.inFlight.Add(1)
	r := &run{d: d, ctx: ctx, lane: lane, call: &call, transmit: transmit, replayable: replayable}
	verdict := r.attempts()
	if _, done := verdict.(Done); !done {
		d.inFlight.Add(-1)
	}
	return verdict
}

// run is one call on its way through the filters.
type run struct {
	d          *Dispatcher
	ctx        context.Context // The caller's.
	lane       *publisher.Lane
	call       *classifier.Call
	transmit   Transmit
	replayable bool
	history    retrier.History
	avoid      []registrar.WorkerID
	numbered   int
}

// attempt is one finished attempt, with its slot still held.
type attempt struct {
	number  int
	granted limiter.Granted
	worker  registrar.Worker
	result  retrier.Result
	start   time.Time
	ctx     context.Context
	cancel  context.CancelFunc
}

// attempts makes one attempt after another until the retrier settles the call.
func (r *run) attempts() Verdict {
	r.history = retrier.NewHistory(r.replayable)
	for {
		admission := r.lane.Pool().Acquire(r.ctx, r.ask())
		granted, ok := admission.(limiter.Granted)
		if !ok {
			return r.refused(admission.(limiter.Refused))
		}
		last := r.race(granted)
		step := retrier.Next(r.call, r.history, last.result, r.lane.Budget(), time.Now())
		switch s := step.(type) {
		case retrier.Settle:
			return r.settle(last, s.Outcome())
		case retrier.Again:
			r.record("again", retrier.Text(last.result), last, 0, time.Since(r.call.Arrival()), last.granted.Seen())
			r.abandon(last)
			if !sleeper.Sleep(r.ctx, s.Delay()) {
				return r.gaveUp("cancelled")
			}
		}
	}
}

func (r *run) ask() limiter.Ask {
	return limiter.NewAsk(r.call.Class().Target().Latency(), r.call.Deadline(),
		limiter.WithCaller(r.call.Caller()), limiter.WithAvoid(r.avoid...)).
		OnTimeUntil(r.onTime())
}

// onTime returns until when an answer has to come to be on time.
func (r *run) onTime() time.Time {
	return r.call.Arrival().Add(r.call.Class().Target().Latency() - linkAllowance)
}

// start begins an attempt with a granted slot.
func (r *run) start(granted limiter.Granted, reason string) *attempt {
	worker := granted.Worker().Member()
	a := &attempt{number: r.numbered, granted: granted, worker: worker, start: time.Now()}
	a.ctx, a.cancel = context.WithCancel(r.ctx)
	r.numbered++
	r.avoid = append(r.avoid, worker.ID())
	r.checkLeaving(granted)
	r.record("send", reason, a, granted.Waited(), 0, granted.Seen())
	return a
}

func (r *run) checkLeaving(granted limiter.Granted) {
	const longest = 3 * time.Second
	leaving := granted.Worker().LeavingFor(r.lane.Pool().Now())
	r.d.asserter.Check(leaving <= longest, asserter.LeavingWorker, func(e *zerolog.Event) {
		e.Str("request-id", r.call.ID()).Str("worker", string(granted.Worker().ID())).Dur("leaving-for", leaving)
	})
}

// send transmits the attempt within the call's deadline. The deadline ends
// with the answer's header: a long body may take longer.
func (r *run) send(a *attempt) {
	timer := time.AfterFunc(time.Until(r.call.Deadline()), a.cancel)
	a.result = r.transmit(a.ctx, a.number, r.call, a.worker)
	timer.Stop()
}

// learn tells the pool what the attempt showed of the worker, and the history
// what it may have done at it.
func (r *run) learn(a *attempt) {
	r.history = r.history.After(a.result)
	r.teach(a)
}

// teach tells the pool what the attempt showed of the worker. An attempt that
// the caller gave up shows nothing.
func (r *run) teach(a *attempt) {
	r.d.meter.attempt(a.result)
	if r.ctx.Err() != nil {
		return
	}
	pool := r.lane.Pool()
	switch result := a.result.(type) {
	case retrier.Answered:
		pool.Answered(a.granted, time.Since(a.start), result.Status() >= leastServerError)
	case retrier.Declined:
		pool.Shed(a.granted, result.RetryAfter())
	case retrier.Unsent:
		pool.Unreachable(a.granted)
	case retrier.Lost:
		pool.Failed(a.granted)
	}
}

// linkAllowance is the part of a target that is spent on the way between caller
// and instance.
const linkAllowance = 15 * time.Millisecond

const leastServerError = 500

// abandon ends an attempt whose answer is not passed on.
func (r *run) abandon(a *attempt) {
	a.cancel()
	a.granted.Release()
}

func (r *run) settle(a *attempt, outcome retrier.Outcome) Verdict {
	took := time.Since(r.call.Arrival())
	r.assertAttempts()
	switch o := outcome.(type) {
	case retrier.Passed:
		r.record("pass", retrier.Text(a.result), a, 0, took, a.granted.Seen())
		_, declined := a.result.(retrier.Declined)
		return Done{attempt: a.number, declined: declined, finish: r.finisher(a)}
	case retrier.NotRun:
		r.abandon(a)
		r.record("refuse", o.Reason(), a, 0, took, a.granted.Seen())
		return r.notRun(o.Reason())
	case retrier.Unknown:
		r.abandon(a)
		r.record("unknown", o.Reason(), a, 0, took, a.granted.Seen())
		r.d.meter.outcome(r.call, "unknown")
		return Unknown{reason: o.Reason()}
	}
	return Unknown{}
}

func (r *run) notRun(reason string) Verdict {
	r.d.asserter.Check(!r.history.MaybeRan(), asserter.NotRun, func(e *zerolog.Event) {
		e.Str("request-id", r.call.ID()).Int("attempts", r.history.Attempts())
	})
	r.d.meter.outcome(r.call, "not-run")
	return NotRun{reason: reason}
}

// assertAttempts checks that nothing ran twice that must not, and that the
// retry budget holds.
func (r *run) assertAttempts() {
	r.d.asserter.Check(r.call.MayRepeat() || r.history.MaybeRanTimes() <= 1, asserter.AtMostOnce, func(e *zerolog.Event) {
		e.Str("request-id", r.call.ID()).Int("attempts", r.history.Attempts())
	})
	r.d.asserter.Check(!r.lane.Budget().Overspent(), asserter.RetryBudget, func(e *zerolog.Event) {
		e.Int64("spent", r.lane.Budget().Spent()).Int64("calls", r.lane.Budget().Calls())
	})
}

func (r *run) finisher(a *attempt) func(bool) {
	return func(whole bool) {
		a.cancel()
		a.granted.Release()
		r.d.inFlight.Add(-1)
		r.d.meter.finished(r.call, time.Since(r.call.Arrival()), a.result, whole)
		if !whole {
			r.record("broken", "transfer-broken", a, 0, time.Since(r.call.Arrival()), a.granted.Seen())
		}
	}
}

// refused ends a call that got no slot. After an attempt that may have run,
// the call is unknown and not refused.
func (r *run) refused(refusal limiter.Refused) Verdict {
	reason := string(refusal.Reason())
	r.d.recorder.Record(recorder.NewDecision(r.call.ID(), time.Now(), "refuse", reason,
		recorder.WithClass(r.call.Service().Name(), r.call.Class().Name()),
		recorder.WithSeen(refusal.Seen()),
		recorder.WithTarget(r.call.Class().Target().Latency()),
		recorder.WithTimes(refusal.Waited(), time.Since(r.call.Arrival()))))
	return r.gaveUp(reason)
}

func (r *run) gaveUp(reason string) Verdict {
	if r.history.MaybeRan() {
		r.d.meter.outcome(r.call, "unknown")
		return Unknown{reason: reason}
	}
	return r.notRun(reason)
}

// serviceLabel returns the labels of a class in metrics.
func serviceLabel(s descriptor.ServiceName, c descriptor.ClassName) string {
	return `service="` + string(s) + `",class="` + string(c) + `"`
}
