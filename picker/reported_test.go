package picker_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"burdocklane/picker"

	qt "github.com/frankban/quicktest"
)

const (
	base = 60 * time.Millisecond
	goal = 185 * time.Millisecond
	most = 600 * time.Millisecond
)

func TestEstimate(t *testing.T) {
	fresh := func(running, waiting, slots int32, pace float64) picker.Load {
		return picker.NewLoad(running, waiting, slots, pace, 0)
	}
	tests := []struct {
		name    string
		load    picker.Load
		want    time.Duration
		crowded bool
		full    bool
	}{
		{"idle", fresh(0, 0, 3, 1), base, false, false},
		{"one of three", fresh(1, 0, 3, 1), base, false, false},
		{"the last slot slows all", fresh(2, 0, 3, 1), base * 17 / 10, true, false},
		{"a turn to wait for", fresh(3, 0, 3, 1), base * 17 / 10 * 4 / 3, true, true},
		{"calls sent since the report count", fresh(0, 0, 3, 1).Since(2), base * 17 / 10, true, false},
		{"calls that instances know of count", fresh(0, 0, 3, 1).Seen(3), base * 17 / 10 * 4 / 3, true, true},
		{"in a slow spell", fresh(0, 0, 3, 7), 7 * base, false, false},
		{"just started", fresh(0, 0, 3, 1).Cold(true), 2 * base, false, false},
		{"nothing known", picker.UnknownLoad(3), 2 * base, false, false},
		{"no slots reported", fresh(0, 0, 0, 1), base * 17 / 10, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got := test.load.Estimate(base)
			c.Assert(got >= test.want-time.Millisecond && got <= test.want+time.Millisecond, qt.IsTrue, qt.Commentf("%s", got))
			c.Assert(test.load.Crowded(), qt.Equals, test.crowded)
			c.Assert(test.load.Full(), qt.Equals, test.full)
		})
	}
}

func TestAReportFadesToTheUsualPace(t *testing.T) {
	c := qt.New(t)
	last := 7.0
	for _, age := range []time.Duration{0, 50, 200, 1000, 10_000} {
		pace := picker.NewLoad(0, 0, 3, 7, age*time.Millisecond).Pace()
		c.Assert(pace <= last, qt.IsTrue)
		last = pace
	}
	c.Assert(last < 2.1, qt.IsTrue)
}

// worker is a row of a load pattern.
type worker struct {
	running  int32
	pace     float64
	distance int
	state    picker.State
	avoid    bool
	declines float64
}

func candidates(workers []worker) []picker.Candidate {
	var all []picker.Candidate
	for _, w := range workers {
		c := picker.NewCandidate(w.running, 3, 0, picker.WithDistance(w.distance), picker.WithState(w.state), picker.WithAvoid(w.avoid))
		all = append(all, c.Loaded(picker.NewLoad(w.running, 0, 3, w.pace, 0), base).Declining(w.declines))
	}
	return all
}

// The patterns are those of a catalogue of three-slot workers a third of which
// are in a slow spell, in calm, in a burst and after losses.
func TestReportedLoadUnderLoadPatterns(t *testing.T) {
	policy := picker.NewReportedLoad(goal, most)
	tests := []struct {
		name    string
		policy  picker.ReportedLoad
		workers []worker
		want    int // Index, or -1 to wait, or -2 to refuse.
	}{
		{"calm: the worker that is not in a spell", policy, []worker{{pace: 7}, {pace: 1}}, 1},
		{"calm: the own zone goes before another", policy, []worker{{pace: 1, distance: 1}, {pace: 1}}, 1},
		{"calm: another zone goes before crowding", policy, []worker{{running: 2, pace: 1}, {pace: 1, distance: 1}}, 1},
		{"spells: another region goes before a slow worker", policy, []worker{{pace: 7}, {pace: 1, distance: 2}}, 1},
		{"spells: not if the call stays in the region", policy.Near().Urgent(), []worker{{pace: 7}, {pace: 1, distance: 2}}, 0},
		{"spells: all slow, the call waits for a better time", policy, []worker{{pace: 7}, {pace: 8}}, -1},
		{"spells: all slow, and it has waited", policy.Urgent(), []worker{{pace: 7}, {pace: 8}}, 0},
		{"burst: the last slot, if it still answers on time", policy, []worker{{running: 2, pace: 1}, {running: 5, pace: 1}}, 0},
		{"burst: a short queue, if it still answers on time", policy, []worker{{running: 3, pace: 1}, {running: 6, pace: 1}}, 0},
		{"burst: no room", policy, []worker{{running: 6, pace: 1}, {running: 7, pace: 1}}, -1},
		{"burst: no room, and it has waited", policy.Urgent(), []worker{{running: 6, pace: 1}, {running: 7, pace: 1}}, -1},
		{"burst: a slow worker's queue is left alone", policy.Urgent(), []worker{{running: 3, pace: 7}, {running: 6, pace: 1}}, -1},
		{"losses: a suspect worker comes last", policy, []worker{{pace: 1, state: picker.Suspect}, {running: 1, pace: 1}}, 1},
		{"losses: ejected, paused and leaving ones are not used", policy, []worker{{pace: 1, state: picker.Ejected}, {pace: 1, state: picker.Paused}, {pace: 1, state: picker.Leaving}}, -2},
		{"losses: not twice the same worker", policy, []worker{{pace: 1, avoid: true}}, -2},
		{"declines: a worker that declines half of its calls", policy, []worker{{pace: 1, declines: 0.5}, {pace: 1}}, 1},
		{"no worker", policy, nil, -2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(50) {
				decision := picker.Pick(test.policy, candidates(test.workers), rand.New(rand.NewPCG(seed, 1)))
				got := -3
				switch d := decision.(type) {
				case picker.Send:
					got = d.Index()
				case picker.Wait:
					got = -1
				case picker.Refuse:
					got = -2
				}
				c.Assert(got, qt.Equals, test.want, qt.Commentf("seed %d", seed))
			}
		})
	}
}

