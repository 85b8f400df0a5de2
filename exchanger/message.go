package exchanger

import (
	"context"
	"time"

	"burdocklane/descriptor"
	"burdocklane/detector"
	"burdocklane/messenger"
	"burdocklane/registrar"
	"burdocklane/storer"

	"github.com/go-faster/errors"
)

// etcdEra is the era of all revisions of the configuration, which is kept in etcd.
const etcdEra = 0

// exchange sends one message to a peer and applies its reply.
func (x *Exchanger) exchange(ctx context.Context, peer registrar.Instance, probe registrar.InstanceID, pairs []*messenger.Pair) (*messenger.ExchangeReply, error) {
	x.mutex.Lock()
	request := &messenger.ExchangeRequest{
		Instance:    string(x.self.ID()),
		Incarnation: x.detector.Incarnation(),
		Leaving:     x.detector.IsLeaving(),
		Revision:    int64(x.publisher.Current().Deployment().Revision()),
		News:        encodeUpdates(x.detector.UpdatesFor(peer.ID())),
		Pairs:       pairs,
		Probe:       string(probe),
	}
	x.mutex.Unlock()
	reply, err := messenger.NewPeersProtobufClient(x.scheme+"://"+peer.PeerAddress(), x.client).Exchange(ctx, request)
	if err != nil {
		return nil, errors.Wrapf(err, "exchange with %s", peer.ID())
	}
	if reply.GetInstance() != string(peer.ID()) {
		return nil, errors.Errorf("exchange with %s: reply is from instance %q", peer.ID(), reply.GetInstance())
	}
	x.applyReport(peer.ID(), reply.GetIncarnation(), reply.GetLeaving(), reply.GetNews())
	x.applyPairs(reply.GetPairs(), peer.ID())
	return reply, nil
}

// applyReport updates the membership view with what a member reports about
// itself and about others.
func (x *Exchanger) applyReport(id registrar.InstanceID, incarnation uint64, leaving bool, updates []*messenger.News) {
	x.mutex.Lock()
	x.lastContact = time.Now()
	x.detector.RecordMessage(id, incarnation, leaving, x.now())
	x.detector.ApplyUpdates(decodeUpdates(updates), x.now())
	x.mutex.Unlock()
	x.publishIfChanged()
}

func (x *Exchanger) applyPairs(pairs []*messenger.Pair, from registrar.InstanceID) {
	if len(pairs) == 0 {
		return
	}
	x.watcher.Update(decodePairs(pairs), "peer "+string(from))
}

// service implements the RPCs of the peers' port.
type service struct {
	exchanger *Exchanger
	loans     LoanHandlers
}

// Exchange implements messenger.Peers.
func (s *service) Exchange(ctx context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeReply, error) {
	x := s.exchanger
	x.applyPairs(r.GetPairs(), registrar.InstanceID(r.GetInstance()))
	x.applyReport(registrar.InstanceID(r.GetInstance()), r.GetIncarnation(), r.GetLeaving(), r.GetNews())
	answered := r.GetProbe() != "" && x.probeByID(ctx, registrar.InstanceID(r.GetProbe()))
	current := x.publisher.Current().Deployment().Revision()
	reply := &messenger.ExchangeReply{Instance: string(x.self.ID()), Revision: int64(current), ProbeAnswered: answered}
	if current > descriptor.Revision(r.GetRevision()) && len(r.GetPairs()) == 0 {
		reply.Pairs = encodePairs(x.assembler.PairsSince(descriptor.Revision(r.GetRevision())))
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	reply.Incarnation = x.detector.Incarnation()
	reply.Leaving = x.detector.IsLeaving()
	reply.News = encodeUpdates(x.detector.UpdatesFor(registrar.InstanceID(r.GetInstance())))
	return reply, nil
}

// probeByID probes a member on behalf of a peer and reports whether it answered.
func (x *Exchanger) probeByID(ctx context.Context, id registrar.InstanceID) bool {
	x.mutex.Lock()
	listed := x.listed.Instances()
	x.mutex.Unlock()
	for _, i := range listed {
		if i.ID() == id && i.ID() != x.self.ID() {
			_, err := x.sendHeartbeat(ctx, i, "", exchangeTimeout)
			return err == nil
		}
	}
	return false
}

// Borrow implements messenger.Peers.
func (s *service) Borrow(ctx context.Context, r *messenger.BorrowRequest) (*messenger.BorrowReply, error) {
	return s.loans.borrow(ctx, r), nil
}

// GiveBack implements messenger.Peers.
func (s *service) GiveBack(_ context.Context, r *messenger.GiveBackRequest) (*messenger.GiveBackReply, error) {
	s.loans.giveBack(r)
	return &messenger.GiveBackReply{}, nil
}

func encodePairs(pairs []storer.Pair) []*messenger.Pair {
	messages := make([]*messenger.Pair, 0, len(pairs))
	for _, p := range pairs {
		messages = append(messages, &messenger.Pair{Key: p.Key(), Value: p.Value(), Revision: p.Revision().Number()})
	}
	return messages
}

func decodePairs(messages []*messenger.Pair) []storer.Pair {
	pairs := make([]storer.Pair, 0, len(messages))
	for _, m := range messages {
		pairs = append(pairs, storer.NewPair(m.GetKey(), m.GetValue(), storer.NewRevision(etcdEra, m.GetRevision())))
	}
	return pairs
}

func encodeUpdates(updates []detector.Update) []*messenger.News {
	messages := make([]*messenger.News, 0, len(updates))
	for _, n := range updates {
		messages = append(messages, &messenger.News{
			Instance: string(n.ID()), State: messenger.MemberState(n.State()), Incarnation: n.Incarnation(),
		})
	}
	return messages
}

// decodeUpdates drops updates whose state is unknown to this release.
func decodeUpdates(messages []*messenger.News) []detector.Update {
	updates := make([]detector.Update, 0, len(messages))
	for _, m := range messages {
		if m.GetState() < 0 || m.GetState() > messenger.MemberState_LEAVING {
			continue
		}
		updates = append(updates, detector.NewUpdate(registrar.InstanceID(m.GetInstance()),
			detector.State(m.GetState()), m.GetIncarnation()))
	}
	return updates
}
