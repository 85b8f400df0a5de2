package picker_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"burdocklane/picker"

	"pgregory.net/rapid"
)

func drawCandidate(t *rapid.T) picker.Candidate {
	latency := time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
	state := picker.State(rapid.SampledFrom([]picker.State{picker.Usable, picker.Usable, picker.Suspect, picker.Ejected, picker.Paused, picker.Excluded, picker.Spent}).Draw(t, "state"))
	load := picker.NewLoad(int32(rapid.IntRange(0, 5).Draw(t, "running")), 0, 4, 1, 0)
	return picker.MakeCandidate(int32(rapid.IntRange(0, 3).Draw(t, "in-flight")), 2, int64(latency), rapid.IntRange(0, 2).Draw(t, "distance"),
		state, rapid.Bool().Draw(t, "avoid"), 0).WithLoad(load, latency).WithDeclineShare(rapid.Float64Range(0, 1).Draw(t, "declines"))
}

// Guards against an explanation that differs from what the picker does: both decide alike,
// and what Pick chooses is among those that the first of the ranking may tie with.
func TestRankAgreesWithPick(t *testing.T) {
	reported := picker.NewReportedLoad(200*time.Millisecond, 500*time.Millisecond)
	tests := []struct {
		name   string
		policy picker.Policy
	}{
		{"random", picker.Random{}},
		{"two choices", picker.TwoChoices{}},
		{"round robin", picker.NewRoundRobin(7)},
		{"least in flight", picker.LeastInFlight{}},
		{"probes", picker.ProbePool{}},
		{"shared slots", picker.SharedSlots{}},
		{"overflow", picker.NewOverflow(false)},
		{"reported load", reported},
		{"urgent", reported.Urgent()},
		{"local", reported.LocalOnly()},
	}
	for _, test := range tests {
		t.Run(test.name, rapid.MakeCheck(func(t *rapid.T) {
			candidates := rapid.SliceOfN(rapid.Custom(drawCandidate), 1, 8).Draw(t, "candidates")
			ranked := picker.Rank(test.policy, candidates)
			picked := picker.Pick(test.policy, candidates, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
			send, sends := picked.(picker.Send)
			if !sends {
				if decided := picker.Decide(ranked); decided != picked {
					t.Fatalf("Decide %T, Pick %T", decided, picked)
				}
				return
			}
			if _, ok := picker.Decide(ranked).(picker.Send); !ok {
				t.Fatalf("Decide %T, Pick sends", picker.Decide(ranked))
			}
			_, highest := ranked[0].Bounds()
			for _, r := range ranked {
				if r.Index() != send.Index() {
					continue
				}
				if low, _ := r.Bounds(); r.Standing() != ranked[0].Standing() || low > highest {
					t.Fatalf("picked %v, first is %v", r, ranked[0])
				}
			}
		}))
	}
}