// Instances that know the same must not all choose the same worker.
func TestEqualWorkersAreChosenInTurns(t *testing.T) {
	c := qt.New(t)
	all := candidates([]worker{{pace: 1}, {pace: 1}, {pace: 1}, {pace: 1}})
	chosen := map[int]int{}
	for seed := range uint64(400) {
		d := picker.Pick(picker.NewReportedLoad(goal, most), all, rand.New(rand.NewPCG(seed, 2))).(picker.Send)
		chosen[d.Index()]++
	}
	for n := range all {
		c.Assert(chosen[n] > 50, qt.IsTrue, qt.Commentf("%v", chosen))
	}
}

// In a burst, second attempts must not take the room that first ones need.
func TestSecondAttemptsLeaveRoomForFirstOnes(t *testing.T) {
	idle, busy := worker{pace: 1}, worker{running: 2, pace: 1}
	tests := []struct {
		name    string
		workers []worker
		late    bool
		sends   bool
	}{
		{"calm", []worker{idle, idle, idle, idle, idle}, false, true},
		{"some room", []worker{idle, idle, busy, busy, busy}, false, true},
		{"the reserve", []worker{idle, busy, busy, busy, busy}, false, false},
		{"no worker without a crowd", []worker{busy, busy, busy, busy, busy}, false, false},
		{"late, with room", []worker{idle, idle, busy, busy, busy}, true, true},
		{"late, the reserve", []worker{idle, busy, busy, busy, busy}, true, false},
		{"room is in another region", []worker{{pace: 1, distance: 2}, {pace: 1, distance: 2}, busy, busy, busy}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			onTime := goal
			if test.late {
				onTime = -goal
			}
			policy := picker.NewReportedLoad(onTime, most).Near().Second()
			if test.late {
				policy = policy.Urgent()
			}
			_, sends := picker.Pick(policy, candidates(test.workers), rand.New(rand.NewPCG(1, 2))).(picker.Send)
			qt.Assert(t, sends, qt.Equals, test.sends)
		})
	}
}

// Where targets are long, calls leave their zone for a worker that is much faster,
// and not for the little by which expectations vary.
func TestCallsStayInTheirZone(t *testing.T) {
	tests := []struct {
		name   string
		onTime time.Duration
		own    worker
		other  worker
		stays  bool
	}{
		{"equally fast", 10 * goal, worker{pace: 1}, worker{pace: 1, distance: 1}, true},
		{"a little slower", 10 * goal, worker{pace: 1.4}, worker{pace: 1, distance: 1}, true},
		{"a slow spell", 10 * goal, worker{pace: 7}, worker{pace: 1, distance: 1}, false},
		{"a little slower, a short target", goal, worker{pace: 1.4}, worker{pace: 1, distance: 1}, false},
		{"no room", 10 * goal, worker{running: 3, pace: 1}, worker{pace: 1, distance: 1}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			all := candidates([]worker{test.own, test.other})
			for seed := range uint64(50) {
				d := picker.Pick(picker.NewReportedLoad(test.onTime, most+test.onTime), all, rand.New(rand.NewPCG(seed, 1)))
				send, ok := d.(picker.Send)
				qt.Assert(t, ok, qt.IsTrue)
				qt.Assert(t, send.Index() == 0, qt.Equals, test.stays)
			}
		})
	}
}
