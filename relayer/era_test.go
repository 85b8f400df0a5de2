package relayer

import (
	"encoding/json"
	"net/url"
	"testing"

	"burdocklane/storer"

	qt "github.com/frankban/quicktest"
)

// After the store has gone back to an older copy, what readers know of its changes is
// worth nothing: they have to read all keys again, even if these have the same numbers.
func TestChangesAcrossAnEra(t *testing.T) {
	tests := []struct {
		name   string
		before storer.RangeResult
	}{
		{"the store was reachable until then", storer.NewRangeResult(pairs(1, 2), revision(2))},
		{"the store had just recovered from an outage", storer.NewRangeResult(pairs(1, 2), revision(2)).WithRecovering(true)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			later := storer.NewRevision(era+1, 2)
			before := newSnapshot().next(test.before)
			restored := before.next(storer.NewRangeResult([]storer.Pair{storer.NewPair("key-1", []byte("other"), later)}, later).WithRecovering(true))
			_, known := restored.changesSince(before.cursor)
			c.Assert(known, qt.IsFalse)
			_, known = restored.changesSince(restored.cursor)
			c.Assert(known, qt.IsTrue)
			got := restored.message("i").rangeResult()
			c.Assert(got.Revision(), qt.Equals, later)
			c.Assert(got.Pairs(), qt.HasLen, 1)
			c.Assert(string(got.Pairs()[0].Value()), qt.Equals, "other")
			c.Assert(got.Pairs()[0].Revision(), qt.Equals, later)
		})
	}
}

// An era that got lost between two instances would make the revisions of a restored
// store look older than they are.
func TestEraInMessages(t *testing.T) {
	c := qt.New(t)
	later := storer.NewRevision(era+1, 4)
	s := newSnapshot().next(storer.NewRangeResult(pairs(1, 2), revision(2)))
	s = s.next(storer.NewRangeResult(nil, revision(3)))
	s = s.next(storer.NewRangeResult([]storer.Pair{storer.NewPair("key-1", nil, later)}, later))
	s.compactedCursor = 0 // Makes all changes available one by one.
	m, ok := s.changesSince(0)
	c.Assert(ok, qt.IsTrue)
	data, err := json.Marshal(m)
	c.Assert(err, qt.IsNil)
	var got changesMessage
	c.Assert(json.Unmarshal(data, &got), qt.IsNil)
	batch := got.batch()
	c.Assert(batch.Revision(), qt.Equals, later)
	eras := map[bool]int64{}
	for _, event := range batch.Events() {
		eras[event.Deleted()] = event.Pair().Revision().Era()
	}
	c.Assert(eras, qt.DeepEquals, map[bool]int64{true: era, false: era + 1})
}

// A relay that took a query of another form for one without a condition would serve
// keys that the client has outgrown.
func TestParseMinRevision(t *testing.T) {
	tests := []struct {
		name  string
		query string
		want  storer.Revision
		valid bool
	}{
		{"era and number", "least-era=2&least-revision=41", storer.NewRevision(2, 41), true},
		{"no era", "least-revision=41", storer.NewRevision(0, 41), true},
		{"no number", "least-era=2", storer.Revision{}, false},
		{"an era that is no number", "least-era=two&least-revision=41", storer.Revision{}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			query, err := url.ParseQuery(test.query)
			c.Assert(err, qt.IsNil)
			got, err := parseMinRevision(query)
			c.Assert(err == nil, qt.Equals, test.valid)
			if test.valid {
				c.Assert(got, qt.Equals, test.want)
			}
		})
	}
}
