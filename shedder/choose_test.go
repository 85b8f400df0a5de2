package shedder_test

import (
	"testing"
	"time"

	"burdocklane/shedder"

	qt "github.com/frankban/quicktest"
)

// Guards against ordinary callers that are ended beside a crowd that stands still, and
// against more endings than are needed.
func TestChoose(t *testing.T) {
	const short, long = 16 << 10, 80 << 10
	connection := func(bytes int64, standing time.Duration) shedder.Candidate {
		return shedder.NewCandidate(bytes, standing, true)
	}
	stream := func(bytes int64, standing time.Duration) shedder.Candidate {
		return shedder.NewCandidate(bytes, standing, false)
	}
	tests := []struct {
		name       string
		candidates []shedder.Candidate
		excess     shedder.Excess
		want       []int
	}{
		{"nothing to give back", []shedder.Candidate{connection(long, time.Second)}, shedder.NewExcess(0, 0), nil},
		{"nobody to end", nil, shedder.NewExcess(1, 1), nil},
		{
			"a body that stands still before a new request",
			[]shedder.Candidate{connection(short, time.Millisecond), connection(long, time.Second), connection(short, 0)},
			shedder.NewExcess(1, 0),
			[]int{1},
		},
		{
			"the longest of those that hold the same",
			[]shedder.Candidate{connection(long, time.Second), connection(long, 3*time.Second), connection(long, 2*time.Second)},
			shedder.NewExcess(long+1, 0),
			[]int{1, 2},
		},
		{
			"the largest of those that have just arrived",
			[]shedder.Candidate{connection(short, 0), connection(long, 0), connection(short, -time.Second)},
			shedder.NewExcess(1, 0),
			[]int{1},
		},
		{
			"a short idle connection after a long body that stands as long",
			[]shedder.Candidate{connection(short, 4*time.Second), connection(long, 4*time.Second)},
			shedder.NewExcess(0, 1),
			[]int{1},
		},
		{
			"a stream gives back no connection",
			[]shedder.Candidate{stream(long, time.Minute), connection(short, time.Second)},
			shedder.NewExcess(0, 1),
			[]int{1},
		},
		{
			"a stream gives back memory",
			[]shedder.Candidate{stream(long, time.Minute), connection(short, time.Second)},
			shedder.NewExcess(1, 0),
			[]int{0},
		},
		{
			"all, if that is not enough",
			[]shedder.Candidate{connection(short, time.Second), connection(short, 2*time.Second)},
			shedder.NewExcess(long, 0),
			[]int{1, 0},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(shedder.Choose(test.candidates, test.excess), qt.DeepEquals, test.want)
		})
	}
}
