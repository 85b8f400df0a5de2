// Package registrant registers an instance in the store, so that other instances
// discover it.
package registrant

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"burdocklane/registrar"
	"burdocklane/sleeper"
	"burdocklane/storer"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

const (
	// leaseTTL is how long an entry outlives its instance. Peers judge by gossip
	// whether an instance is alive, not by its entry.
	leaseTTL      = 10 * time.Minute
	renewInterval = 3 * time.Minute
	// enrolmentRenewals is how many times renewInterval an instance waits before a peer
	// writes its entry again. It leaves time to retry before the lease ends.
	enrolmentRenewals = 2
	// retryDelay is the backoff after the first write that failed, and maxRetryDelay the
	// longest one. Each try costs a call to the store.
	retryDelay    = 2 * time.Second
	maxRetryDelay = 16 * time.Second
	// maxRewriteDelay spreads the writes of instances whose entries are all missing.
	maxRewriteDelay = 500 * time.Millisecond
	// enrolmentTimeout is how long a peer may take to write the entry.
	enrolmentTimeout = 2 * time.Second
	// maxCPUs is more than a machine has. An entry beyond it would make its instance
	// the first coordinator of its zone.
	maxCPUs = 1 << 16
)

// entry is the JSON value of an instance's entry in the store.
type entry struct {
	ID               string  `json:"id"`
	Peers            string  `json:"peers"`
	SchedulerAddress string  `json:"rulings"`
	Power            float64 `json:"power"`
	Region           string  `json:"region"`
	Zone             string  `json:"availability-zone"`
}

// EntryError reports an instance's entry that is invalid.
type EntryError struct {
	key    string
	reason string
}

// Error implements error.
func (e *EntryError) Error() string { return fmt.Sprintf("entry %s: %s", e.key, e.reason) }

// Parse decodes an instance's entry. The error is an *EntryError.
func Parse(key string, value []byte) (registrar.Instance, error) {
	var e entry
	if err := json.Unmarshal(value, &e); err != nil {
		return registrar.Instance{}, &EntryError{key: key, reason: err.Error()}
	}
	if reason := e.invalidReason(key); reason != "" {
		return registrar.Instance{}, &EntryError{key: key, reason: reason}
	}
	return registrar.NewInstance(registrar.InstanceID(e.ID), e.Peers, "", registrar.NewLocality(e.Region, e.Zone), false).WithSchedulerAddress(e.SchedulerAddress).WithCPUs(e.Power), nil
}

// invalidReason returns why the entry does not describe an instance, or "".
func (e entry) invalidReason(key string) string {
	if !registrar.IsValidID(e.ID) || !strings.HasSuffix(key, "/"+e.ID) {
		return "id is not that of the key"
	}
	if e.Power < 0 || e.Power > maxCPUs {
		return "power is out of range"
	}
	if _, err := registrar.ParseAddress(e.Peers); err != nil {
		return "peers: " + err.Error()
	}
	if e.SchedulerAddress == "" { // Instances without a scheduler have none.
		return ""
	}
	if _, err := registrar.ParseAddress(e.SchedulerAddress); err != nil {
		return "rulings: " + err.Error()
	}
	return ""
}

