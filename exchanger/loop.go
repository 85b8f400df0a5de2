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

// run sends a heartbeat each period to the next peer, and tells a few peers at
// once when a configuration has come into force.
func (x *Exchanger) run(ctx context.Context) {
	for {
		before := time.Now()
		changed := x.publisher.Changed()
		timer := time.NewTimer(period*3/4 + rand.N(period/2))
		select {
		case <-timer.C:
			x.noticeFreeze(time.Since(before))
			x.beat(ctx)
		case <-changed:
			timer.Stop()
			x.spread(ctx)
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// noticeFreeze forgives suspects when this process itself has stood still.
func (x *Exchanger) noticeFreeze(gap time.Duration) {
	if gap < freezeGap {
		return
	}
	x.mutex.Lock()
	x.detector.Froze(x.now())
	x.mutex.Unlock()
	x.repairs.note("this instance stood still")
	x.log.Warn().Dur("gap", gap).Msg("this instance stood still; suspicions start anew")
}

func (x *Exchanger) beat(ctx context.Context) {
	if peer, ok := x.next(); ok {
		x.reach(ctx, peer)
	}
	x.mutex.Lock()
	dead := x.detector.Expire(x.now())
	x.mutex.Unlock()
	for _, id := range dead {
		x.repairs.note("took over from dead instance " + string(id))
		x.log.Warn().Str("peer", string(id)).Msg("peer is dead; its slots are shared out")
	}
	x.showChanges()
}

// next walks through the region's peers in a random order that is drawn anew
// when it ends (SWIM, section 4.3). Every few heartbeats go to any region, and
// among those some to members that are believed dead, in case they are back.
func (x *Exchanger) next() (registrar.Instance, bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.ticks++
	if x.ticks%farEvery == 0 {
		return x.anyone()
	}
	if len(x.order) == 0 {
		x.order = x.near()
		rand.Shuffle(len(x.order), func(i, j int) { x.order[i], x.order[j] = x.order[j], x.order[i] })
	}
	if len(x.order) == 0 {
		return x.anyone()
	}
	peer := x.order[0]
	x.order = x.order[1:]
	return peer, true
}

func (x *Exchanger) anyone() (registrar.Instance, bool) {
	listed := x.listed.Instances()
	if len(listed) == 0 {
		return registrar.Instance{}, false
	}
	peer := listed[rand.IntN(len(listed))]
	return peer, peer.ID() != x.self.ID()
}

// reach sends a heartbeat, and asks others to do so if there is no answer.
func (x *Exchanger) reach(ctx context.Context, peer registrar.Instance) {
	reply, err := x.call(ctx, peer, "", callTimeout)
	if err == nil {
		x.pushIfBehind(ctx, peer, reply.GetRevision())
		return
	}
	if ctx.Err() != nil || x.reachedByOthers(ctx, peer) {
		return
	}
	x.mutex.Lock()
	before := x.detector.State(peer.ID())
	x.detector.Missed(peer.ID(), x.now())
	x.mutex.Unlock()
	if before == detector.Alive {
		x.log.Info().Err(err).Str("peer", string(peer.ID())).Msg("peer is suspect")
	}
}

func (x *Exchanger) reachedByOthers(ctx context.Context, peer registrar.Instance) bool {
	x.mutex.Lock()
	helpers := x.near()
	x.mutex.Unlock()
	rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	answered := make(chan bool, relays)
	var asked sync.WaitGroup
	count := 0
	for _, helper := range helpers {
		if helper.ID() == peer.ID() || count == relays {
			continue
		}
		count++
		asked.Go(func() {
			reply, err := x.call(ctx, helper, peer.ID(), relayTimeout)
			answered <- err == nil && reply.GetProbeAnswered()
		})
	}
	asked.Wait()
	close(answered)
	for ok := range answered {
		if ok {
			return true
		}
	}
	return false
}

// spread tells a few random peers at once that there is a new configuration.
func (x *Exchanger) spread(ctx context.Context) {
	x.mutex.Lock()
	peers := x.peers(false)
	x.mutex.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var told sync.WaitGroup
	for _, peer := range peers[:min(len(peers), fanout)] {
		told.Go(func() {
			if reply, err := x.call(ctx, peer, "", callTimeout); err == nil {
				x.pushIfBehind(ctx, peer, reply.GetRevision())
			}
		})
	}
	told.Wait()
}

// pushIfBehind sends a peer the keys that it does not have.
func (x *Exchanger) pushIfBehind(ctx context.Context, peer registrar.Instance, revision int64) {
	mine := x.publisher.Current().Deployment().Revision()
	if revision >= int64(mine) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	pairs := encodePairs(x.assembler.Since(descriptor.Revision(revision)))
	if _, err := x.exchange(ctx, peer, "", pairs); err != nil {
		x.log.Debug().Err(err).Str("peer", string(peer.ID())).Msg("could not pass the configuration on")
	}
}

func (x *Exchanger) call(ctx context.Context, peer registrar.Instance, probe registrar.InstanceID, timeout time.Duration) (*messenger.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return x.exchange(ctx, peer, probe, nil)
}
