package dispatcher

import (
	"context"
	"time"

	"burdocklane/limiter"
	"burdocklane/retrier"
)

// race makes an attempt, and a hedged one beside it when the first is late.
// It returns the attempt to decide on, with its slot held; the loser is
// cancelled and gives its slot back when it ends.
func (r *run) race(ctx context.Context, granted limiter.Granted) *attempt {
	first := r.start(ctx, granted, r.reason(granted))
	delay, ok := retrier.HedgeDelay(r.call, r.replayable, r.lane.Pool().Mean())
	if !ok || !r.d.hedging || r.numbered >= retrier.MostAttempts {
		r.send(first)
		r.learn(first)
		return first
	}
	finished := make(chan *attempt, retrier.MostAttempts)
	r.launch(first, finished)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case a := <-finished:
		r.learn(a)
		return a
	case <-timer.C:
	}
	second := r.hedge(ctx)
	if second == nil {
		a := <-finished
		r.learn(a)
		return a
	}
	r.launch(second, finished)
	return r.winner(first, second, finished)
}

func (r *run) reason(granted limiter.Granted) string {
	switch {
	case r.numbered > 0:
		return "retry"
	case granted.Borrowed():
		return "borrowed-slot"
	case granted.Overflowed():
		return "overflow"
	case granted.Waited() > 0:
		return "waited-for-slot"
	}
	return "free-slot"
}

func (r *run) launch(a *attempt, finished chan<- *attempt) {
	r.d.running.Go(func() {
		r.send(a)
		finished <- a
	})
}

// hedge takes a free slot at another worker, if there is one and the budget
// allows it. A hedged request never waits.
func (r *run) hedge(ctx context.Context) *attempt {
	granted, ok := r.lane.Pool().TryAcquire(r.ask())
	if !ok {
		return nil
	}
	if !r.lane.Budget().Withdraw() {
		granted.Release()
		return nil
	}
	r.d.meter.hedges.Inc()
	return r.start(ctx, granted, "hedge")
}

// winner returns the first attempt of two that was answered, or the last one.
func (r *run) winner(first, second *attempt, finished <-chan *attempt) *attempt {
	a := <-finished
	r.learn(a)
	other := first
	if a == first {
		other = second
	}
	if answered(a) {
		r.dropLater(other, finished)
		return a
	}
	<-finished
	r.learn(other)
	if answered(other) {
		r.abandon(a)
		return other
	}
	r.abandon(other)
	return a
}

func answered(a *attempt) bool {
	_, ok := a.result.(retrier.Answered)
	return ok
}

// dropLater cancels an attempt in flight and gives its slot back when it ends.
func (r *run) dropLater(a *attempt, finished <-chan *attempt) {
	a.cancel()
	r.d.running.Go(func() {
		<-finished
		a.granted.Release()
	})
}
