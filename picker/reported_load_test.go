package picker_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"burdocklane/picker"

	qt "github.com/frankban/quicktest"
)

const (
	base          = 60 * time.Millisecond
	untilTarget   = 185 * time.Millisecond
	untilDeadline = 600 * time.Millisecond
)

func TestExpectedLatency(t *testing.T) {
	fresh := func(running, waiting, slots int32, slowdown float64) picker.Load {
		return picker.NewLoad(running, waiting, slots, slowdown, 0)
	}
	tests := []struct {
		name      string
		load      picker.Load
		want      time.Duration
		congested bool
		saturated bool
	}{
		{"idle", fresh(0, 0, 3, 1), base, false, false},
		{"one of three", fresh(1, 0, 3, 1), base, false, false},
		{"the last slot congests the worker", fresh(2, 0, 3, 1), base * 17 / 10, true, false},
		{"the call has to queue", fresh(3, 0, 3, 1), base * 17 / 10 * 4 / 3, true, true},
		{"calls sent since the report count", fresh(0, 0, 3, 1).WithSentSinceReport(2), base * 17 / 10, true, false},
		{"calls that the instances know of count", fresh(0, 0, 3, 1).WithKnownInFlight(3), base * 17 / 10 * 4 / 3, true, true},
		{"slow worker", fresh(0, 0, 3, 7), 7 * base, false, false},
		{"just started", fresh(0, 0, 3, 1).WithCold(true), 2 * base, false, false},
		{"nothing known", picker.UnknownLoad(3), 2 * base, false, false},
		{"no slots reported", fresh(0, 0, 0, 1), base * 17 / 10, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got := test.load.ExpectedLatency(base)
			c.Assert(got >= test.want-time.Millisecond && got <= test.want+time.Millisecond, qt.IsTrue, qt.Commentf("%s", got))
			c.Assert(test.load.Congested(), qt.Equals, test.congested)
			c.Assert(test.load.Saturated(), qt.Equals, test.saturated)
		})
	}
}

func TestReportedSlowdownDecaysToTheDefault(t *testing.T) {
	c := qt.New(t)
	last := 7.0
	for _, age := range []time.Duration{0, 50, 200, 1000, 10_000} {
		slowdown := picker.NewLoad(0, 0, 3, 7, age*time.Millisecond).Slowdown()
		c.Assert(slowdown <= last, qt.IsTrue)
		last = slowdown
	}
	c.Assert(last < 2.1, qt.IsTrue)
}

// worker describes a candidate of a load pattern.
type worker struct {
	running      int32
	slowdown     float64
	distance     int
	state        picker.State
	avoid        bool
	declineShare float64
}

func candidates(workers []worker) []picker.Candidate {
	var all []picker.Candidate
	for _, w := range workers {
		c := picker.NewCandidate(w.running, 3, 0, picker.WithDistance(w.distance), picker.WithState(w.state), picker.WithAvoid(w.avoid))
		all = append(all, c.WithLoad(picker.NewLoad(w.running, 0, 3, w.slowdown, 0), base).WithDeclineShare(w.declineShare))
	}
	return all
}

