package informer

import (
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// tell sends the council what this instance has learnt itself since the last
// time. The other instances are only told that this one lives.
func (i *Informer) tell(v *view) {
	var records []record
	for _, t := range v.targets {
		if r, ok := t.news(); ok {
			records = append(records, r)
		}
	}
	quiet := i.now()-i.toldAt >= quietMost
	if quiet {
		i.toldAt = i.now()
		i.send(nil, v.rest...)
	}
	if len(records) > 0 || quiet {
		i.send(records, v.council...)
	}
}

// tellFar tells a peer of another region how far the store is.
func (i *Informer) tellFar(v *view) {
	if len(v.far) > 0 {
		i.send(nil, v.far[rand.IntN(len(v.far))])
	}
}

func (i *Informer) send(records []record, peers ...peer) {
	data, err := encode(i.hash, i.news.revision(), records)
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
		i.news.behind(from.Revision)
		i.hear(from.Sender, records)
	}
}

func (i *Informer) hear(sender uint32, records []record) {
	at, ok := i.heard.Load(sender)
	if !ok {
		at, _ = i.heard.LoadOrStore(sender, &atomic.Int64{})
	}
	at.(*atomic.Int64).Store(int64(i.now()))
	v := i.view.Load()
	for _, r := range records {
		if t := v.byHash[r.Worker]; t != nil {
			t.hear(sender, r)
		}
	}
}
