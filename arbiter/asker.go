package arbiter

import (
	"context"
	"net"
	"slices"
	"time"

	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/registrar"
)

// Decide asks the service's arbiter which worker is to take a call. It is a
// limiter.Decider.
func (a *Arbiter) Decide(ctx context.Context, p *limiter.Pool, request limiter.Ask) limiter.Ruling {
	arbiter := arbiterOf(a.live(), p, a.self)
	if arbiter.ID() == a.self.ID() {
		return a.decideHere(ctx, p, request)
	}
	if a.isSilent(arbiter) {
		return limiter.Undecided{}
	}
	return a.askAt(ctx, p, request, arbiter, answerTimeout)
}

// decideHere decides on a call of this instance.
func (a *Arbiter) decideHere(ctx context.Context, p *limiter.Pool, request limiter.Ask) limiter.Ruling {
	granted, decision := p.Decide(request.Near())
	switch decision.(type) {
	case picker.Send:
		return limiter.NewTaken(granted)
	case picker.Refuse:
		return limiter.Undecided{}
	case picker.Wait:
	}
	if request.Spare() {
		return limiter.Denied{}
	}
	return a.findRoom(ctx, p, request)
}

// findRoom waits for room in the region, and meanwhile asks the arbiter of
// another one for some. Whatever comes first is taken, and the other given back.
func (a *Arbiter) findRoom(ctx context.Context, p *limiter.Pool, request limiter.Ask) limiter.Ruling {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	near := make(chan limiter.Admission, 1)
	a.running.Go(func() { near <- p.AwaitRoom(ctx, request.Near()) })
	far := make(chan limiter.Ruling, 1)
	a.running.Go(func() { far <- a.askFar(ctx, p, request) })
	select {
	case admission := <-near:
		if granted, ok := admission.(limiter.Granted); ok {
			cancel()
			giveBack(<-far)
			return limiter.NewTaken(granted)
		}
		return <-far
	case ruling := <-far:
		assigned, ok := ruling.(limiter.Assigned)
		if ok {
			cancel()
		}
		if granted, ok := (<-near).(limiter.Granted); ok {
			giveBack(ruling)
			return limiter.NewTaken(granted)
		}
		if ok {
			return assigned
		}
		return limiter.Denied{}
	}
}

func giveBack(r limiter.Ruling) {
	if assigned, ok := r.(limiter.Assigned); ok {
		assigned.Done(limiter.FoundNothing)
	}
}

// askFar asks the arbiter of another region for a worker that has room to spare.
func (a *Arbiter) askFar(ctx context.Context, p *limiter.Pool, request limiter.Ask) limiter.Ruling {
	for _, council := range a.current().councils { // In random order.
		council = slices.DeleteFunc(slices.Clone(council), a.isSilent)
		if len(council) > 0 {
			return a.askAt(ctx, p, request.Hurried(), arbiterOf(council, p, council[0]), farTimeout)
		}
	}
	return limiter.Denied{}
}

// askAt asks an arbiter, and waits for its word.
func (a *Arbiter) askAt(ctx context.Context, p *limiter.Pool, request limiter.Ask, arbiter registrar.Instance, timeout time.Duration) limiter.Ruling {
	address, err := net.ResolveUDPAddr("udp4", arbiter.Rulings())
	if err != nil {
		return limiter.Undecided{}
	}
	x := &question{
		arbiter: a, pool: p, from: arbiter, address: address,
		call: call{Asker: a.hash, Number: a.number.Add(1)}, answers: make(chan ruling, 2),
	}
	a.asked.Store(x.call.Number, x)
	defer a.asked.Delete(x.call.Number)
	askedTotal.Inc()
	a.send(newAsk(x.call, p, request), address)
	return x.await(ctx, timeout)
}

// answered hands a ruling to the call that waits for it. A grant that nobody
// waits for is given back when its asker says so, or at its deadline.
func (a *Arbiter) answered(r ruling) {
	if x, ok := a.asked.Load(r.Call.Number); ok && r.Call.Asker == a.hash {
		select {
		case x.(*question).answers <- r:
		default:
		}
	}
}

func (a *Arbiter) isSilent(i registrar.Instance) bool {
	until, ok := a.silent.Load(i.ID())
	return ok && time.Now().Before(until.(time.Time))
}

// arbiterOf returns the instance that decides for the pool's service.
func arbiterOf(instances []registrar.Instance, p *limiter.Pool, fallback registrar.Instance) registrar.Instance {
	if best, ok := registrar.Highest(instances, string(p.Service()), ""); ok {
		return best
	}
	return fallback
}