// The load patterns are those of a service with three-slot workers, a third of
// which are slow: under normal load, in a burst and after the loss of workers.
func TestReportedLoadUnderLoadPatterns(t *testing.T) {
	policy := picker.NewReportedLoad(untilTarget, untilDeadline)
	tests := []struct {
		name    string
		policy  picker.ReportedLoad
		workers []worker
		want    int // Index, or -1 for Wait, or -2 for Refuse.
	}{
		{"normal load: the worker that is not slow", policy, []worker{{slowdown: 7}, {slowdown: 1}}, 1},
		{"normal load: the own zone before another", policy, []worker{{slowdown: 1, distance: 1}, {slowdown: 1}}, 1},
		{"normal load: another zone before a congested worker", policy, []worker{{running: 2, slowdown: 1}, {slowdown: 1, distance: 1}}, 1},
		{"slow workers: another region before a slow worker", policy, []worker{{slowdown: 7}, {slowdown: 1, distance: 2}}, 1},
		{"slow workers: not if the call stays in the region", policy.LocalOnly().Urgent(), []worker{{slowdown: 7}, {slowdown: 1, distance: 2}}, 0},
		{"slow workers: all slow, the call waits", policy, []worker{{slowdown: 7}, {slowdown: 8}}, -1},
		{"slow workers: all slow, the call is urgent", policy.Urgent(), []worker{{slowdown: 7}, {slowdown: 8}}, 0},
		{"burst: the last slot, if it still answers on time", policy, []worker{{running: 2, slowdown: 1}, {running: 5, slowdown: 1}}, 0},
		{"burst: a short queue, if it still answers on time", policy, []worker{{running: 3, slowdown: 1}, {running: 6, slowdown: 1}}, 0},
		{"burst: no capacity", policy, []worker{{running: 6, slowdown: 1}, {running: 7, slowdown: 1}}, -1},
		{"burst: no capacity, the call is urgent", policy.Urgent(), []worker{{running: 6, slowdown: 1}, {running: 7, slowdown: 1}}, -1},
		{"burst: a slow worker's queue is not used", policy.Urgent(), []worker{{running: 3, slowdown: 7}, {running: 6, slowdown: 1}}, -1},
		{"losses: a suspect worker comes last", policy, []worker{{slowdown: 1, state: picker.Suspect}, {running: 1, slowdown: 1}}, 1},
		{"losses: ejected, paused and leaving ones are not used", policy, []worker{{slowdown: 1, state: picker.Ejected}, {slowdown: 1, state: picker.Paused}, {slowdown: 1, state: picker.Leaving}}, -2},
		{"losses: not the same worker twice", policy, []worker{{slowdown: 1, avoid: true}}, -2},
		{"declines: a worker that declines half of its calls", policy, []worker{{slowdown: 1, declineShare: 0.5}, {slowdown: 1}}, 1},
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

// Instances with the same information must not all choose the same worker.
func TestEqualWorkersShareTheCalls(t *testing.T) {
	c := qt.New(t)
	all := candidates([]worker{{slowdown: 1}, {slowdown: 1}, {slowdown: 1}, {slowdown: 1}})
	chosen := map[int]int{}
	for seed := range uint64(400) {
		d := picker.Pick(picker.NewReportedLoad(untilTarget, untilDeadline), all, rand.New(rand.NewPCG(seed, 2))).(picker.Send)
		chosen[d.Index()]++
	}
	for n := range all {
		c.Assert(chosen[n] > 50, qt.IsTrue, qt.Commentf("%v", chosen))
	}
}

// In a burst, hedges must not use the capacity that first attempts need.
func TestHedgesLeaveCapacityForFirstAttempts(t *testing.T) {
	idle, busy := worker{slowdown: 1}, worker{running: 2, slowdown: 1}
	tests := []struct {
		name    string
		workers []worker
		late    bool
		sends   bool
	}{
		{"all idle", []worker{idle, idle, idle, idle, idle}, false, true},
		{"some capacity", []worker{idle, idle, busy, busy, busy}, false, true},
		{"the reserve", []worker{idle, busy, busy, busy, busy}, false, false},
		{"all congested", []worker{busy, busy, busy, busy, busy}, false, false},
		{"late, with capacity", []worker{idle, idle, busy, busy, busy}, true, true},
		{"late, the reserve", []worker{idle, busy, busy, busy, busy}, true, false},
		{"capacity in another region", []worker{{slowdown: 1, distance: 2}, {slowdown: 1, distance: 2}, busy, busy, busy}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			onTime := untilTarget
			if test.late {
				onTime = -untilTarget
			}
			policy := picker.NewReportedLoad(onTime, untilDeadline).LocalOnly().AsHedge()
			if test.late {
				policy = policy.Urgent()
			}
			_, sends := picker.Pick(policy, candidates(test.workers), rand.New(rand.NewPCG(1, 2))).(picker.Send)
			qt.Assert(t, sends, qt.Equals, test.sends)
		})
	}
}

// If the time until the target is long, calls leave their zone for a worker
// that is much faster, but not because of the jitter of expected latencies.
func TestCallsStayInTheirZone(t *testing.T) {
	tests := []struct {
		name   string
		onTime time.Duration
		own    worker
		other  worker
		stays  bool
	}{
		{"equally fast", 10 * untilTarget, worker{slowdown: 1}, worker{slowdown: 1, distance: 1}, true},
		{"a little slower", 10 * untilTarget, worker{slowdown: 1.4}, worker{slowdown: 1, distance: 1}, true},
		{"a slow worker", 10 * untilTarget, worker{slowdown: 7}, worker{slowdown: 1, distance: 1}, false},
		{"a little slower, a short target", untilTarget, worker{slowdown: 1.4}, worker{slowdown: 1, distance: 1}, false},
		{"no capacity", 10 * untilTarget, worker{running: 3, slowdown: 1}, worker{slowdown: 1, distance: 1}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			all := candidates([]worker{test.own, test.other})
			for seed := range uint64(50) {
				d := picker.Pick(picker.NewReportedLoad(test.onTime, untilDeadline+test.onTime), all, rand.New(rand.NewPCG(seed, 1)))
				send, ok := d.(picker.Send)
				qt.Assert(t, ok, qt.IsTrue)
				qt.Assert(t, send.Index() == 0, qt.Equals, test.stays)
			}
		})
	}
}
