package limiter_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/registrar"
	"burdocklane/tracker"

	qt "github.com/frankban/quicktest"
)

const target = 200 * time.Millisecond

// newReportingPool returns a pool of workers with three slots that report
// their load.
func newReportingPool(workers int) *limiter.Pool {
	here := registrar.NewLocality("r", "z")
	p := limiter.New("s", registrar.NewInstance("i", "", "", here, false), limiter.WithPolicy(picker.ReportedLoad{}))
	var members []registrar.Worker
	for n := range workers {
		members = append(members, registrar.NewWorker(registrar.WorkerID(strconv.Itoa(n)), "s", "", here, 3, false))
	}
	p.Update(members, nil)
	return p
}

func reportAll(p *limiter.Pool, running int32, slowdown float64) {
	for _, w := range p.Workers() {
		p.RecordReport(w, tracker.NewReport(running, 0, 3, slowdown, p.Now()))
	}
}

func newRequest(avoid ...registrar.WorkerID) limiter.Request {
	now := time.Now()
	return limiter.NewRequest(target, now.Add(3*target), limiter.WithAvoid(avoid...)).WithTargetDeadline(now.Add(target))
}

func TestAdmissionByReportedLoad(t *testing.T) {
	tests := []struct {
		name     string
		running  int32
		slowdown float64
		avoid    []registrar.WorkerID
		want     string
	}{
		{"no load", 0, 1, nil, "granted"},
		{"the last slot", 2, 1, nil, "granted"},
		{"all slow: late rather than refused", 0, 5, nil, "granted"},
		{"no capacity", 30, 1, nil, "overload"},
		{"slow and no capacity", 3, 7, nil, "overload"},
		{"every worker has been tried", 0, 1, []registrar.WorkerID{"0", "1", "2", "3"}, "no-worker"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newReportingPool(4)
			reportAll(p, test.running, test.slowdown)
			switch a := p.Acquire(context.Background(), newRequest(test.avoid...)).(type) {
			case limiter.Granted:
				a.Release()
				c.Assert("granted", qt.Equals, test.want)
			case limiter.Refused:
				c.Assert(string(a.Reason()), qt.Equals, test.want)
			}
		})
	}
}

// A burst of simultaneous calls is spread over the workers' slots, and no
// worker gets more calls than it can answer on time.
func TestBurstIsSpreadOverTheSlots(t *testing.T) {
	c := qt.New(t)
	p := newReportingPool(10)
	reportAll(p, 0, 1)
	var mutex sync.Mutex
	at := map[registrar.WorkerID]int{}
	refused := 0
	var calls sync.WaitGroup
	for range 100 {
		calls.Go(func() {
			admission := p.Acquire(context.Background(), newRequest())
			mutex.Lock()
			defer mutex.Unlock()
			if granted, ok := admission.(limiter.Granted); ok {
				at[granted.Worker().ID()]++
				return
			}
			refused++
		})
	}
	calls.Wait()
	c.Assert(at, qt.HasLen, 10)
	for id, n := range at {
		c.Assert(n >= 2 && n <= 5, qt.IsTrue, qt.Commentf("worker %s has %d calls", id, n))
	}
	c.Assert(refused >= 50, qt.IsTrue)
}

// A report that shows capacity dispatches a queued call at once.
func TestReportDispatchesQueuedCall(t *testing.T) {
	c := qt.New(t)
	p := newReportingPool(1)
	reportAll(p, 30, 1)
	done := make(chan limiter.Admission)
	long := limiter.NewRequest(time.Hour, time.Now().Add(time.Hour)).WithTargetDeadline(time.Now().Add(time.Hour))
	go func() { done <- p.WaitForCapacity(context.Background(), long.LocalOnly()) }()
	p.RecordReport(p.Workers()[0], tracker.NewReport(0, 0, 3, 1, p.Now()))
	_, ok := (<-done).(limiter.Granted)
	c.Assert(ok, qt.IsTrue)
}

