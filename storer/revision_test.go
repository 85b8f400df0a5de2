package storer_test

import (
	"sync"
	"testing"

	"burdocklane/storer"

	qt "github.com/frankban/quicktest"
)

// A store that has gone back to an older copy gives out numbers again: a comparison of
// the numbers alone would take its new writes for old ones.
func TestOrderOfRevisions(t *testing.T) {
	tests := []struct {
		name string
		a, b storer.Revision
		want int
	}{
		{"the same write", storer.NewRevision(1, 41), storer.NewRevision(1, 41), 0},
		{"a later write of one era", storer.NewRevision(1, 58), storer.NewRevision(1, 41), 1},
		{"a lower number of a later era", storer.NewRevision(2, 41), storer.NewRevision(1, 58), 1},
		{"the same number of a later era", storer.NewRevision(2, 58), storer.NewRevision(1, 58), 1},
		{"the start of a later era", storer.NewRevision(1, 0), storer.NewRevision(0, 58), 1},
		{"a missing key", storer.Revision{}, storer.NewRevision(0, 1), -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(test.a.Compare(test.b), qt.Equals, test.want)
			c.Assert(test.b.Compare(test.a), qt.Equals, -test.want)
			c.Assert(test.a.After(test.b), qt.Equals, test.want > 0)
			c.Assert(test.b.Before(test.a), qt.Equals, test.want > 0)
			c.Assert(test.a == test.b, qt.Equals, test.want == 0)
			latest := storer.LatestRevision(test.a, test.b)
			c.Assert(latest.Before(test.a) || latest.Before(test.b), qt.IsFalse)
		})
	}
	c := qt.New(t)
	c.Assert(storer.NewRevision(2, 41).String(), qt.Equals, "2:41")
	c.Assert(storer.Revision{}.IsZero(), qt.IsTrue)
	c.Assert(storer.NewRevision(1, 0).IsZero(), qt.IsFalse)
}

// An instance that forgot the latest revision would serve older keys again.
func TestRevisionMarkOnlyGrows(t *testing.T) {
	c := qt.New(t)
	var mark storer.RevisionMark
	c.Assert(mark.Load(), qt.Equals, storer.Revision{})
	var writers sync.WaitGroup
	for era := range int64(4) {
		writers.Go(func() {
			for number := int64(100); number > 0; number-- {
				mark.Advance(storer.NewRevision(era, number))
			}
		})
	}
	writers.Wait()
	c.Assert(mark.Load(), qt.Equals, storer.NewRevision(3, 100))
}

// The ID of a lease of an earlier era may belong to another writer.
func TestLeasesOfTwoErasDiffer(t *testing.T) {
	c := qt.New(t)
	lease := storer.NewLease(1, 7)
	c.Assert(lease == storer.NewLease(2, 7), qt.IsFalse)
	c.Assert(lease.IsZero(), qt.IsFalse)
	c.Assert(storer.Lease{}.IsZero(), qt.IsTrue)
	c.Assert(lease.Era(), qt.Equals, int64(1))
	c.Assert(lease.ID(), qt.Equals, int64(7))
}
