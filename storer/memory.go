package storer

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxHistoryBatches is the number of batches that are kept for watches that start
// at an earlier revision.
const maxHistoryBatches = 10_000

// Memory is an in-memory store for tests, the demo and the emulator of the
// platform. Each commit has a revision of its own.
type Memory struct {
	mutex             sync.Mutex
	revision          int64
	pairs             map[string]Pair
	keyLeases         map[string]int64
	leases            map[int64]*lease
	nextLease         int64
	history           []Batch
	compactedRevision Revision
	changed           chan struct{}
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewMemory returns an empty store at revision 1.
func NewMemory() *Memory {
	return &Memory{
		revision:  1,
		pairs:     map[string]Pair{},
		keyLeases: map[string]int64{},
		leases:    map[int64]*lease{},
		changed:   make(chan struct{}),
	}
}

// Range returns the pairs with the prefix, sorted by key.
func (m *Memory) Range(prefix string) RangeResult {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expireLeasesLocked()
	result := RangeResult{revision: etcdRevision(m.revision)}
	for key, pair := range m.pairs {
		if strings.HasPrefix(key, prefix) {
			result.pairs = append(result.pairs, pair)
		}
	}
	slices.SortFunc(result.pairs, func(a, b Pair) int { return strings.Compare(a.key, b.key) })
	return result
}

// Commit runs a transaction.
func (m *Memory) Commit(t Txn) TxnResult {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expireLeasesLocked()
	for _, c := range t.compares {
		if m.pairs[c.key].revision != c.revision {
			return TxnResult{revision: etcdRevision(m.revision)}
		}
	}
	for _, w := range t.writes {
		if !w.lease.IsZero() && m.leases[w.lease.ID()] == nil {
			return TxnResult{revision: etcdRevision(m.revision)}
		}
	}
	m.applyLocked(t.writes)
	return TxnResult{succeeded: true, revision: etcdRevision(m.revision)}
}

// applyLocked applies the writes as one batch. The caller must hold the mutex.
func (m *Memory) applyLocked(writes []write) {
	if len(writes) == 0 {
		return
	}
	m.revision++
	batch := Batch{revision: etcdRevision(m.revision)}
	for _, w := range writes {
		pair := Pair{key: w.key, value: w.value, revision: batch.revision}
		delete(m.keyLeases, w.key)
		if w.deleted {
			delete(m.pairs, w.key)
		} else {
			m.pairs[w.key] = pair
		}
		if !w.lease.IsZero() {
			m.keyLeases[w.key] = w.lease.ID()
		}
		batch.events = append(batch.events, Event{pair: pair, deleted: w.deleted})
	}
	m.history = append(m.history, batch)
	if len(m.history) > maxHistoryBatches {
		m.compactedRevision = m.history[0].revision
		m.history = m.history[1:]
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// Watch calls receive with the batches after the revision, until the context ends
// or the history after it is compacted.
func (m *Memory) Watch(ctx context.Context, prefix string, after Revision, receive func(Batch)) error {
	for {
		batches, changed, err := m.batchesSince(prefix, after)
		if err != nil {
			return err
		}
		for _, batch := range batches {
			receive(batch)
			after = batch.revision
		}
		if len(batches) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m *Memory) batchesSince(prefix string, after Revision) ([]Batch, <-chan struct{}, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if after.Before(m.compactedRevision) {
		return nil, nil, &CompactedError{revision: m.compactedRevision}
	}
	var batches []Batch
	for _, b := range m.history {
		if !b.revision.After(after) {
			continue
		}
		if filtered := b.filterPrefix(prefix); len(filtered.events) > 0 {
			batches = append(batches, filtered)
		}
	}
	return batches, m.changed, nil
}

func (b Batch) filterPrefix(prefix string) Batch {
	filtered := Batch{revision: b.revision}
	for _, e := range b.events {
		if strings.HasPrefix(e.pair.key, prefix) {
			filtered.events = append(filtered.events, e)
		}
	}
	return filtered
}

// Grant creates a lease with the ID, or with a new ID if that is 0.
func (m *Memory) Grant(ttl time.Duration, id int64) int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if id == 0 {
		m.nextLease++
		id = m.nextLease
	}
	m.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	time.AfterFunc(ttl, m.expireLeases)
	return id
}

// KeepAlive renews a lease and returns its time to live, or 0 if it has expired.
func (m *Memory) KeepAlive(id int64) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expireLeasesLocked()
	l := m.leases[id]
	if l == nil {
		return 0
	}
	l.expires = time.Now().Add(l.ttl)
	time.AfterFunc(l.ttl, m.expireLeases)
	return l.ttl
}

// Revoke revokes a lease and removes its keys.
func (m *Memory) Revoke(id int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.removeLeaseLocked(id)
}

func (m *Memory) expireLeases() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expireLeasesLocked()
}

// expireLeasesLocked removes the expired leases and their keys. The caller must
// hold the mutex.
func (m *Memory) expireLeasesLocked() {
	now := time.Now()
	for id, l := range m.leases {
		if !now.Before(l.expires) {
			m.removeLeaseLocked(id)
		}
	}
}

func (m *Memory) removeLeaseLocked(id int64) {
	delete(m.leases, id)
	var writes []write
	for key, leaseID := range m.keyLeases {
		if leaseID == id {
			writes = append(writes, write{key: key, deleted: true})
		}
	}
	m.applyLocked(writes)
}