// Registrant writes the entry of this instance and renews its lease. Once the store
// has gone back to an older copy, the lease counts as expired, and the entry is
// written again with a new one.
type Registrant struct {
	store   storer.Store
	enroll  func(ctx context.Context, key string, value []byte) (storer.Revision, error)
	written storer.RevisionMark // The store's revision after the last write of the entry.
	key     string
	value   []byte
	log     zerolog.Logger
	missing chan struct{}
	initial chan bool // Receives whether the store has the entry at the start.
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// Option sets one property of a Registrant.
type Option func(*Registrant)

// WithEnrolment sets a function that lets a peer write the entry, together with those of
// others. If it fails, the Registrant writes the entry itself.
func WithEnrolment(enroll func(ctx context.Context, key string, value []byte) (storer.Revision, error)) Option {
	return func(r *Registrant) { r.enroll = enroll }
}

// New starts to register the instance with an entry under the key prefix.
func New(store storer.Store, prefix string, self registrar.Instance, log zerolog.Logger, opts ...Option) (*Registrant, error) {
	value, err := json.Marshal(entry{
		ID: string(self.ID()), Peers: self.PeerAddress(), SchedulerAddress: self.SchedulerAddress(), Power: self.CPUs(), Region: self.Locality().Region(), Zone: self.Locality().Zone(),
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode instance entry")
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Registrant{
		store: store, key: prefix + string(self.ID()), value: value, log: log,
		missing: make(chan struct{}, 1), initial: make(chan bool, 1), cancel: cancel,
	}
	for _, opt := range opts {
		opt(r)
	}
	r.done.Go(func() { r.run(ctx) })
	return r, nil
}

// Close stops the renewals and waits for them to end. The entry is removed when
// its lease expires.
func (r *Registrant) Close() {
	r.cancel()
	r.done.Wait()
}

// Observe compares the entries in the store with the one of this instance. An
// unchanged entry of an earlier start is not written again; a missing or changed
// one is. A read from before the last write tells nothing.
func (r *Registrant) Observe(stored storer.RangeResult) {
	present := r.isListed(stored.Pairs())
	if !present && !stored.Revision().IsZero() && stored.Revision().Before(r.written.Load()) {
		return
	}
	select {
	case r.initial <- present:
	default:
	}
	if present {
		return
	}
	select {
	case r.missing <- struct{}{}:
	default:
	}
}

// isListed reports whether the entries include the one of this instance.
func (r *Registrant) isListed(pairs []storer.Pair) bool {
	return slices.ContainsFunc(pairs, func(p storer.Pair) bool {
		return p.Key() == r.key && bytes.Equal(p.Value(), r.value)
	})
}

// Register writes the entry without waiting for a read of the store, unless one was
// observed already.
func (r *Registrant) Register() {
	select {
	case r.initial <- false:
	default:
	}
}

func (r *Registrant) run(ctx context.Context) {
	select {
	case present := <-r.initial:
		if present {
			r.awaitRenewal(ctx)
		}
	case <-ctx.Done():
		return
	}
	for failures := 0; ctx.Err() == nil; {
		if r.enrolWithPeer(ctx) {
			failures = 0
			r.awaitNextEnrolment(ctx)
			continue
		}
		lease, err := r.write(ctx)
		if err != nil {
			r.log.Warn().Err(err).Msg("could not write this instance's entry to the store; retrying")
			failures++
			sleeper.Sleep(ctx, sleeper.Backoff(retryDelay, maxRetryDelay, failures))
			continue
		}
		failures = 0
		r.renewLease(ctx, lease)
	}
}

// enrolWithPeer lets a peer write the entry, and reports whether it did.
func (r *Registrant) enrolWithPeer(ctx context.Context) bool {
	if r.enroll == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, enrolmentTimeout)
	defer cancel()
	revision, err := r.enroll(ctx, r.key, r.value)
	if err != nil {
		r.log.Info().Err(err).Msg("no peer has registered this instance; writing its entry to the store")
		return false
	}
	r.recordWrite(revision)
	r.log.Info().Stringer("store-revision", revision).Msg("a peer has registered this instance")
	return true
}

func (r *Registrant) write(ctx context.Context) (storer.Lease, error) {
	lease, revision, err := writeEntries(ctx, r.store, []enrolment{{key: r.key, value: r.value}})
	r.recordWrite(revision)
	return lease, err
}

// recordWrite records the store's revision after a write of the entry, and forgets that
// it was missing before.
func (r *Registrant) recordWrite(revision storer.Revision) {
	r.written.Advance(revision)
	select {
	case <-r.missing:
	default:
	}
}

// renewLease renews the lease until it has expired or the entry is missing.
func (r *Registrant) renewLease(ctx context.Context, lease storer.Lease) {
	for r.awaitRenewal(ctx) {
		alive, err := storer.KeepAlive(ctx, r.store, lease)
		if err != nil {
			r.log.Warn().Err(err).Msg("could not renew the lease of this instance's entry; retrying at the next renewal")
			continue
		}
		if !alive {
			r.log.Info().Msg("the lease of this instance's entry has expired; writing the entry again")
			return
		}
	}
}

// awaitNextEnrolment waits until the entry has to be written again: its lease, which
// nobody renews, ends some minutes later, or it is missing.
func (r *Registrant) awaitNextEnrolment(ctx context.Context) {
	for range enrolmentRenewals {
		if !r.awaitRenewal(ctx) {
			return
		}
	}
}

// awaitRenewal waits until the lease is due for renewal. It returns false if the
// entry has to be written again or the context has ended.
func (r *Registrant) awaitRenewal(ctx context.Context) bool {
	timer := time.NewTimer(renewInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-r.missing:
		r.log.Warn().Msg("this instance's entry is missing from the store; writing it again")
		sleeper.Sleep(ctx, rand.N(maxRewriteDelay))
		return false
	case <-timer.C:
		return true
	}
}
