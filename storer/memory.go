package storer

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// historyKept is the number of batches that a late watch can still be given.
const historyKept = 10_000

// Memory is a store inside the process, for tests, the demo and the stand-in
// of the platform. Each commit has a revision of its own.
type Memory struct {
	mutex     sync.Mutex
	revision  int64
	pairs     map[string]Pair
	owners    map[string]int64
	leases    map[int64]*lease
	nextLease int64
	history   []Batch
	compacted int64
	changed   chan struct{}
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewMemory returns an empty store at revision 1.
func NewMemory() *Memory {
	return &Memory{
		revision: 1,
		pairs:    map[string]Pair{},
		owners:   map[string]int64{},
		leases:   map[int64]*lease{},
		changed:  make(chan struct{}),
	}
}

// Range returns the pairs with the prefix.
func (m *Memory) Range(prefix string) Page {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire()
	page := Page{revision: m.revision}
	for key, pair := range m.pairs {
		if strings.HasPrefix(key, prefix) {
			page.pairs = append(page.pairs, pair)
		}
	}
	slices.SortFunc(page.pairs, func(a, b Pair) int { return strings.Compare(a.key, b.key) })
	return page
}

// Commit runs a transaction.
func (m *Memory) Commit(t Txn) Committed {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire()
	for _, c := range t.compares {
		if m.pairs[c.key].revision != c.revision {
			return Committed{revision: m.revision}
		}
	}
	for _, w := range t.writes {
		if w.lease != 0 && m.leases[w.lease] == nil {
			return Committed{revision: m.revision}
		}
	}
	m.apply(t.writes)
	return Committed{succeeded: true, revision: m.revision}
}

// apply makes the writes one batch; the caller holds the mutex.
func (m *Memory) apply(writes []write) {
	if len(writes) == 0 {
		return
	}
	m.revision++
	batch := Batch{revision: m.revision}
	for _, w := range writes {
		pair := Pair{key: w.key, value: w.value, revision: m.revision}
		delete(m.owners, w.key)
		if w.deleted {
			delete(m.pairs, w.key)
		} else {
			m.pairs[w.key] = pair
		}
		if w.lease != 0 {
			m.owners[w.key] = w.lease
		}
		batch.events = append(batch.events, Event{pair: pair, deleted: w.deleted})
	}
	m.history = append(m.history, batch)
	if len(m.history) > historyKept {
		m.compacted = m.history[0].revision
		m.history = m.history[1:]
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// Watch calls receive with the batches from the revision on.
func (m *Memory) Watch(ctx context.Context, prefix string, from int64, receive func(Batch)) error {
	for {
		batches, changed, err := m.since(prefix, from)
		if err != nil {
			return err
		}
		for _, batch := range batches {
			receive(batch)
			from = batch.revision + 1
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

func (m *Memory) since(prefix string, from int64) ([]Batch, <-chan struct{}, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if from <= m.compacted {
		return nil, nil, &CompactedError{revision: m.compacted}
	}
	var batches []Batch
	for _, b := range m.history {
		if b.revision < from {
			continue
		}
		if filtered := b.within(prefix); len(filtered.events) > 0 {
			batches = append(batches, filtered)
		}
	}
	return batches, m.changed, nil
}

func (b Batch) within(prefix string) Batch {
	filtered := Batch{revision: b.revision}
	for _, e := range b.events {
		if strings.HasPrefix(e.pair.key, prefix) {
			filtered.events = append(filtered.events, e)
		}
	}
	return filtered
}

// Grant starts a lease with the ID, or with a new one if the ID is 0.
func (m *Memory) Grant(ttl time.Duration, id int64) int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if id == 0 {
		m.nextLease++
		id = m.nextLease
	}
	m.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	time.AfterFunc(ttl, m.sweep)
	return id
}

// KeepAlive renews a lease and returns its time to live, or 0 if it lapsed.
func (m *Memory) KeepAlive(id int64) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire()
	l := m.leases[id]
	if l == nil {
		return 0
	}
	l.expires = time.Now().Add(l.ttl)
	time.AfterFunc(l.ttl, m.sweep)
	return l.ttl
}

// Revoke ends a lease and removes its keys.
func (m *Memory) Revoke(id int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.drop(id)
}

func (m *Memory) sweep() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire()
}

// expire drops the lapsed leases; the caller holds the mutex.
func (m *Memory) expire() {
	now := time.Now()
	for id, l := range m.leases {
		if !now.Before(l.expires) {
			m.drop(id)
		}
	}
}

func (m *Memory) drop(id int64) {
	delete(m.leases, id)
	var writes []write
	for key, owner := range m.owners {
		if owner == id {
			writes = append(writes, write{key: key, deleted: true})
		}
	}
	m.apply(writes)
}
