package picker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"burdocklane/picker"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestPick(t *testing.T) {
	fast := picker.NewCandidate(0, 2, 10)
	slow := picker.NewCandidate(0, 2, 90)
	full := picker.NewCandidate(2, 2, 5)
	suspect := picker.NewCandidate(1, 2, 5, picker.WithState(picker.Suspect))
	leaving := picker.NewCandidate(0, 2, 1, picker.WithState(picker.Leaving))
	ejected := picker.NewCandidate(0, 2, 1, picker.WithState(picker.Ejected))
	remote := picker.NewCandidate(0, 0, 30, picker.WithDistance(2))
	tests := []struct {
		name       string
		policy     picker.Policy
		candidates []picker.Candidate
		want       int // -1 for Wait, -2 for Refuse
	}{
		{"the faster free slot", picker.SharedSlots{}, []picker.Candidate{slow, fast}, 1},
		{"a full worker is not taken", picker.SharedSlots{}, []picker.Candidate{full, slow}, 1},
		{"all full: wait", picker.SharedSlots{}, []picker.Candidate{full, full}, -1},
		{"a suspect comes last", picker.SharedSlots{}, []picker.Candidate{suspect, slow}, 1},
		{"a suspect rather than waiting", picker.SharedSlots{}, []picker.Candidate{suspect, full}, 0},
		{"no usable worker", picker.SharedSlots{}, []picker.Candidate{leaving, ejected}, -2},
		{"no worker at all", picker.Random{}, nil, -2},
		{"random skips a leaving worker", picker.Random{}, []picker.Candidate{leaving, slow}, 1},
		{"fewest in flight", picker.LeastInFlight{}, []picker.Candidate{full, slow}, 1},
		{"the other worker for a retry", picker.LeastInFlight{}, []picker.Candidate{picker.NewCandidate(0, 2, 1, picker.WithAvoid(true)), full}, 1},
		{"two choices", picker.TwoChoices{}, []picker.Candidate{leaving, slow}, 1},
		{"round robin", picker.NewRoundRobin(3), []picker.Candidate{fast, slow}, 1},
		{"the probed worker that is not hot", picker.ProbePool{}, []picker.Candidate{picker.NewCandidate(0, 2, 5, picker.WithReportedCalls(7)), slow}, 1},
		{"overflow to the lowest expected latency", picker.NewOverflow(true), []picker.Candidate{picker.NewCandidate(4, 2, 40), remote}, 1},
		{"overflow stays in the region if it must", picker.NewOverflow(false), []picker.Candidate{picker.NewCandidate(4, 2, 40), remote}, 0},
		{"overflow is bounded", picker.NewOverflow(false), []picker.Candidate{picker.NewCandidate(5, 2, 40), remote}, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, pick(test.policy, test.candidates), qt.Equals, test.want)
		})
	}
}

func pick(p picker.Policy, candidates []picker.Candidate) int {
	switch d := picker.Pick(p, candidates, rng()).(type) {
	case picker.Send:
		return d.Index()
	case picker.Wait:
		return -1
	}
	return -2
}

// No policy sends to an unusable worker. A bounded policy never exceeds a
// limit, and never lets a call wait while a slot is free.
func TestPicksAreAlwaysAllowed(t *testing.T) {
	policies := []picker.Policy{
		picker.Random{},
		picker.NewRoundRobin(7),
		picker.LeastInFlight{},
		picker.TwoChoices{},
		picker.ProbePool{},
		picker.SharedSlots{},
		picker.NewOverflow(false), picker.NewOverflow(true),
	}
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom(policies).Draw(t, "policy")
		var candidates []picker.Candidate
		free := false
		for range rapid.IntRange(0, 30).Draw(t, "workers") {
			c := picker.NewCandidate(rapid.Int32Range(0, 5).Draw(t, "in flight"), rapid.Int32Range(0, 5).Draw(t, "limit"),
				rapid.Int64Range(0, 1<<30).Draw(t, "latency"),
				picker.WithState(picker.State(rapid.IntRange(0, 4).Draw(t, "state"))),
				picker.WithDistance(rapid.IntRange(0, 2).Draw(t, "distance")), picker.WithAvoid(rapid.Bool().Draw(t, "avoid")))
			candidates = append(candidates, c)
			free = free || (c.State() <= picker.Suspect && c.InFlight() < c.Limit())
		}
		switch d := picker.Pick(policy, candidates, rng()).(type) {
		case picker.Send:
			c := candidates[d.Index()]
			if c.State() > picker.Suspect || (picker.Bounded(policy) && c.InFlight() >= c.Limit()) {
				t.Fatalf("%T sent to %+v", policy, c)
			}
		default:
			if picker.Bounded(policy) && free {
				t.Fatalf("%T lets a call wait while a slot is free", policy)
			}
		}
	})
}

func FuzzPick(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8})
	f.Fuzz(func(t *testing.T, data []byte) {
		var candidates []picker.Candidate
		for i := 0; i+3 < len(data); i += 4 {
			candidates = append(candidates, picker.NewCandidate(int32(int8(data[i])), int32(int8(data[i+1])), int64(int8(data[i+2])),
				picker.WithState(picker.State(data[i+3]%5)), picker.WithDistance(int(data[i+3]%3))))
		}
		for _, policy := range []picker.Policy{picker.SharedSlots{}, picker.NewOverflow(true), picker.ProbePool{}} {
			if send, ok := picker.Pick(policy, candidates, rng()).(picker.Send); ok && candidates[send.Index()].State() > picker.Suspect {
				t.Fatalf("%T sent to a worker that is %s", policy, candidates[send.Index()].State())
			}
		}
	})
}

func BenchmarkPick(b *testing.B) {
	for _, size := range []int{9, 20, 100, 1900} {
		b.Run(fmt.Sprintf("%d-workers", size), func(b *testing.B) {
			var candidates []picker.Candidate
			for n := range size {
				candidates = append(candidates, picker.NewCandidate(int32(n%3), 3, int64(n*7919%1000)))
			}
			r := rng()
			b.ReportAllocs()
			for b.Loop() {
				picker.Pick(picker.SharedSlots{}, candidates, r)
			}
		})
	}
}
