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

func await(store *storer.Memory, count int) {
	for len(entries(store)) != count {
		time.Sleep(time.Millisecond)
	}
}

func TestTheEntryIsWrittenUnlessItStands(t *testing.T) {
	tests := []struct {
		name  string
		other bool // An entry of an earlier start with another address.
		again bool
	}{
		{"first start", false, false},
		{"started again at the same address", false, true},
		{"started again at another address", true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Cleanup(func() { goleak.VerifyNone(t) })
			c := qt.New(t)
			store := storer.NewMemory()
			self := registrar.NewInstance("i", "10.0.0.1:1", "", registrar.NewPlace("r", "z"), false).WithPower(0.5)
			start := func(self registrar.Instance) *registrant.Registrant {
				r, err := registrant.New(store, "own/", self, zerolog.Nop())
				c.Assert(err, qt.IsNil)
				r.Seen(entries(store))
				return r
			}
			first := start(self)
			await(store, 1)
			first.Close()
			got, err := registrant.Parse("own/i", entries(store)[0].Value())
			c.Assert(err, qt.IsNil)
			c.Assert(got == self, qt.IsTrue)
			if !test.again {
				return
			}
			before := entries(store)[0].Revision()
			if test.other {
				self = registrar.NewInstance("i", "10.0.0.2:1", "", registrar.NewPlace("r", "z"), false)
			}
			second := start(self)
			for test.other && entries(store)[0].Revision() == before {
				time.Sleep(time.Millisecond)
			}
			second.Close()
			c.Assert(entries(store)[0].Revision() != before, qt.Equals, test.other)
		})
	}
}
