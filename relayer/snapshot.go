package relayer

import (
	"burdocklane/storer"
)

// maxRemovals is the number of removals that a relay keeps in its history.
const maxRemovals = 512

// snapshot is the state that a relay serves: the keys, and the recent removals. It
// is immutable.
type snapshot struct {
	cursor   int64           // Grows with every change.
	revision storer.Revision // The store's revision.
	// recovering reports that the store was unreachable until recently, so that
	// keys which are missing may be put again.
	recovering      bool
	pairs           map[string]versionedPair
	removed         []removal
	compactedCursor int64         // Changes up to this cursor are no longer available one by one.
	replaced        chan struct{} // Closed when a later snapshot replaces this one.
	encodings       *encodings    // Of the snapshots that a relay serves.
}

// versionedPair is a pair with the cursor at which it last changed.
type versionedPair struct {
	pair   storer.Pair
	cursor int64
}

type removal struct {
	key      string
	revision storer.Revision
	cursor   int64
}

func newSnapshot() *snapshot {
	return &snapshot{pairs: map[string]versionedPair{}, replaced: make(chan struct{})}
}

// next returns the snapshot that follows s when the store's keys are those of the
// result.
func (s *snapshot) next(result storer.RangeResult) *snapshot {
	n := &snapshot{
		cursor: s.cursor + 1, revision: result.Revision(), recovering: result.IsRecovering(), compactedCursor: s.compactedCursor,
		pairs: make(map[string]versionedPair, len(result.Pairs())), replaced: make(chan struct{}),
	}
	for _, pair := range result.Pairs() {
		if old, ok := s.pairs[pair.Key()]; ok && old.pair.Revision() == pair.Revision() {
			n.pairs[pair.Key()] = old
			continue
		}
		n.pairs[pair.Key()] = versionedPair{pair: pair, cursor: n.cursor}
	}
	n.removed = s.removed
	for key := range s.pairs {
		if _, ok := n.pairs[key]; !ok {
			n.removed = append(n.removed[:len(n.removed):len(n.removed)], removal{key: key, revision: result.Revision(), cursor: n.cursor})
		}
	}
	n.trimRemovals()
	if n.isResetFrom(s) {
		n.compactedCursor = n.cursor
	}
	return n
}

// isResetFrom reports whether readers of the snapshot before have to read all keys
// again: keys that are missing now may be put again, or the store has gone back to an
// older copy.
func (s *snapshot) isResetFrom(before *snapshot) bool {
	return s.recovering && !before.recovering || s.revision.Era() != before.revision.Era()
}

// trimRemovals drops the oldest removals beyond maxRemovals.
func (s *snapshot) trimRemovals() {
	if excess := len(s.removed) - maxRemovals; excess > 0 {
		s.compactedCursor = s.removed[excess-1].cursor
		s.removed = s.removed[excess:]
	}
}

// hasChangesSince reports whether the changes after the cursor are available one by one.
func (s *snapshot) hasChangesSince(cursor int64) bool {
	return cursor >= s.compactedCursor && cursor <= s.cursor
}

// changesSince returns the changes after the cursor, and false if they are no
// longer available.
func (s *snapshot) changesSince(cursor int64) (changesMessage, bool) {
	m := changesMessage{Cursor: s.cursor, Era: s.revision.Era(), Revision: s.revision.Number()}
	if !s.hasChangesSince(cursor) {
		return m, false
	}
	for _, n := range s.pairs {
		if n.cursor > cursor {
			m.Pairs = append(m.Pairs, newPairMessage(n.pair))
		}
	}
	for _, r := range s.removed {
		if r.cursor > cursor {
			m.Removed = append(m.Removed, removalMessage{Key: r.key, Era: r.revision.Era(), Revision: r.revision.Number()})
		}
	}
	return m, true
}

// message returns the message with all keys.
func (s *snapshot) message(incarnation string) snapshotMessage {
	m := snapshotMessage{
		Incarnation: incarnation, Cursor: s.cursor, Era: s.revision.Era(), Revision: s.revision.Number(),
		Recovering: s.recovering, Pairs: make([]pairMessage, 0, len(s.pairs)),
	}
	for _, n := range s.pairs {
		m.Pairs = append(m.Pairs, newPairMessage(n.pair))
	}
	return m
}
