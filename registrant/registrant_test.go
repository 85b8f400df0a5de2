package registrant_test

import (
	"testing"
	"time"

	"burdocklane/registrant"
	"burdocklane/registrar"
	"burdocklane/storer"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

func entries(store *storer.Memory) []storer.Pair { return store.Range("own/").Pairs() }

func awaitEntries(store *storer.Memory, count int) {
	for len(entries(store)) != count {
		time.Sleep(time.Millisecond)
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
				r.Observe(entries(store))
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
