package follower_test

import (
	"testing"
	"time"

	"burdocklane/follower"
	"burdocklane/storer"

	qt "github.com/frankban/quicktest"
)

func keys(r *follower.Replica) []string { return values(r.Pairs()) }

// values returns each key with its value, as in "key=value".
func values(pairs []storer.Pair) []string {
	all := []string{}
	for _, pair := range pairs {
		all = append(all, pair.Key()+"="+string(pair.Value()))
	}
	return all
}

// era is the era of the revisions that a test does not set.
const era = 1

func revision(number int64) storer.Revision { return storer.NewRevision(era, number) }

func pair(key, value string, number int64) storer.Pair { return pairOf(key, value, era, number) }

func pairOf(key, value string, era, number int64) storer.Pair {
	return storer.NewPair(key, []byte(value), storer.NewRevision(era, number))
}

// A key that disappears in an outage is still used by this instance, but not
// propagated to others, which may know that it was deleted.
func TestRetainedKeysAreNotPropagated(t *testing.T) {
	tests := []struct {
		name       string
		retained   bool
		propagated int
		usable     int
		recovering bool
	}{
		{"a removal", false, 1, 1, false},
		{"a removal after an outage", true, 1, 2, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			replica := follower.NewReplica()
			replica.Replace([]storer.Pair{pair("a", "1", 1), pair("b", "1", 2)})
			if test.retained {
				replica.RetainUntil(time.Now().Add(time.Minute))
			}
			replica.Replace([]storer.Pair{pair("b", "1", 2)})
			c.Assert(replica.Stored(revision(3)).Pairs(), qt.HasLen, test.propagated)
			c.Assert(replica.Pairs(), qt.HasLen, test.usable)
			c.Assert(replica.Stored(revision(3)).IsRecovering(), qt.Equals, test.recovering)
		})
	}
}

func TestReplica(t *testing.T) {
	start := time.Unix(1000, 0)
	graceEnd := start.Add(2 * time.Second)
	tests := []struct {
		name  string
		apply func(*follower.Replica)
		want  []string
	}{
		{"a change", func(r *follower.Replica) {
			r.Apply([]storer.Event{storer.NewEvent(pair("a", "2", 11))})
		}, []string{"a=2", "b=1"}},
		{"an older value is ignored", func(r *follower.Replica) {
			r.Apply([]storer.Event{storer.NewEvent(pair("a", "0", 1))})
		}, []string{"a=1", "b=1"}},
		{"a value of a later era with a lower revision", func(r *follower.Replica) {
			r.Apply([]storer.Event{storer.NewEvent(pairOf("a", "2", era+1, 3))})
		}, []string{"a=2", "b=1"}},
		{"a value of a later era with the same revision", func(r *follower.Replica) {
			r.Apply([]storer.Event{storer.NewEvent(pairOf("a", "2", era+1, 10))})
		}, []string{"a=2", "b=1"}},
		{"a removal in a later era with a lower revision", func(r *follower.Replica) {
			r.Apply([]storer.Event{storer.NewDeletion("a", storer.NewRevision(era+1, 3))})
		}, []string{"b=1"}},
		{"a value of an older era with a higher revision", func(r *follower.Replica) {
			r.Apply([]storer.Event{storer.NewEvent(pairOf("a", "0", era-1, 99))})
		}, []string{"a=1", "b=1"}},
		{"a removal", func(r *follower.Replica) {
			r.Apply([]storer.Event{storer.NewDeletion("a", revision(11))})
		}, []string{"b=1"}},
		{"an older removal is ignored", func(r *follower.Replica) {
			r.Apply([]storer.Event{storer.NewDeletion("a", revision(1))})
		}, []string{"a=1", "b=1"}},
		{"missing in a full read", func(r *follower.Replica) {
			r.Replace([]storer.Pair{pair("b", "1", 10)})
		}, []string{"b=1"}},
		{"missing after an outage, grace period not over", func(r *follower.Replica) {
			r.RetainUntil(graceEnd)
			r.Replace([]storer.Pair{pair("b", "1", 10)})
			r.Expire(graceEnd.Add(-time.Millisecond))
		}, []string{"a=1", "b=1"}},
		{"missing after an outage, grace period over", func(r *follower.Replica) {
			r.RetainUntil(graceEnd)
			r.Replace([]storer.Pair{pair("b", "1", 10)})
			r.Expire(graceEnd)
		}, []string{"b=1"}},
		{"expired during an outage and put again within the grace period", func(r *follower.Replica) {
			r.RetainUntil(graceEnd)
			r.Apply([]storer.Event{storer.NewDeletion("a", revision(11)), storer.NewEvent(pair("a", "3", 12))})
			r.Expire(graceEnd)
		}, []string{"a=3", "b=1"}},
		{"missing after two outages in a row, grace period of the first over", func(r *follower.Replica) {
			r.RetainUntil(graceEnd)
			r.Replace([]storer.Pair{pair("b", "1", 10)})
			r.RetainUntil(graceEnd.Add(time.Second))
			r.Replace([]storer.Pair{pair("b", "1", 10)})
			r.Expire(graceEnd)
		}, []string{"b=1"}},
		{"removed after the grace period", func(r *follower.Replica) {
			r.RetainUntil(graceEnd)
			r.Expire(graceEnd)
			r.Apply([]storer.Event{storer.NewDeletion("a", revision(11))})
		}, []string{"b=1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			replica := follower.NewReplica()
			replica.Replace([]storer.Pair{pair("a", "1", 10), pair("b", "1", 10)})
			test.apply(replica)
			c.Assert(keys(replica), qt.DeepEquals, test.want)
		})
	}
}
