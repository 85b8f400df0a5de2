// Package arbiter lets one instance of a region decide which worker takes each
// call of a service. It alone knows of every call that is under way there, so
// that instances with the same knowledge do not crowd the same worker. Every
// instance is the arbiter of some services. An instance whose arbiter does not
// answer decides for itself.
package arbiter

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/decoder"
	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/publisher"
	"burdocklane/registrar"
	"burdocklane/tracker"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

const (
	// answerTimeout is how long an arbiter may take to answer at all.
	answerTimeout = 20 * time.Millisecond
	// roomTimeout is how much longer it may take if the call waits for room.
	roomTimeout = 60 * time.Millisecond
	// farTimeout is the same for an arbiter of another region.
	farTimeout = 40 * time.Millisecond
	// silenceRest is how long an arbiter that did not answer is not asked.
	silenceRest = 300 * time.Millisecond
	// doneSlack is how long after a call's deadline its slot is held at most.
	doneSlack     = 200 * time.Millisecond
	sweepEvery    = 100 * time.Millisecond
	mostDatagram  = 2 << 10
	receiveBuffer = 256 << 10
)

var (
	askedTotal    = metrics.NewCounter("burdocklane_rulings_asked_total")
	silentTotal   = metrics.NewCounter("burdocklane_rulings_silent_total")
	assignedTotal = metrics.NewCounter(`burdocklane_rulings_given_total{word="assigned"}`)
	deniedTotal   = metrics.NewCounter(`burdocklane_rulings_given_total{word="denied"}`)
)

// Arbiter asks for rulings and gives them.
type Arbiter struct {
	self      registrar.Instance
	hash      uint32
	publisher *publisher.Publisher
	live      func() []registrar.Instance
	log       zerolog.Logger
	socket    *net.UDPConn
	view      atomic.Pointer[view]
	number    atomic.Uint32
	asked     sync.Map // From call number to chan ruling.
	silent    sync.Map // From an instance's hash to the time until which it is not asked.
	granted   sync.Map // From call to *grant.
	ctx       context.Context
	cancel    context.CancelFunc
	running   sync.WaitGroup
}

// grant is a worker's slot that a call of another instance uses. The slot is
// this instance's, or was assigned by the arbiter of another region.
type grant struct {
	pool   *limiter.Pool
	worker *tracker.Worker
	finish func(limiter.Finding)
	until  time.Time
}

// New opens the instance's port for rulings. The function live returns the
// instances of the region that take part.
func New(self registrar.Instance, p *publisher.Publisher, live func() []registrar.Instance, log zerolog.Logger) (*Arbiter, error) {
	address, err := net.ResolveUDPAddr("udp4", self.Rulings())
	if err != nil {
		return nil, errors.Wrap(err, "address for rulings")
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for rulings")
	}
	socket.SetReadBuffer(receiveBuffer) //nolint:errcheck // A smaller buffer serves too.
	ctx, cancel := context.WithCancel(context.Background())
	a := &Arbiter{
		self: self, hash: registrar.Hash(self.ID()), publisher: p, live: live, log: log,
		socket: socket, ctx: ctx, cancel: cancel,
	}
	a.view.Store(&view{})
	a.running.Go(a.receive)
	a.running.Go(a.sweep)
	return a, nil
}

// Close ends the rulings and waits for those under way.
func (a *Arbiter) Close() {
	a.cancel()
	a.socket.Close()
	a.running.Wait()
	a.granted.Range(func(key, _ any) bool {
		a.release(key.(call), limiter.FoundNothing)
		return true
	})
}

func (a *Arbiter) send(message any, to *net.UDPAddr) {
	data, err := decoder.Append(nil, message)
	if err != nil {
		a.log.Error().Err(err).Msg("datagram could not be made")
		return
	}
	if _, err := a.socket.WriteToUDP(data, to); err != nil {
		a.log.Debug().Err(err).Msg("datagram could not be sent")
	}
}

func (a *Arbiter) receive() {
	buffer := make([]byte, mostDatagram)
	for {
		n, from, err := a.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			a.log.Debug().Err(err).Msg("datagram could not be received")
			continue
		}
		message, err := decode(buffer[:n])
		if err != nil {
			a.log.Debug().Err(err).Msg("datagram is not readable")
			continue
		}
		switch m := message.(type) {
		case *ask:
			a.rule(*m, from)
		case *ruling:
			a.answered(*m)
		case *done:
			a.finished(*m)
		}
	}
}

// rule answers an ask of another instance.
func (a *Arbiter) rule(m ask, from *net.UDPAddr) {
	v := a.current()
	lane := v.lanes[m.Service]
	if lane == nil {
		return
	}
	request := lane.ask(m).OnBehalf()
	// A call of another region may go to any worker of this one.
	if place, ok := v.places[m.Call.Asker]; ok && place.Region() == a.self.Place().Region() {
		request = request.From(place)
	}
	granted, decision := lane.pool.Decide(request.Near())
	switch decision.(type) {
	case picker.Send:
		a.assign(m, lane, limiter.NewTaken(granted), from)
		return
	case picker.Refuse:
		a.deny(m, from)
		return
	case picker.Wait:
	}
	if m.Spare {
		a.deny(m, from)
		return
	}
	a.send(ruling{Kind: kindRuling, Word: wordQueued, Call: m.Call}, from)
	a.running.Go(func() { a.assign(m, lane, a.findRoom(a.ctx, lane.pool, request), from) })
}

// assign tells the asker how its call was decided.
func (a *Arbiter) assign(m ask, lane *lane, decided limiter.Ruling, to *net.UDPAddr) {
	start := time.Now()
	g := &grant{pool: lane.pool, until: time.Now().Add(time.Duration(m.LeftMs)*time.Millisecond + doneSlack)}
	switch r := decided.(type) {
	case limiter.Taken:
		g.worker = r.Granted().Worker()
		g.finish = func(f limiter.Finding) {
			lane.pool.Found(r.Granted(), f, time.Since(start))
			r.Granted().Release()
		}
	case limiter.Assigned:
		g.worker, g.finish = r.Worker(), r.Done
	default:
		a.deny(m, to)
		return
	}
	a.granted.Store(m.Call, g)
	assignedTotal.Inc()
	a.send(ruling{
		Kind: kindRuling, Word: wordAssigned, Call: m.Call,
		Worker: registrar.Hash(g.worker.ID()), Load: newLoad(g.worker, lane.pool.Now()),
	}, to)
}

func (a *Arbiter) deny(m ask, to *net.UDPAddr) {
	deniedTotal.Inc()
	a.send(ruling{Kind: kindRuling, Word: wordDenied, Call: m.Call}, to)
}

// finished gives back the slot of a call and learns what the call has shown.
func (a *Arbiter) finished(m done) {
	if found, ok := a.granted.Load(m.Call); ok {
		g := found.(*grant)
		m.Load.learn(g.pool, g.worker)
	}
	a.release(m.Call, limiter.Finding(m.Finding))
}

func (a *Arbiter) release(c call, finding limiter.Finding) {
	if found, ok := a.granted.LoadAndDelete(c); ok {
		found.(*grant).finish(finding)
	}
}

// sweep gives back the slots of calls whose end was never told.
func (a *Arbiter) sweep() {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case now := <-ticker.C:
			a.granted.Range(func(key, value any) bool {
				if now.After(value.(*grant).until) {
					a.release(key.(call), limiter.FoundNothing)
				}
				return true
			})
		}
	}
}
