package elector_test

import (
	"testing"
	"time"

	"burdocklane/elector"
	"burdocklane/granter"

	qt "github.com/frankban/quicktest"
)

const (
	step   = 10 * time.Millisecond
	window = 5 * time.Second
)

// sighting is a candidate's answer to a search.
type sighting struct {
	id        uint32
	confirmed bool
}

// run drives the elector from one time to another. The candidates answer at once; one that
// is confirmed confirms its votes too. It returns the owners that it voted for, without
// repetitions, and when it first voted for each.
func run(e *elector.Elector, from, to time.Duration, candidates []uint32, answers []sighting) (owners []uint32, first []time.Duration) {
	answer := map[uint32]sighting{}
	for _, a := range answers {
		answer[a.id] = a
	}
	for now := from; now < to; now += step {
		for _, action := range e.Next(now, candidates, false) {
			id, number := uint32(0), uint32(0)
			switch a := action.(type) {
			case elector.Search:
				id = a.Candidate()
			case elector.Vote:
				id, number = a.Owner(), a.Number()
				if len(owners) == 0 || owners[len(owners)-1] != id {
					owners, first = append(owners, id), append(first, now)
				}
			}
			if a, ok := answer[id]; ok {
				e.Receive(now, granter.NewReply(id, number, granter.NewStamp(id, now), a.confirmed, nil))
			}
		}
	}
	return owners, first
}

func TestChoice(t *testing.T) {
	tests := []struct {
		name    string
		answers []sighting
		want    []uint32
	}{
		{"nobody answers", nil, nil},
		{"the best candidate", []sighting{{1, false}, {2, false}, {3, false}}, []uint32{1}},
		{"the best one does not answer", []sighting{{2, false}, {3, false}}, []uint32{2}},
		{"a confirmed one first", []sighting{{1, false}, {2, false}, {3, true}}, []uint32{3}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			owners, _ := run(elector.New(0, window), 0, 2*time.Second, []uint32{1, 2, 3}, test.answers)
			qt.Assert(t, owners, qt.DeepEquals, test.want)
		})
	}
}

// Guards against a vote that counts beside one of the process before, and against a wait
// where that can't do harm.
func TestFirstVoteAfterAStart(t *testing.T) {
	tests := []struct {
		name    string
		answers []sighting
		early   bool
	}{
		{"most candidates are missing", []sighting{{1, false}}, false},
		{"most are there and none is confirmed", []sighting{{1, false}, {2, false}}, true},
		{"an owner is confirmed", []sighting{{2, true}}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, first := run(elector.New(0, window), 0, 2*time.Second, []uint32{1, 2, 3}, test.answers)
			qt.Assert(t, first[0] < granter.VoteLife, qt.Equals, test.early)
		})
	}
}

// Guards against two votes that are valid at once, when the owner is silent, or is not
// confirmed while another one is.
func TestVotesDoNotOverlap(t *testing.T) {
	tests := []struct {
		name   string
		before []sighting
		after  []sighting
		want   []uint32
	}{
		{"the owner falls silent", []sighting{{1, true}, {2, false}}, []sighting{{2, false}}, []uint32{1, 2}},
		{"another one is confirmed", []sighting{{1, false}, {2, false}}, []sighting{{1, false}, {2, true}}, []uint32{1, 2}},
		{"a confirmed owner is kept", []sighting{{2, true}}, []sighting{{1, false}, {2, true}}, []uint32{2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			e := elector.New(0, window)
			const change = 2 * time.Second
			owners, _ := run(e, 0, change, []uint32{1, 2}, test.before)
			later, firstLater := run(e, change, 2*change, []uint32{1, 2}, test.after)
			if later[0] == owners[0] {
				later, firstLater = later[1:], firstLater[1:]
			}
			c.Assert(append(owners, later...), qt.DeepEquals, test.want)
			if len(later) > 0 {
				// The last vote for the first owner was sent at the change or after it.
				c.Assert(firstLater[0]-change >= granter.VoteLife-200*time.Millisecond, qt.IsTrue)
			}
		})
	}
}

// Guards against late replies, whose grants count in a later request already.
func TestOnlyTheReplyToTheLastRequestCounts(t *testing.T) {
	tests := []struct {
		name  string
		owner uint32
		late  bool
		want  bool
	}{
		{"last", 1, false, true},
		{"late", 1, true, false},
		{"another owner", 2, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			e := elector.New(0, window)
			run(e, 0, 2*time.Second, []uint32{1}, []sighting{{1, true}})
			number := uint32(0)
			for now := 2 * time.Second; number == 0 || test.late && now < 2*time.Second+500*time.Millisecond; now += step {
				for _, action := range e.Next(now, []uint32{1}, false) {
					if v, ok := action.(elector.Vote); ok && number == 0 {
						number = v.Number()
					}
				}
			}
			_, ok := e.Receive(3*time.Second, granter.NewReply(test.owner, number, granter.NewStamp(1, 0), true, nil))
			c.Assert(ok, qt.Equals, test.want)
		})
	}
}