// If all workers decline half of their calls they are all still used, but a
// single worker that declines calls is not.
func TestWorkersThatDecline(t *testing.T) {
	tests := []struct {
		name      string
		declining int
	}{
		{"one of four", 1},
		{"all four", 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newReportingPool(4)
			reportAll(p, 0, 1)
			chosen := map[registrar.WorkerID]int{}
			for range 200 {
				granted, ok := p.Acquire(context.Background(), newRequest()).(limiter.Granted)
				c.Assert(ok, qt.IsTrue)
				n, _ := strconv.Atoi(string(granted.Worker().ID()))
				chosen[granted.Worker().ID()]++
				if n < test.declining {
					p.RecordShed(granted, 0)
				} else {
					p.RecordAnswer(granted, 50*time.Millisecond, false)
				}
				granted.Release()
				reportAll(p, 0, 1)
			}
			if test.declining == 1 {
				c.Assert(chosen["0"] < 10, qt.IsTrue, qt.Commentf("%v", chosen))
				return
			}
			for id, n := range chosen {
				c.Assert(n > 20, qt.IsTrue, qt.Commentf("worker %s: %v", id, chosen))
			}
		})
	}
}

// Answers of congested or slow workers must not raise the base latency: calls
// would then be expected to need more time than they do, and more and more of
// them would be refused.
func TestBaseLatencyIgnoresCongestedAndSlowAnswers(t *testing.T) {
	tests := []struct {
		name     string
		running  int32
		slowdown float64
		want     time.Duration
	}{
		{"normal speed", 0, 1, 60 * time.Millisecond},
		{"congested", 2, 1, 70 * time.Millisecond},
		{"slow", 0, 2, 70 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newReportingPool(1)
			for range 20 {
				reportAll(p, test.running, test.slowdown)
				granted, ok := p.Acquire(context.Background(), newRequest()).(limiter.Granted)
				c.Assert(ok, qt.IsTrue)
				p.RecordAnswer(granted, 60*time.Millisecond, false)
				granted.Release()
			}
			c.Assert(p.BaseLatency(target), qt.Equals, test.want)
		})
	}
}

// The congestion factor is learnt from answers. Where workers are not slower
// when their last slot is used, a burst may use all slots; where they are, it
// may not.
func TestCongestionFactorIsLearnt(t *testing.T) {
	tests := []struct {
		name      string
		congested time.Duration // Latency at a worker with one free slot.
		want      float64       // The expected latency there, in proportion to the base latency.
	}{
		{"workers that do not slow down", 60 * time.Millisecond, 1},
		{"workers that slow down", 102 * time.Millisecond, 1.7},
		{"workers that slow down a lot", 180 * time.Millisecond, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newReportingPool(1)
			answer := func(running int32, took time.Duration) limiter.CandidateSummary {
				reportAll(p, running, 1)
				granted, ok := p.Acquire(context.Background(), newRequest()).(limiter.Granted)
				c.Assert(ok, qt.IsTrue)
				p.RecordAnswer(granted, took, false)
				granted.Release()
				return granted.CandidateSummary()
			}
			for range 400 {
				answer(0, 60*time.Millisecond)
				answer(2, test.congested)
			}
			base := answer(0, 60*time.Millisecond).ExpectedLatency()
			congested := answer(2, test.congested).ExpectedLatency()
			got := float64(congested) / float64(base)
			c.Assert(got > test.want-0.05 && got < test.want+0.05, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}

// Calls at a worker that has become slow get a hedge: while it can still be on
// time, and also after that, but then only at a worker that is not congested.
func TestHedgeOfCallAtSlowWorker(t *testing.T) {
	const baseLatency = 70 * time.Millisecond // Assumed for a class without observations.
	tests := []struct {
		name    string
		left    time.Duration // Until the answer would be late.
		running int32
		granted bool
	}{
		{"on time, with capacity", 2 * baseLatency, 0, true},
		{"on time, congested", 2 * baseLatency, 3, false},
		{"can no longer be on time, but is not late yet", baseLatency / 2, 0, false},
		{"late, with capacity", -baseLatency, 0, true},
		{"late, congested", -baseLatency, 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newReportingPool(4)
			reportAll(p, test.running, 1)
			now := time.Now()
			req := limiter.NewRequest(target, now.Add(3*target), limiter.WithAvoid("0")).WithTargetDeadline(now.Add(test.left)).AsHedge()
			granted, ok := p.TryHedge(context.Background(), req)
			c.Assert(ok, qt.Equals, test.granted)
			if ok {
				granted.Release()
			}
		})
	}
}
