// Package confirmer asks peers whether the first configuration that an instance has read
// is the latest one. The store or a relay may give out an older copy, with API keys and
// routes that have been withdrawn since.
package confirmer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/descriptor"
	"burdocklane/recoverer"
	"burdocklane/registrar"
	"burdocklane/timekeeper"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

const (
	// askedPeers is how many peers are asked at once.
	askedPeers = 4
	// enoughPeers is how many answers are enough. A single peer may have an old
	// configuration itself. If two random peers have none, most of the fleet is probably
	// starting, and waiting for more answers would only delay the start.
	enoughPeers = 2
	// timeout bounds the delay of a start by peers that do not begin to answer. It is
	// several round trips between regions.
	timeout = 300 * time.Millisecond
)

var (
	confirmations = metrics.NewCounter("burdocklane_start_confirmations_total")
	corrections   = metrics.NewCounter("burdocklane_start_corrections_total")
)

// Answer is what a peer says of a version of the configuration: one of NotLater, Later,
// NoConfiguration or Unknown.
type Answer interface{ answer() }

// NotLater says that the peer has that version in force, or an earlier one.
type NotLater struct{}

// Later is the configuration that the peer has in force, which is later.
type Later struct{ value []byte }

// NoConfiguration says that the peer has none in force: it is starting too.
type NoConfiguration struct{}

// Unknown says that the peer could not be asked.
type Unknown struct{ err error }

func (NotLater) answer()        {}
func (Later) answer()           {}
func (NoConfiguration) answer() {}
func (Unknown) answer()         {}

// NewLater returns the answer of a peer that has a later configuration.
func NewLater(value []byte) Later { return Later{value: value} }

// NewUnknown returns the answer of a peer that could not be asked.
func NewUnknown(err error) Unknown { return Unknown{err: err} }

// Value returns the configuration.
func (l Later) Value() []byte { return l.value }

// Err returns the reason.
func (u Unknown) Err() error { return u.err }

// Ask asks the peer at host:port whether it has a configuration in force that is later
// than a version. It must return soon after its context is done.
type Ask func(ctx context.Context, address string, version descriptor.Revision) Answer

// Confirmer asks peers before the first configuration is put in force.
type Confirmer struct {
	self   registrar.InstanceID
	ask    Ask
	log    zerolog.Logger
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a Confirmer of the instance.
func New(self registrar.InstanceID, ask Ask, log zerolog.Logger) *Confirmer {
	c := &Confirmer{self: self, ask: ask, log: log}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close ends a Confirm in progress. It does not wait for it: the caller of Confirm does.
func (c *Confirmer) Close() { c.cancel() }

// reply is the answer of one peer.
type reply struct {
	peer   registrar.Instance
	answer Answer
	begun  bool // A part of a later configuration had arrived.
}

// round is the questions to the peers of one Confirm.
type round struct {
	replies   chan reply
	arriving  atomic.Int32 // The number of later configurations that have begun to arrive.
	asked     int
	answered  int
	heard     int // Answers other than Unknown.
	confirmed int // Answers of peers that have a configuration in force.
	later     int // Answers with a later configuration.
	timedOut  bool
}

// isOver reports whether no answer is waited for any more. A later configuration that has
// begun to arrive always is: the one that was read is known to be old then.
func (r *round) isOver() bool {
	if r.answered == r.asked {
		return true
	}
	return (r.timedOut || r.heard >= enoughPeers) && r.arriving.Load() == 0
}

// Confirm asks some of the listed instances and passes each later configuration to apply,
// with its source. It returns when enough have answered, when all have, or after the
// timeout; at once if no other instance is listed.
func (c *Confirmer) Confirm(listed []registrar.Instance, version descriptor.Revision, apply func(value []byte, source string)) {
	peers := choose(listed, c.self)
	if len(peers) == 0 {
		return
	}
	started := time.Now()
	ctx, cancel := context.WithCancel(c.ctx)
	var asking sync.WaitGroup
	defer asking.Wait()
	defer cancel()
	r := &round{replies: make(chan reply, len(peers)), asked: len(peers)}
	for _, p := range peers {
		asking.Go(func() { r.replies <- c.askOne(ctx, r, p, version) })
	}
	c.await(r, apply)
	c.record(r, version, time.Since(started))
}

// await takes the answers until the round is over.
func (c *Confirmer) await(r *round, apply func(value []byte, source string)) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for !r.isOver() {
		select {
		case got := <-r.replies:
			c.take(r, got, apply)
		case <-timer.C:
			r.timedOut = true
		case <-c.ctx.Done():
			return
		}
	}
}

func (c *Confirmer) take(r *round, got reply, apply func(value []byte, source string)) {
	r.answered++
	if got.begun {
		r.arriving.Add(-1)
	}
	r.heard++
	switch a := got.answer.(type) {
	case NotLater:
		r.confirmed++
	case Later:
		r.confirmed++
		r.later++
		apply(a.Value(), "peer "+got.peer.PeerAddress())
	case NoConfiguration:
	case Unknown:
		r.heard--
		c.log.Debug().Err(a.Err()).Str("peer", string(got.peer.ID())).Msg("peer could not be asked for the version in force")
	}
}

// askOne asks one peer. The round knows at once when its configuration begins to arrive.
func (c *Confirmer) askOne(ctx context.Context, r *round, peer registrar.Instance, version descriptor.Revision) reply {
	got := reply{peer: peer}
	var begun atomic.Bool
	observed := timekeeper.WithObserver(ctx, func() {
		if begun.CompareAndSwap(false, true) {
			r.arriving.Add(1)
		}
	})
	if err := recoverer.Do(c.log, "question to a peer", func() { got.answer = c.ask(observed, peer.PeerAddress(), version) }); err != nil {
		got.answer = NewUnknown(err)
	}
	got.begun = begun.Load()
	return got
}

func (c *Confirmer) record(r *round, version descriptor.Revision, took time.Duration) {
	if r.confirmed > 0 {
		confirmations.Inc()
	}
	if r.later > 0 {
		corrections.Inc()
	}
	c.log.Info().Int64("revision", int64(version)).Int("asked", r.asked).Int("answered", r.heard).Int("in-force-at", r.confirmed).Int("later", r.later).
		Dur("took", took).Msg("asked peers whether the configuration that was read is the latest")
}

// choose returns the peers to ask, in random order, first one of each availability zone:
// a whole zone may have lost the store.
func choose(listed []registrar.Instance, self registrar.InstanceID) []registrar.Instance {
	peers := slices.DeleteFunc(slices.Clone(listed), func(i registrar.Instance) bool { return i.ID() == self || i.Leaving() })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	seen := map[registrar.Locality]bool{}
	var first, others []registrar.Instance
	for _, p := range peers {
		if seen[p.Locality()] {
			others = append(others, p)
			continue
		}
		seen[p.Locality()] = true
		first = append(first, p)
	}
	peers = append(first, others...)
	return peers[:min(len(peers), askedPeers)]
}
