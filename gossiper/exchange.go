package gossiper

import (
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"burdocklane/recoverer"
	"burdocklane/storer"

	"github.com/go-faster/errors"
)

// sendUpdates sends what this instance has observed since the last time to the
// coordinators that need it. Once per heartbeatInterval, it sends a heartbeat to
// every coordinator, without records if need be, and the liveness of the
// coordinators to other instances. Coordinators get the revision that this instance
// has read itself: one that is heard would go round among them for good.
func (i *Gossiper) sendUpdates(v *view) {
	heartbeat := i.now()-i.heartbeatAt >= heartbeatInterval
	if heartbeat {
		i.heartbeatAt = i.now()
		i.sendLiveness(v)
	}
	updates := collectUpdates(v, i.roleTable)
	for _, p := range v.coordinators {
		if records := recordsFor(updates, p.hash); len(records) > 0 || heartbeat {
			i.send(i.hooks.current(), records, p)
		}
	}
}

// sendLiveness sends to instances that are no coordinators when this instance last
// received something from each live coordinator. They pass no revision on, and may also
// get a revision that this instance has only heard: if the store refuses the whole
// zone, they read from other zones at once.
func (i *Gossiper) sendLiveness(v *view) {
	var records []record
	for _, p := range i.roleTable.live {
		if at, ok := i.lastSeen.Load(p.hash); ok {
			records = append(records, peerRecord(p.hash, i.now()-time.Duration(at.(*atomic.Int64).Load())))
		}
	}
	revision := storer.LatestRevision(i.hooks.current(), i.heardRevision())
	i.send(revision, records, v.livenessRecipients(i.self.Locality().Zone(), i.roleTable.live)...)
}

// sendRevision sends the revision that this instance has read to a random peer of
// another region.
func (i *Gossiper) sendRevision(v *view) {
	if len(v.remote) > 0 {
		i.send(i.hooks.current(), nil, v.remote[rand.IntN(len(v.remote))])
	}
}

// send sends the records to the peers, in as many datagrams as they need, or a datagram
// without records.
func (i *Gossiper) send(revision storer.Revision, records []record, peers ...peer) {
	for len(records) > maxRecords {
		i.sendDatagram(revision, records[:maxRecords], peers...)
		records = records[maxRecords:]
	}
	i.sendDatagram(revision, records, peers...)
}

func (i *Gossiper) sendDatagram(revision storer.Revision, records []record, peers ...peer) {
	data, err := encode(i.hash, revision, i.hooks.configuration(), records)
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

func (i *Gossiper) receive() {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, _, err := i.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			i.log.Debug().Err(err).Msg("datagram could not be received")
			time.Sleep(socketErrorPause)
			continue
		}
		receivedTotal.Inc()
		recoverer.Do(i.log, "gossip datagram", func() { i.handle(buffer[:n]) }) //nolint:errcheck // Logged.
	}
}

// handle applies a datagram.
func (i *Gossiper) handle(data []byte) {
	from, records, err := decode(data)
	if err != nil {
		i.log.Debug().Err(err).Msg("datagram is not readable")
		return
	}
	i.apply(from, records)
}

func (i *Gossiper) apply(from header, records []record) {
	i.hooks.observed(from.revision())
	now := i.now()
	i.hear(from.revision(), now)
	i.markSeen(from.Sender, now)
	v := i.view.Load()
	i.compareConfiguration(v, from)
	for _, r := range records {
		if r.Flags&flagPeer != 0 {
			i.markSeen(r.Worker, now-time.Duration(r.AgeMs)*time.Millisecond)
			continue
		}
		if t := v.byHash[r.Worker]; t != nil {
			t.apply(from.Sender, r)
		}
	}
}

// compareConfiguration reports a peer that has a later configuration in force than
// this instance. It answers one that has an older one, unless this instance is a
// coordinator of the same region, which sends heartbeats anyway.
func (i *Gossiper) compareConfiguration(v *view, from header) {
	p, ok := v.peers[from.Sender]
	if !ok {
		return
	}
	sendsHeartbeats := v.isCoordinator && p.instance.Locality().Region() == i.self.Locality().Region()
	switch own := i.hooks.configuration(); {
	case from.configuration() > own:
		i.hooks.later(p.instance, from.configuration())
	case from.configuration() < own && !sendsHeartbeats:
		i.send(i.hooks.current(), nil, p)
	}
}

// markSeen records when a peer was alive, by its own datagram or by the record of
// another peer.
func (i *Gossiper) markSeen(peer uint32, at time.Duration) {
	last, ok := i.lastSeen.Load(peer)
	if !ok {
		last, _ = i.lastSeen.LoadOrStore(peer, &atomic.Int64{})
	}
	storeMax(last.(*atomic.Int64), int64(at))
}

// storeMax raises a value to another one, and never lowers it.
func storeMax(value *atomic.Int64, to int64) {
	for {
		old := value.Load()
		if old >= to || value.CompareAndSwap(old, to) {
			return
		}
	}
}
