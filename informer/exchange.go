package informer

import (
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// tell sends what this instance has learnt itself since the last time to those
// of the council that it concerns. Before quietMost is over, the council and the
// others in reach are told that this instance lives.
func (i *Informer) tell(v *view) {
	quiet := i.now()-i.toldAt >= quietMost
	if quiet {
		i.toldAt = i.now()
		i.tellRest(v)
	}
	told := gather(v, i.duties)
	for _, p := range v.council {
		if records := concerning(told, p.hash); len(records) > 0 || quiet {
			i.send(records, p)
		}
	}
}

// tellRest tells instances that are not in the council which members of it live.
func (i *Informer) tellRest(v *view) {
	var alive []record
	for _, p := range i.duties.live {
		if at, ok := i.heard.Load(p.hash); ok {
			alive = append(alive, peerRecord(p.hash, i.now()-time.Duration(at.(*atomic.Int64).Load())))
		}
	}
	i.send(alive, v.inReach(i.self.Place().Zone(), i.duties.live)...)
}

// tellFar tells a peer of another region how far the store is.
func (i *Informer) tellFar(v *view) {
	if len(v.far) > 0 {
		i.send(nil, v.far[rand.IntN(len(v.far))])
	}
}

func (i *Informer) send(records []record, peers ...peer) {
	data, err := encode(i.hash, max(i.news.revision(), i.known.Load()), records)
	if err != nil {
		i.log.Error().Err(err).Msg("datagram could not be made")
		return
	}
	for _, p := range peers {
		if _, err := i.socket.WriteToUDP(data, p.address); err != nil {
			i.log.Debug().Err(err).Msg("datagram could not be sent")
			continue
		}
		sentTotal.Inc()
	}
}

func (i *Informer) receive() {
	buffer := make([]byte, mostDatagram)
	for {
		n, _, err := i.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			i.log.Debug().Err(err).Msg("datagram could not be received")
			continue
		}
		receivedTotal.Inc()
		from, records, err := decode(buffer[:n])
		if err != nil {
			i.log.Debug().Err(err).Msg("datagram is not readable")
			continue
		}
		i.hear(from, records)
	}
}

func (i *Informer) hear(from header, records []record) {
	i.news.behind(from.Revision)
	raise(&i.known, from.Revision)
	now := i.now()
	i.heardAt(from.Sender, now)
	v := i.view.Load()
	for _, r := range records {
		if r.Flags&flagPeer != 0 {
			i.heardAt(r.Worker, now-time.Duration(r.AgeMs)*time.Millisecond)
			continue
		}
		if t := v.byHash[r.Worker]; t != nil {
			t.hear(from.Sender, r)
		}
	}
}

// heardAt notes when a peer was heard.
func (i *Informer) heardAt(peer uint32, at time.Duration) {
	last, ok := i.heard.Load(peer)
	if !ok {
		last, _ = i.heard.LoadOrStore(peer, &atomic.Int64{})
	}
	raise(last.(*atomic.Int64), int64(at))
}

// raise sets a value that only grows.
func raise(value *atomic.Int64, to int64) {
	for {
		old := value.Load()
		if old >= to || value.CompareAndSwap(old, to) {
			return
		}
	}
}
