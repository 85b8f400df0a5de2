package exchanger

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"burdocklane/descriptor"
	"burdocklane/detector"
	"burdocklane/messenger"
	"burdocklane/registrar"
)

// run sends a heartbeat to the next peer at each jittered heartbeatInterval,
// and announces a new configuration to a few peers as soon as it is active.
func (x *Exchanger) run(ctx context.Context) {
	for {
		before := time.Now()
		changed := x.publisher.Changed()
		timer := time.NewTimer(heartbeatInterval*3/4 + rand.N(heartbeatInterval/2))
		select {
		case <-timer.C:
			x.detectPause(time.Since(before))
			x.runHeartbeat(ctx)
		case <-changed:
			timer.Stop()
			x.announce(ctx)
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// detectPause restarts the suspicion timeouts if this process was paused.
func (x *Exchanger) detectPause(gap time.Duration) {
	if gap < pauseThreshold {
		return
	}
	x.mutex.Lock()
	x.detector.RestartSuspicionTimeouts(x.now())
	x.mutex.Unlock()
	x.repairs.add("this instance stood still")
	x.log.Warn().Dur("gap", gap).Msg("this process was paused; restarting suspicion timeouts")
}

func (x *Exchanger) runHeartbeat(ctx context.Context) {
	if peer, ok := x.nextPeer(); ok {
		x.probe(ctx, peer)
	}
	x.mutex.Lock()
	dead := x.detector.ExpireSuspects(x.now())
	x.mutex.Unlock()
	for _, id := range dead {
		x.repairs.add("took over from dead instance " + string(id))
		x.log.Warn().Str("peer", string(id)).Msg("peer is dead; redistributing its slots")
	}
	x.publishIfChanged()
}

// nextPeer iterates over the region's peers in random order and reshuffles them
// after each round (SWIM, section 4.3). Every remoteInterval-th heartbeat goes
// to a random instance of any region, including those that are considered dead,
// in case they have recovered.
func (x *Exchanger) nextPeer() (registrar.Instance, bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.heartbeats++
	if x.heartbeats%remoteInterval == 0 {
		return x.randomInstance()
	}
	if len(x.probeOrder) == 0 {
		x.probeOrder = x.localPeers()
		rand.Shuffle(len(x.probeOrder), func(i, j int) { x.probeOrder[i], x.probeOrder[j] = x.probeOrder[j], x.probeOrder[i] })
	}
	if len(x.probeOrder) == 0 {
		return x.randomInstance()
	}
	peer := x.probeOrder[0]
	x.probeOrder = x.probeOrder[1:]
	return peer, true
}

func (x *Exchanger) randomInstance() (registrar.Instance, bool) {
	listed := x.listed.Instances()
	if len(listed) == 0 {
		return registrar.Instance{}, false
	}
	peer := listed[rand.IntN(len(listed))]
	return peer, peer.ID() != x.self.ID()
}

// probe sends a heartbeat to a peer. If it gets no answer, it asks other peers
// to probe it, and suspects the peer if they get none either.
func (x *Exchanger) probe(ctx context.Context, peer registrar.Instance) {
	reply, err := x.sendHeartbeat(ctx, peer, "", exchangeTimeout)
	if err == nil {
		x.pushIfBehind(ctx, peer, reply.GetRevision())
		return
	}
	if ctx.Err() != nil || x.probeIndirectly(ctx, peer) {
		return
	}
	x.mutex.Lock()
	before := x.detector.State(peer.ID())
	x.detector.RecordProbeFailure(peer.ID(), x.now())
	x.mutex.Unlock()
	if before == detector.Alive {
		x.log.Info().Err(err).Str("peer", string(peer.ID())).Msg("peer is suspect")
	}
}

func (x *Exchanger) probeIndirectly(ctx context.Context, peer registrar.Instance) bool {
	x.mutex.Lock()
	helpers := x.localPeers()
	x.mutex.Unlock()
	rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	answered := make(chan bool, indirectProbes)
	var probing sync.WaitGroup
	count := 0
	for _, helper := range helpers {
		if helper.ID() == peer.ID() || count == indirectProbes {
			continue
		}
		count++
		probing.Go(func() {
			reply, err := x.sendHeartbeat(ctx, helper, peer.ID(), indirectTimeout)
			answered <- err == nil && reply.GetProbeAnswered()
		})
	}
	probing.Wait()
	close(answered)
	for ok := range answered {
		if ok {
			return true
		}
	}
	return false
}

// announce sends the current revision to a few random peers, and the new
// configuration to those that lack it.
func (x *Exchanger) announce(ctx context.Context) {
	x.mutex.Lock()
	peers := x.peers(false)
	x.mutex.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var sending sync.WaitGroup
	for _, peer := range peers[:min(len(peers), announceFanout)] {
		sending.Go(func() {
			if reply, err := x.sendHeartbeat(ctx, peer, "", exchangeTimeout); err == nil {
				x.pushIfBehind(ctx, peer, reply.GetRevision())
			}
		})
	}
	sending.Wait()
}

// pushIfBehind sends a peer the keys that changed after its revision.
func (x *Exchanger) pushIfBehind(ctx context.Context, peer registrar.Instance, revision int64) {
	current := x.publisher.Current().Deployment().Revision()
	if revision >= int64(current) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	pairs := encodePairs(x.assembler.PairsSince(descriptor.Revision(revision)))
	if _, err := x.exchange(ctx, peer, "", pairs); err != nil {
		x.log.Debug().Err(err).Str("peer", string(peer.ID())).Msg("failed to send the configuration to a peer")
	}
}

func (x *Exchanger) sendHeartbeat(ctx context.Context, peer registrar.Instance, probe registrar.InstanceID, timeout time.Duration) (*messenger.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return x.exchange(ctx, peer, probe, nil)
}
