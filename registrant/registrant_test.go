package registrant_test

import (
	"context"
	"slices"
	"strings"
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
	"go.uber.org/goleak"
)

func entries(store *storer.Memory) []storer.Pair { return store.Range("own/").Pairs() }

func awaitEntries(store *storer.Memory, count int) {
	for len(entries(store)) != count {
		time.Sleep(time.Millisecond)
	}
}

// Guards against entries of another writer that name no instance, or one that no peer
// can reach and that would still be chosen as a coordinator.
func TestParse(t *testing.T) {
	const good = `{"id":"i","peers":"10.0.0.1:1","rulings":"10.0.0.1:2","power":0.5,"region":"r","availability-zone":"z"}`
	tests := []struct {
		name  string
		edit  [2]string
		valid bool
	}{
		{"good", [2]string{}, true},
		{"an unknown field", [2]string{`{`, `{"new":[1],`}, true},
		{"no address for assignment requests", [2]string{`"10.0.0.1:2"`, `""`}, true},
		{"null", [2]string{good, "null"}, false},
		{"no ID", [2]string{`"id":"i",`, ``}, false},
		{"the ID of another key", [2]string{`"id":"i"`, `"id":"j"`}, false},
		{"no address", [2]string{`"10.0.0.1:1"`, `""`}, false},
		{"a host name", [2]string{`"10.0.0.1:1"`, `"localhost:1"`}, false},
		{"port out of range", [2]string{`"10.0.0.1:1"`, `"10.0.0.1:65536"`}, false},
		{"a host name for assignment requests", [2]string{`"10.0.0.1:2"`, `"localhost:2"`}, false},
		{"more CPUs than any machine has", [2]string{`0.5`, `1e308`}, false},
		{"CPUs beyond a number", [2]string{`0.5`, `1e309`}, false},
		{"negative CPUs", [2]string{`0.5`, `-1`}, false},
		{"deep nesting", [2]string{`{`, `{"new":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `,`}, false},
		{"bytes", [2]string{good, "\x00\xff"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got, err := registrant.Parse("own/i", []byte(strings.Replace(good, test.edit[0], test.edit[1], 1)))
			c.Assert(err == nil, qt.Equals, test.valid, qt.Commentf("%v", err))
			if test.valid {
				c.Assert(got.ID(), qt.Equals, registrar.InstanceID("i"))
				return
			}
			var entryErr *registrant.EntryError
			c.Assert(errors.As(err, &entryErr), qt.IsTrue)
		})
	}
}

func TestEntryIsWrittenUnlessPresent(t *testing.T) {
	tests := []struct {
		name      string
		moved     bool // Restarted at another address than that of the existing entry.
		restarted bool
	}{
		{"first start", false, false},
		{"restarted at the same address", false, true},
		{"restarted at another address", true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Cleanup(func() { goleak.VerifyNone(t) })
			c := qt.New(t)
			store := storer.NewMemory()
			self := registrar.NewInstance("i", "10.0.0.1:1", "", registrar.NewLocality("r", "z"), false).WithCPUs(0.5)
			start := func(self registrar.Instance) *registrant.Registrant {
				r, err := registrant.New(store, "own/", self, zerolog.Nop())
				c.Assert(err, qt.IsNil)
				r.Observe(store.Range("own/"))
				return r
			}
			first := start(self)
			awaitEntries(store, 1)
			first.Close()
			got, err := registrant.Parse("own/i", entries(store)[0].Value())
			c.Assert(err, qt.IsNil)
			c.Assert(got == self, qt.IsTrue)
			if !test.restarted {
				return
			}
			before := entries(store)[0].Revision()
			if test.moved {
				self = registrar.NewInstance("i", "10.0.0.2:1", "", registrar.NewLocality("r", "z"), false)
			}
			second := start(self)
			for test.moved && entries(store)[0].Revision() == before {
				time.Sleep(time.Millisecond)
			}
			second.Close()
			c.Assert(entries(store)[0].Revision() != before, qt.Equals, test.moved)
		})
	}
}

// restorableStore is a fake store that can go back to an older copy and then gives out
// the IDs of leases again. Like the platform's client, it neither renews a lease of
// another era nor runs a transaction with one.
type restorableStore struct {
	mutex    sync.Mutex // Guards the fields below.
	era      int64
	nextID   int64
	renewed  []storer.Lease
	written  []storer.Lease // The lease of each entry that was written.
	onCommit func()         // Called before each transaction, if set.
	commit   error          // The error of the next transaction.
}

func (s *restorableStore) goBack() {
	s.era++
	s.nextID = 0
}

func (s *restorableStore) store() *storer.Remote {
	return storer.NewRemote(
		storer.WithLeases(
			func(context.Context, time.Duration) (storer.Lease, error) {
				s.mutex.Lock()
				defer s.mutex.Unlock()
				s.nextID++
				return storer.NewLease(s.era, s.nextID), nil
			},
			func(_ context.Context, lease storer.Lease) (bool, error) {
				s.mutex.Lock()
				defer s.mutex.Unlock()
				if lease.Era() != s.era {
					return false, nil
				}
				s.renewed = append(s.renewed, lease)
				return true, nil
			},
			func(context.Context, storer.Lease) error { return nil }),
		storer.WithCommit(func(_ context.Context, t storer.Txn) (storer.TxnResult, error) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			if s.onCommit != nil {
				s.onCommit()
				s.onCommit = nil
			}
			lease := t.Writes()[0].Lease()
			if err := s.commit; err != nil {
				s.commit = nil
				return storer.TxnResult{}, err
			}
			if lease.Era() != s.era {
				return storer.TxnResult{}, storer.NewSupersededError("transaction", lease.Era(), s.era)
			}
			s.written = append(s.written, lease)
			return storer.NewTxnResult(true, storer.NewRevision(s.era, 1)), nil
		}))
}

// After the store has gone back to an older copy, the ID of the lease may belong to
// another writer: an instance that went on renewing it would lose its entry.
func TestEntryIsWrittenAgainInANewEra(t *testing.T) {
	lease := storer.NewLease
	tests := []struct {
		name    string
		start   func(*restorableStore) // Before the first write.
		later   func(*restorableStore) // A minute after it.
		missing bool                   // The entry is reported missing then.
		wait    time.Duration          // From then on.
		written []storer.Lease
		renewed []storer.Lease
	}{
		{
			"one era", nil, nil, false, 5 * time.Minute,
			[]storer.Lease{lease(1, 1)},
			[]storer.Lease{lease(1, 1), lease(1, 1)},
		},
		{
			"the copy has the entry", nil, (*restorableStore).goBack, false, 6 * time.Minute,
			[]storer.Lease{lease(1, 1), lease(2, 1)},
			[]storer.Lease{lease(2, 1)},
		},
		{
			"the copy lacks the entry", nil, (*restorableStore).goBack, true, 3 * time.Second,
			[]storer.Lease{lease(1, 1), lease(2, 1)},
			nil,
		},
		{
			"the store goes back between the lease and the entry",
			func(s *restorableStore) { s.onCommit = s.goBack }, nil, false, time.Second,
			[]storer.Lease{lease(2, 1)},
			nil,
		},
		{
			"the entry is answered in a later era",
			func(s *restorableStore) {
				s.commit = storer.NewEraChangedError("transaction", 1, 2)
				s.onCommit = s.goBack
			},
			nil, false, time.Second,
			[]storer.Lease{lease(2, 1)},
			nil,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := &restorableStore{era: 1}
				if test.start != nil {
					test.start(s)
				}
				r, err := registrant.New(s.store(), "own/", registrar.NewInstance("i", "10.0.0.1:1", "", registrar.NewLocality("r", "z"), false), zerolog.Nop())
				c.Assert(err, qt.IsNil)
				r.Observe(storer.RangeResult{})
				time.Sleep(time.Minute)
				if test.later != nil {
					s.mutex.Lock()
					test.later(s)
					s.mutex.Unlock()
				}
				if test.missing {
					r.Observe(storer.RangeResult{})
				}
				time.Sleep(test.wait)
				r.Close()
				c.Assert(slices.Equal(s.written, test.written), qt.IsTrue, qt.Commentf("%v", s.written))
				c.Assert(slices.Equal(s.renewed, test.renewed), qt.IsTrue, qt.Commentf("%v", s.renewed))
			})
		})
	}
}
