package relayer

import (
	"burdocklane/storer"
)

// pairMessage is a key with its value, as instances send it to each other. A
// revision consists of the era and the number within it.
type pairMessage struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Era      int64  `json:"era"`
	Revision int64  `json:"revision"`
}

// removalMessage is a key that was removed.
type removalMessage struct {
	Key      string `json:"key"`
	Era      int64  `json:"era"`
	Revision int64  `json:"revision"`
}

// snapshotMessage is a relay's whole snapshot. The cursor is valid within the
// relay's incarnation.
type snapshotMessage struct {
	Incarnation string        `json:"incarnation"`
	Cursor      int64         `json:"cursor"`
	Era         int64         `json:"era"`
	Revision    int64         `json:"revision"`
	Recovering  bool          `json:"recovering,omitempty"`
	Pairs       []pairMessage `json:"pairs"`
}

// changesMessage is what has changed in a relay's snapshot since a cursor.
type changesMessage struct {
	Cursor   int64            `json:"cursor"`
	Era      int64            `json:"era"`
	Revision int64            `json:"revision"`
	Pairs    []pairMessage    `json:"pairs,omitempty"`
	Removed  []removalMessage `json:"removed,omitempty"`
}

func newPairMessage(p storer.Pair) pairMessage {
	return pairMessage{Key: p.Key(), Value: p.Value(), Era: p.Revision().Era(), Revision: p.Revision().Number()}
}

func (m pairMessage) pair() storer.Pair {
	return storer.NewPair(m.Key, m.Value, storer.NewRevision(m.Era, m.Revision))
}

func (m snapshotMessage) rangeResult() storer.RangeResult {
	pairs := make([]storer.Pair, 0, len(m.Pairs))
	for _, p := range m.Pairs {
		pairs = append(pairs, p.pair())
	}
	return storer.NewRangeResult(pairs, storer.NewRevision(m.Era, m.Revision)).WithRecovering(m.Recovering)
}

func (m changesMessage) batch() storer.Batch {
	events := make([]storer.Event, 0, len(m.Pairs)+len(m.Removed))
	for _, r := range m.Removed {
		events = append(events, storer.NewDeletion(r.Key, storer.NewRevision(r.Era, r.Revision)))
	}
	for _, p := range m.Pairs {
		events = append(events, storer.NewEvent(p.pair()))
	}
	return storer.NewBatch(events, storer.NewRevision(m.Era, m.Revision))
}
