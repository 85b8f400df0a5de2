package arbiter

import (
	"context"
	"net"
	"time"

	"burdocklane/limiter"
	"burdocklane/registrar"
	"burdocklane/tracker"
)

func newAsk(c call, p *limiter.Pool, request limiter.Ask) ask {
	m := ask{
		Kind: kindAsk, Spare: request.Spare(), Second: request.IsSecond(), Call: c, Service: registrar.Hash(p.Service()),
		TargetMs: milliseconds(request.Target()),
		OnTimeMs: milliseconds(time.Until(request.OnTime())),
		LeftMs:   milliseconds(time.Until(request.Deadline())),
	}
	for i, id := range request.Avoided() {
		if i < avoidMost {
			m.Avoid[i] = registrar.Hash(id)
		}
	}
	return m
}

// question is an ask that is under way.
type question struct {
	arbiter *Arbiter
	pool    *limiter.Pool
	from    registrar.Instance
	address *net.UDPAddr
	call    call
	answers chan ruling // One that the call waits, and one how it ends.
}

// await waits for the arbiter's word. A call that no longer waits tells so, in
// case the word is still under way.
func (x *question) await(ctx context.Context, timeout time.Duration) limiter.Ruling {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case r := <-x.answers:
			switch r.Word {
			case wordQueued:
				timer.Reset(roomTimeout)
				continue
			case wordAssigned:
				return x.assigned(r)
			}
			return limiter.Denied{}
		case <-ctx.Done():
			x.withdraw()
			return limiter.Denied{}
		case <-timer.C:
			x.noteSilence()
			x.withdraw()
			return limiter.Undecided{}
		}
	}
}

// withdraw gives back what may have been assigned meanwhile.
func (x *question) withdraw() {
	x.arbiter.send(done{Kind: kindDone, Call: x.call}, x.address)
}

func (x *question) noteSilence() {
	silentTotal.Inc()
	x.arbiter.silent.Store(x.from.ID(), time.Now().Add(silenceRest))
	x.arbiter.log.Info().Str("arbiter", string(x.from.ID())).Str("service", string(x.pool.Service())).Msg("arbiter did not answer")
}

// assigned finds the worker that the arbiter names.
func (x *question) assigned(r ruling) limiter.Ruling {
	var worker *tracker.Worker
	if lane := x.arbiter.current().lanes[registrar.Hash(x.pool.Service())]; lane != nil {
		worker = lane.byHash[r.Worker]
	}
	if worker == nil || worker.LeavingFor(x.pool.Now()) > 0 {
		x.withdraw()
		return limiter.Undecided{}
	}
	r.Load.learn(x.pool, worker)
	return limiter.NewAssigned(worker, func(f limiter.Finding) {
		m := done{Kind: kindDone, Finding: uint8(f), Call: r.Call, Worker: r.Worker}
		if report, ok := worker.Report(); ok && !report.IsHeard() {
			m.Load = newLoad(worker, x.pool.Now())
		}
		x.arbiter.send(m, x.address)
	})
}
