package arbiter

import (
	"context"
	"net"
	"time"

	"burdocklane/limiter"
	"burdocklane/registrar"
	"burdocklane/tracker"
)

// Decide asks the service's arbiter which worker is to take a call. It is a
// limiter.Decider.
func (a *Arbiter) Decide(ctx context.Context, p *limiter.Pool, request limiter.Ask) limiter.Ruling {
	arbiter := a.arbiterOf(string(p.Service()))
	if arbiter.ID() == a.self.ID() || a.isSilent(arbiter) {
		return limiter.Undecided{}
	}
	address, err := net.ResolveUDPAddr("udp4", arbiter.Rulings())
	if err != nil {
		return limiter.Undecided{}
	}
	c := call{Asker: a.hash, Number: a.number.Add(1)}
	answers := make(chan ruling, 2) // One that the call waits, and one how it ends.
	a.asked.Store(c.Number, answers)
	defer a.asked.Delete(c.Number)
	askedTotal.Inc()
	a.send(newAsk(c, p, request), address)
	return a.await(ctx, c, p, request, arbiter, address, answers)
}

func newAsk(c call, p *limiter.Pool, request limiter.Ask) ask {
	m := ask{
		Kind: kindAsk, Spare: request.Spare(), Call: c, Service: hashOf(p.Service()),
		TargetMs: milliseconds(request.Target()),
		OnTimeMs: milliseconds(time.Until(request.OnTime())),
		LeftMs:   milliseconds(time.Until(request.Deadline())),
	}
	for i, id := range request.Avoided() {
		if i < avoidMost {
			m.Avoid[i] = hashOf(id)
		}
	}
	return m
}

// await waits for the arbiter's word. A call that no longer waits tells so, in
// case the word is still under way.
func (a *Arbiter) await(ctx context.Context, c call, p *limiter.Pool, request limiter.Ask, arbiter registrar.Instance, address *net.UDPAddr, answers <-chan ruling) limiter.Ruling {
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	for {
		select {
		case r := <-answers:
			switch r.Word {
			case wordQueued:
				timer.Reset(roomTimeout)
				continue
			case wordAssigned:
				return a.assigned(r, p, address)
			}
			return limiter.Denied{}
		case <-ctx.Done():
			a.send(done{Kind: kindDone, Call: c}, address)
			return limiter.Denied{}
		case <-timer.C:
			silentTotal.Inc()
			a.silent.Store(arbiter.ID(), time.Now().Add(silenceRest))
			a.log.Info().Str("arbiter", string(arbiter.ID())).Str("service", string(p.Service())).Msg("arbiter did not answer; deciding alone")
			a.send(done{Kind: kindDone, Call: c}, address)
			return limiter.Undecided{}
		}
	}
}

// assigned finds the worker that the arbiter names.
func (a *Arbiter) assigned(r ruling, p *limiter.Pool, address *net.UDPAddr) limiter.Ruling {
	var worker *tracker.Worker
	if lane := a.current().lanes[hashOf(p.Service())]; lane != nil {
		worker = lane.byHash[r.Worker]
	}
	if worker == nil || worker.LeavingFor(p.Now()) > 0 {
		a.send(done{Kind: kindDone, Call: r.Call}, address)
		return limiter.Undecided{}
	}
	r.Load.learn(p, worker)
	return limiter.NewAssigned(worker, func(f limiter.Finding) {
		m := done{Kind: kindDone, Finding: uint8(f), Call: r.Call, Worker: r.Worker}
		if report, ok := worker.Report(); ok && !report.IsHeard() {
			m.Load = newLoad(worker, p.Now())
		}
		a.send(m, address)
	})
}

// answered hands a ruling to the call that waits for it. A grant that nobody
// waits for is given back when its asker says so, or at its deadline.
func (a *Arbiter) answered(r ruling) {
	if answers, ok := a.asked.Load(r.Call.Number); ok && r.Call.Asker == a.hash {
		select {
		case answers.(chan ruling) <- r:
		default:
		}
	}
}

func (a *Arbiter) isSilent(i registrar.Instance) bool {
	until, ok := a.silent.Load(i.ID())
	return ok && time.Now().Before(until.(time.Time))
}

// arbiterOf returns the live instance with the highest hash for the service
// (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
// 1998).
func (a *Arbiter) arbiterOf(service string) registrar.Instance {
	best, bestScore := a.self, uint32(0)
	for _, instance := range a.live() {
		if score := hashOf(service + "/" + string(instance.ID())); score >= bestScore {
			best, bestScore = instance, score
		}
	}
	return best
}
