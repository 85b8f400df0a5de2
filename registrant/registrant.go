// Package registrant keeps an instance's own entry in the store, so that other
// instances find it.
package registrant

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"burdocklane/registrar"
	"burdocklane/sleeper"
	"burdocklane/storer"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

const (
	// leaseTime is how long an entry outlives its instance. Whether an instance
	// is alive is told by its messages, not by its entry.
	leaseTime  = 10 * time.Minute
	renewEvery = 3 * time.Minute
	retryAfter = 2 * time.Second
)

// message is the value of an instance's entry.
type message struct {
	ID      string  `json:"id"`
	Peers   string  `json:"peers"`
	Rulings string  `json:"rulings"`
	Power   float64 `json:"power"`
	Region  string  `json:"region"`
	Zone    string  `json:"availability-zone"`
}

// Parse reads an instance's entry.
func Parse(key string, value []byte) (registrar.Instance, error) {
	var m message
	if err := json.Unmarshal(value, &m); err != nil {
		return registrar.Instance{}, errors.Wrapf(err, "entry %s", key)
	}
	return registrar.NewInstance(registrar.InstanceID(m.ID), m.Peers, "", registrar.NewPlace(m.Region, m.Zone), false).WithRulings(m.Rulings).WithPower(m.Power), nil
}

// Registrant writes the entry and keeps its lease.
type Registrant struct {
	store   storer.Store
	key     string
	value   []byte
	log     zerolog.Logger
	missing chan struct{}
	found   chan bool // Whether the entry stands in the store at the start.
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// New starts a Registrant of the instance, whose entry stands under the prefix.
func New(store storer.Store, prefix string, self registrar.Instance, log zerolog.Logger) (*Registrant, error) {
	value, err := json.Marshal(message{
		ID: string(self.ID()), Peers: self.Peers(), Rulings: self.Rulings(), Power: self.Power(), Region: self.Place().Region(), Zone: self.Place().Zone(),
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode instance entry")
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Registrant{
		store: store, key: prefix + string(self.ID()), value: value, log: log,
		missing: make(chan struct{}, 1), found: make(chan bool, 1), cancel: cancel,
	}
	r.done.Go(func() { r.run(ctx) })
	return r, nil
}

// Close ends the renewals and waits for them. The entry goes with its lease.
func (r *Registrant) Close() {
	r.cancel()
	r.done.Wait()
}

// Seen tells what stands in the store. An entry of an earlier start that is the
// same is not written again; one that has gone is.
func (r *Registrant) Seen(pairs []storer.Pair) {
	there := slices.ContainsFunc(pairs, func(p storer.Pair) bool {
		return p.Key() == r.key && bytes.Equal(p.Value(), r.value)
	})
	select {
	case r.found <- there:
	default:
	}
	if there {
		return
	}
	select {
	case r.missing <- struct{}{}:
	default:
	}
}

func (r *Registrant) run(ctx context.Context) {
	select {
	case same := <-r.found:
		if same {
			r.await(ctx)
		}
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		lease, err := r.write(ctx)
		if err != nil {
			r.log.Warn().Err(err).Msg("entry of this instance could not be written")
			sleeper.Sleep(ctx, retryAfter)
			continue
		}
		r.hold(ctx, lease)
	}
}

func (r *Registrant) write(ctx context.Context) (int64, error) {
	lease, err := storer.Grant(ctx, r.store, leaseTime)
	if err != nil {
		return 0, err
	}
	var txn storer.Txn
	txn.PutLeased(r.key, r.value, lease)
	_, err = storer.Commit(ctx, r.store, txn)
	select {
	case <-r.missing: // That it is missing has been seen before this write.
	default:
	}
	return lease, err
}

// hold renews the lease until it or the entry has gone.
func (r *Registrant) hold(ctx context.Context, lease int64) {
	for r.await(ctx) {
		alive, err := storer.KeepAlive(ctx, r.store, lease)
		if err != nil {
			r.log.Warn().Err(err).Msg("lease of this instance's entry could not be renewed; it lasts for a while yet")
			continue
		}
		if !alive {
			return
		}
	}
}

// await waits until the lease is to be renewed. It returns false if the entry is
// to be written again, or not at all any more.
func (r *Registrant) await(ctx context.Context) bool {
	timer := time.NewTimer(renewEvery)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-r.missing:
		r.log.Warn().Msg("entry of this instance has gone; writing it again")
		sleeper.Sleep(ctx, rand.N(retryAfter))
		return false
	case <-timer.C:
		return true
	}
}
