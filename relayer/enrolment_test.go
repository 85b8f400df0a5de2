package relayer

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"burdocklane/registrar"
	"burdocklane/storer"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

// Guards against an instance that no relay registers although one could, and against a
// relay that an odd request stops.
func TestEnrolment(t *testing.T) {
	failing := func(context.Context, string, []byte) (storer.Revision, error) {
		return storer.Revision{}, errors.New("store is unreachable")
	}
	writing := func(_ context.Context, key string, value []byte) (storer.Revision, error) {
		return storer.NewRevision(era, int64(len(key)+len(value))), nil
	}
	tests := []struct {
		name   string
		enroll []Enroll // Of the relays in order, two of each zone.
		served int      // The relay that served the keys before, or -1.
		want   int64    // The revision, or 0 for an error.
	}{
		{"no relay", nil, -1, 0},
		{"the first relay", []Enroll{writing}, -1, 5},
		{"the first relay fails", []Enroll{failing, writing}, -1, 5},
		{"the relay that served the keys", []Enroll{failing, writing}, 1, 5},
		{"a relay that registers nobody", []Enroll{nil}, -1, 0},
		{"all fail", []Enroll{failing, failing}, 0, 0},
		{"the store refuses the zone", []Enroll{failing, failing, writing}, -1, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			self := instance("self", "a", 0)
			selector := NewSelector(self, func() storer.Revision { return storer.Revision{} }, func() []registrar.Instance { return nil })
			defer selector.Close()
			instances := []registrar.Instance{self}
			for n, enroll := range test.enroll {
				r, err := New(anyAddress, func() bool { return true }, zerolog.Nop(), WithEnrolment(enroll))
				c.Assert(err, qt.IsNil)
				defer r.Close()
				id := registrar.InstanceID(fmt.Sprintf("relay-%d", n))
				locality := registrar.NewLocality("r", string("abc"[n/2]))
				instances = append(instances, registrar.NewInstance(id, r.Address(), "", locality, false).WithCPUs(float64(9-n)))
				if n == test.served {
					selector.recordServed(r.Address())
				}
			}
			selector.UpdateInstances(instances)
			revision, err := selector.Enroll(t.Context(), "key", []byte("ab"))
			c.Assert(revision.Number(), qt.Equals, test.want, qt.Commentf("%v", err))
			c.Assert(err == nil, qt.Equals, test.want > 0)
		})
	}
}

func TestOddEnrolments(t *testing.T) {
	tests := []struct {
		name   string
		body   string
		status int
	}{
		{"empty", "", http.StatusBadRequest},
		{"no JSON", "key", http.StatusBadRequest},
		{"another type", `{"key":7}`, http.StatusBadRequest},
		{"deep", strings.Repeat("[", 4000), http.StatusBadRequest},
		{"too long", `{"key":"` + strings.Repeat("k", maxEnrolmentBytes) + `"}`, http.StatusBadRequest},
		{"good", `{"key":"k","value":"YWI="}`, http.StatusOK},
	}
	c := qt.New(t)
	r, err := New(anyAddress, func() bool { return true }, zerolog.Nop(), WithEnrolment(func(context.Context, string, []byte) (storer.Revision, error) {
		return revision(1), nil
	}))
	c.Assert(err, qt.IsNil)
	defer r.Close()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			response, err := http.Post("http://"+r.Address()+pathEnrolment, "application/json", bytes.NewReader([]byte(test.body)))
			c.Assert(err, qt.IsNil)
			response.Body.Close()
			c.Assert(response.StatusCode, qt.Equals, test.status)
		})
	}
}

// Pattern: a whole zone reads all keys from one relay at the same time.
func TestKeysAreEncodedOnceAndCompressed(t *testing.T) {
	c := qt.New(t)
	many := make([]storer.Pair, 0, 500)
	for n := range 500 {
		many = append(many, storer.NewPair(fmt.Sprintf("servers/i-%d", n), bytes.Repeat([]byte(`{"Service":"s"}`), 10), revision(1)))
	}
	s := newSnapshot().next(storer.NewRangeResult(many, revision(1))).withEncodings("i")
	first := s.encodings.keys()
	c.Assert(s.encodings.keys() == first, qt.IsTrue)
	c.Assert(len(first.compressed)*4 < len(first.plain), qt.IsTrue, qt.Commentf("%d of %d", len(first.compressed), len(first.plain)))
	changes, ok := s.encodedChanges(s.cursor)
	again, _ := s.encodedChanges(s.cursor)
	c.Assert(ok, qt.IsTrue)
	c.Assert(changes == again, qt.IsTrue)
	_, ok = s.encodedChanges(s.cursor + 1)
	c.Assert(ok, qt.IsFalse)
}

// Guards against an instance that reads from one which ranks below it, so that two wait
// for each other, and against one that waits for itself.
func TestFirstRelays(t *testing.T) {
	big := func(id string) registrar.Instance { return instance(id, "a", 1) }
	small := func(id string) registrar.Instance { return instance(id, "a", 0.1) }
	tests := []struct {
		name       string
		self       registrar.Instance
		listed     []registrar.Instance
		want       []string
		selfListed bool
	}{
		{"nobody is listed", small("s"), nil, nil, false},
		{"only this instance is listed", small("s"), []registrar.Instance{small("s")}, nil, true},
		{"a higher one is listed", small("s"), []registrar.Instance{big("b")}, []string{"relay b:1"}, false},
		{"both relays are listed", small("s"), []registrar.Instance{small("s"), instance("c", "a", 2), big("b")}, []string{"relay c:1", "relay b:1"}, true},
		{"only a lower one is listed", big("b"), []registrar.Instance{small("s")}, nil, false},
		{"this instance is the second", big("b"), []registrar.Instance{small("s"), big("b"), instance("c", "a", 2)}, []string{"relay c:1"}, true},
		{"one of another zone", small("s"), []registrar.Instance{instance("b", "b", 1)}, nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			selector := NewSelector(test.self, func() storer.Revision { return storer.Revision{} }, func() []registrar.Instance { return nil })
			defer selector.Close()
			relays, selfListed := selector.FirstRelays(test.listed)
			var got []string
			for _, relay := range relays {
				got = append(got, storer.Name(relay))
			}
			c.Assert(got, qt.DeepEquals, test.want)
			c.Assert(selfListed, qt.Equals, test.selfListed)
		})
	}
}
