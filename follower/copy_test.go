package follower_test

import (
	"testing"
	"time"

	"burdocklane/follower"
	"burdocklane/storer"

	qt "github.com/frankban/quicktest"
)

func keys(c *follower.Copy) []string {
	names := []string{}
	for _, pair := range c.Pairs() {
		names = append(names, pair.Key()+"="+string(pair.Value()))
	}
	return names
}

func pair(key, value string, revision int64) storer.Pair {
	return storer.NewPair(key, []byte(value), revision)
}

// What has gone, but may return, is used by this instance and not handed on:
// others may know better.
func TestWhatIsHandedOn(t *testing.T) {
	tests := []struct {
		name       string
		forgiven   bool
		handedOn   int
		usable     int
		recovering bool
	}{
		{"a removal", false, 1, 1, false},
		{"a removal after an outage", true, 1, 2, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := follower.NewCopy()
			x.Replace([]storer.Pair{pair("a", "1", 1), pair("b", "1", 2)})
			if test.forgiven {
				x.Forgive(time.Now().Add(time.Minute))
			}
			x.Replace([]storer.Pair{pair("b", "1", 2)})
			c.Assert(x.Page(3).Pairs(), qt.HasLen, test.handedOn)
			c.Assert(x.Pairs(), qt.HasLen, test.usable)
			c.Assert(x.Page(3).IsRecovering(), qt.Equals, test.recovering)
		})
	}
}

func TestCopy(t *testing.T) {
	start := time.Unix(1000, 0)
	forgiven := start.Add(2 * time.Second)
	tests := []struct {
		name string
		do   func(*follower.Copy)
		want []string
	}{
		{"a change", func(c *follower.Copy) {
			c.Apply([]storer.Event{storer.NewEvent(pair("a", "2", 11))})
		}, []string{"a=2", "b=1"}},
		{"an older value does not come back", func(c *follower.Copy) {
			c.Apply([]storer.Event{storer.NewEvent(pair("a", "0", 1))})
		}, []string{"a=1", "b=1"}},
		{"a removal", func(c *follower.Copy) {
			c.Apply([]storer.Event{storer.NewDeletion("a", 11)})
		}, []string{"b=1"}},
		{"an older removal", func(c *follower.Copy) {
			c.Apply([]storer.Event{storer.NewDeletion("a", 1)})
		}, []string{"a=1", "b=1"}},
		{"missing in a reading", func(c *follower.Copy) {
			c.Replace([]storer.Pair{pair("b", "1", 10)})
		}, []string{"b=1"}},
		{"missing after an outage, not yet gone", func(c *follower.Copy) {
			c.Forgive(forgiven)
			c.Replace([]storer.Pair{pair("b", "1", 10)})
			c.Expire(forgiven.Add(-time.Millisecond))
		}, []string{"a=1", "b=1"}},
		{"missing after an outage, and gone", func(c *follower.Copy) {
			c.Forgive(forgiven)
			c.Replace([]storer.Pair{pair("b", "1", 10)})
			c.Expire(forgiven)
		}, []string{"b=1"}},
		{"lapsed during an outage and back in time", func(c *follower.Copy) {
			c.Forgive(forgiven)
			c.Apply([]storer.Event{storer.NewDeletion("a", 11), storer.NewEvent(pair("a", "3", 12))})
			c.Expire(forgiven)
		}, []string{"a=3", "b=1"}},
		{"removed after the time for coming back", func(c *follower.Copy) {
			c.Forgive(forgiven)
			c.Expire(forgiven)
			c.Apply([]storer.Event{storer.NewDeletion("a", 11)})
		}, []string{"b=1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			copied := follower.NewCopy()
			copied.Replace([]storer.Pair{pair("a", "1", 10), pair("b", "1", 10)})
			test.do(copied)
			c.Assert(keys(copied), qt.DeepEquals, test.want)
		})
	}
}
