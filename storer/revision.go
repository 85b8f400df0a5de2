package storer

import (
	"cmp"
	"fmt"
	"sync/atomic"
)

// Revision identifies one write of a store. The store counts its writes; its era
// counts how often it has gone back to an older copy, after which it gives out the
// same numbers again. A revision of a later era is later, whatever its number. Equal
// revisions are the same write of the same history.
type Revision struct {
	era    int64
	number int64
}

// NewRevision returns the revision with a number in an era of the store.
func NewRevision(era, number int64) Revision { return Revision{era: era, number: number} }

// Era returns the era of the store in which the number was given out.
func (r Revision) Era() int64 { return r.era }

// Number returns the number within the era, for messages. Numbers of different eras
// have no order.
func (r Revision) Number() int64 { return r.number }

// IsZero reports whether r is the zero value, which is the revision of a key that
// does not exist.
func (r Revision) IsZero() bool { return r == Revision{} }

// Compare returns -1 if r is before other, 1 if it is after it, and otherwise 0.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.era, other.era), cmp.Compare(r.number, other.number))
}

// Before reports whether r is earlier than other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// After reports whether r is later than other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// String returns the era and the number, as in "2:41".
func (r Revision) String() string { return fmt.Sprintf("%d:%d", r.era, r.number) }

// LatestRevision returns the later one of two revisions.
func LatestRevision(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}

// RevisionMark holds the latest of the revisions that it was advanced to. It is safe
// for concurrent use, and its zero value is ready to use.
type RevisionMark struct{ latest atomic.Pointer[Revision] }

// Load returns the latest revision.
func (m *RevisionMark) Load() Revision {
	if latest := m.latest.Load(); latest != nil {
		return *latest
	}
	return Revision{}
}

// Advance raises the mark to a revision, and never lowers it.
func (m *RevisionMark) Advance(to Revision) {
	for {
		old := m.latest.Load()
		if old != nil && !to.After(*old) {
			return
		}
		if m.latest.CompareAndSwap(old, &to) {
			return
		}
	}
}

// Lease identifies a lease within the era of the store in which it was granted. In
// another era the same ID may belong to another lease. The zero value means none.
type Lease struct {
	era int64
	id  int64
}

// NewLease returns the lease with an ID, granted in an era of the store.
func NewLease(era, id int64) Lease { return Lease{era: era, id: id} }

// Era returns the era of the store in which the lease was granted.
func (l Lease) Era() int64 { return l.era }

// ID returns the ID of the lease within its era.
func (l Lease) ID() int64 { return l.id }

// IsZero reports whether l is the zero value, which means no lease.
func (l Lease) IsZero() bool { return l == Lease{} }

// noEra is the era of the revisions and leases of stores that never go back to an
// older copy.
const noEra = 0

func etcdRevision(number int64) Revision { return NewRevision(noEra, number) }

func etcdLease(id int64) Lease { return NewLease(noEra, id) }
