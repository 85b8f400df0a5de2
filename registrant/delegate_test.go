package registrant_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdocklane/registrant"
	"burdocklane/registrar"
	"burdocklane/storer"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

func entryOf(id string) []byte {
	return fmt.Appendf(nil, `{"id":%q,"peers":"10.0.0.1:1","rulings":"10.0.0.1:2","power":0.5,"region":"r","availability-zone":"z"}`, id)
}

// Pattern: a zone starts at once. One write for each instance would grow with the fleet.
func TestDelegateWritesEntriesTogether(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		leases    int // Each batch has one.
	}{
		{"one instance", 1, 1},
		{"a zone", 30, 1},
		{"more than a transaction takes", 70, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := &restorableStore{era: 1}
				d := registrant.NewDelegate(s.store(), "own/", zerolog.Nop())
				defer d.Close()
				var group sync.WaitGroup
				for n := range test.instances {
					group.Go(func() {
						id := fmt.Sprintf("i-%d", n)
						revision, err := d.Enroll(t.Context(), "own/"+id, entryOf(id))
						c.Check(err, qt.IsNil)
						c.Check(revision.IsZero(), qt.IsFalse)
					})
				}
				group.Wait()
				c.Assert(s.written, qt.HasLen, test.leases)
			})
		})
	}
}

// Guards against an entry that another writer makes up, and against a caller that waits
// for a write that failed.
func TestDelegateRejects(t *testing.T) {
	tests := []struct {
		name      string
		key       string
		value     string
		commitErr error
		isEntry   bool // The error is an *EntryError, and nothing was written.
	}{
		{"the key of another prefix", "op/i", string(entryOf("i")), nil, true},
		{"the key of another instance", "own/j", string(entryOf("i")), nil, true},
		{"no entry", "own/i", "null", nil, true},
		{"the write fails", "own/i", string(entryOf("i")), errors.New("store is unreachable"), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := &restorableStore{era: 1, commit: test.commitErr}
				d := registrant.NewDelegate(s.store(), "own/", zerolog.Nop())
				defer d.Close()
				_, err := d.Enroll(t.Context(), test.key, []byte(test.value))
				var entryErr *registrant.EntryError
				c.Assert(err, qt.IsNotNil)
				c.Assert(errors.As(err, &entryErr), qt.Equals, test.isEntry)
				c.Assert(s.written, qt.HasLen, 0)
			})
		})
	}
}

// Guards against an instance that is written twice, or not at all, when a peer registers
// it: a read from before the write does not show that the entry is missing.
func TestEntryIsWrittenByAPeer(t *testing.T) {
	later, earlier := storer.NewRevision(1, 7), storer.NewRevision(1, 3)
	tests := []struct {
		name     string
		enroll   error
		observed storer.RangeResult // After the entry was written.
		wait     time.Duration
		enrolled int
		written  int // By the instance itself.
	}{
		{"the peer writes it", nil, storer.NewRangeResult(nil, earlier), time.Second, 1, 0},
		{"the peer fails", errors.New("relay is suspended"), storer.RangeResult{}, time.Second, 2, 2},
		{"it is missing later", nil, storer.NewRangeResult(nil, later), time.Second, 2, 0},
		{"the lease would end", nil, storer.NewRangeResult(nil, earlier), 9 * time.Minute, 2, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := &restorableStore{era: 1}
				enrolled := 0
				enroll := func(context.Context, string, []byte) (storer.Revision, error) {
					enrolled++
					return storer.NewRevision(1, 5), test.enroll
				}
				self := registrar.NewInstance("i", "10.0.0.1:1", "", registrar.NewLocality("r", "z"), false)
				r, err := registrant.New(s.store(), "own/", self, zerolog.Nop(), registrant.WithEnrolment(enroll))
				c.Assert(err, qt.IsNil)
				r.Observe(storer.RangeResult{})
				time.Sleep(time.Second)
				r.Observe(test.observed)
				time.Sleep(test.wait)
				r.Close()
				c.Assert(enrolled, qt.Equals, test.enrolled)
				c.Assert(s.written, qt.HasLen, test.written)
			})
		})
	}
}
