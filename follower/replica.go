package follower

import (
	"cmp"
	"slices"
	"time"

	"burdocklane/storer"
)

// Replica is a local copy of the store's keys. It has no clock of its own: the
// caller sets a time until which keys that disappear are retained as missing.
type Replica struct {
	pairs       map[string]storer.Pair
	sorted      []storer.Pair        // The pairs sorted by key, or nil if they have changed.
	missing     map[string]time.Time // The keys that are retained, with the time at which each is dropped.
	retainUntil time.Time
}

// NewReplica returns a replica without keys.
func NewReplica() *Replica {
	return &Replica{pairs: map[string]storer.Pair{}, missing: map[string]time.Time{}}
}

// RetainUntil makes the replica retain keys that disappear before retainUntil
// until then: their writers may put them again. Keys that are missing already are
// retained no longer than before.
func (r *Replica) RetainUntil(retainUntil time.Time) { r.retainUntil = retainUntil }

// Replace replaces the keys by those of a full read. Keys that the read lacks are
// dropped, or marked as missing while missing keys are retained.
func (r *Replica) Replace(pairs []storer.Pair) {
	present := make(map[string]struct{}, len(pairs))
	for _, pair := range pairs {
		present[pair.Key()] = struct{}{}
		r.put(pair)
	}
	for key := range r.pairs {
		if _, ok := present[key]; !ok {
			r.remove(key)
		}
	}
}

// Apply applies changes, and reports whether there were any. Changes older than
// the replica's value of a key are ignored.
func (r *Replica) Apply(events []storer.Event) bool {
	for _, event := range events {
		if event.Deleted() {
			if event.Pair().Revision().After(r.pairs[event.Pair().Key()].Revision()) {
				r.remove(event.Pair().Key())
			}
			continue
		}
		r.put(event.Pair())
	}
	return len(events) > 0
}

func (r *Replica) put(pair storer.Pair) {
	if !pair.Revision().Before(r.pairs[pair.Key()].Revision()) {
		r.pairs[pair.Key()], r.sorted = pair, nil
		delete(r.missing, pair.Key())
	}
}

func (r *Replica) remove(key string) {
	if _, ok := r.pairs[key]; !ok {
		return
	}
	if _, ok := r.missing[key]; ok {
		return
	}
	if !r.retainUntil.IsZero() {
		r.missing[key] = r.retainUntil
		return
	}
	delete(r.pairs, key)
	r.sorted = nil
}

// RetentionDeadline returns the time at which the next missing keys are dropped, and
// false if none are retained.
func (r *Replica) RetentionDeadline() (time.Time, bool) {
	deadline := r.retainUntil
	for _, d := range r.missing {
		if d.Before(deadline) {
			deadline = d
		}
	}
	return deadline, !r.retainUntil.IsZero()
}

// Expire drops the missing keys that have been retained for long enough, and reports
// whether the retention deadline has passed.
func (r *Replica) Expire(now time.Time) bool {
	for key, deadline := range r.missing {
		if !now.Before(deadline) {
			delete(r.missing, key)
			delete(r.pairs, key)
			r.sorted = nil
		}
	}
	if r.retainUntil.IsZero() || now.Before(r.retainUntil) {
		return false
	}
	r.retainUntil = time.Time{}
	return true
}

// Pairs returns all keys including the missing ones, sorted by key. The caller must not
// change the slice.
func (r *Replica) Pairs() []storer.Pair {
	if r.sorted != nil {
		return r.sorted
	}
	r.sorted = make([]storer.Pair, 0, len(r.pairs))
	for _, pair := range r.pairs {
		r.sorted = append(r.sorted, pair)
	}
	slices.SortFunc(r.sorted, func(a, b storer.Pair) int { return cmp.Compare(a.Key(), b.Key()) })
	return r.sorted
}

// Stored returns the keys that the store holds at the revision, without the
// missing ones: other instances may know that these were deleted.
func (r *Replica) Stored(revision storer.Revision) storer.RangeResult {
	if len(r.missing) == 0 {
		return storer.NewRangeResult(r.Pairs(), revision).WithRecovering(!r.retainUntil.IsZero())
	}
	pairs := slices.DeleteFunc(slices.Clone(r.Pairs()), func(p storer.Pair) bool {
		_, missing := r.missing[p.Key()]
		return missing
	})
	return storer.NewRangeResult(pairs, revision).WithRecovering(!r.retainUntil.IsZero())
}
