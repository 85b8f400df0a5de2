package relayer

import (
	"burdocklane/storer"
)

// removedMost is how many removals a relay remembers.
const removedMost = 512

// keysCopy is what a relay has to tell. It is immutable.
type keysCopy struct {
	cursor   int64 // Grows with every change.
	revision int64 // The store's.
	// recovering tells that keys which are not there may still return.
	recovering bool
	pairs      map[string]numbered
	removed    []removal
	floor      int64         // What changed up to this cursor cannot be told one by one.
	replaced   chan struct{} // Closed when a later copy is there.
}

// numbered is a pair with the cursor at which it last changed.
type numbered struct {
	pair   storer.Pair
	cursor int64
}

type removal struct {
	key      string
	revision int64
	cursor   int64
}

func newKeysCopy() *keysCopy {
	return &keysCopy{pairs: map[string]numbered{}, replaced: make(chan struct{})}
}

// next returns the copy that follows when the store's keys are those of the page.
func (k *keysCopy) next(page storer.Page) *keysCopy {
	n := &keysCopy{
		cursor: k.cursor + 1, revision: page.Revision(), recovering: page.IsRecovering(), floor: k.floor,
		pairs: make(map[string]numbered, len(page.Pairs())), replaced: make(chan struct{}),
	}
	for _, pair := range page.Pairs() {
		if old, ok := k.pairs[pair.Key()]; ok && old.pair.Revision() == pair.Revision() {
			n.pairs[pair.Key()] = old
			continue
		}
		n.pairs[pair.Key()] = numbered{pair: pair, cursor: n.cursor}
	}
	n.removed = k.removed
	for key := range k.pairs {
		if _, ok := n.pairs[key]; !ok {
			n.removed = append(n.removed[:len(n.removed):len(n.removed)], removal{key: key, revision: page.Revision(), cursor: n.cursor})
		}
	}
	n.forget()
	if n.recovering && !k.recovering { // What has gone now may return: all is to be read anew.
		n.floor = n.cursor
	}
	return n
}

// forget drops the oldest removals beyond the most that are remembered.
func (k *keysCopy) forget() {
	if excess := len(k.removed) - removedMost; excess > 0 {
		k.floor = k.removed[excess-1].cursor
		k.removed = k.removed[excess:]
	}
}

// since returns what changed after the cursor, and false if that is not known.
func (k *keysCopy) since(cursor int64) (changesMessage, bool) {
	m := changesMessage{Cursor: k.cursor, Revision: k.revision}
	if cursor < k.floor || cursor > k.cursor {
		return m, false
	}
	for _, n := range k.pairs {
		if n.cursor > cursor {
			m.Pairs = append(m.Pairs, newPairMessage(n.pair))
		}
	}
	for _, r := range k.removed {
		if r.cursor > cursor {
			m.Removed = append(m.Removed, removalMessage{Key: r.key, Revision: r.revision})
		}
	}
	return m, true
}

// all returns every key.
func (k *keysCopy) all(incarnation string) copyMessage {
	m := copyMessage{Incarnation: incarnation, Cursor: k.cursor, Revision: k.revision, Recovering: k.recovering, Pairs: make([]pairMessage, 0, len(k.pairs))}
	for _, n := range k.pairs {
		m.Pairs = append(m.Pairs, newPairMessage(n.pair))
	}
	return m
}
