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

// catalogue is a pool of workers with three slots that report their load.
func catalogue(workers int) *limiter.Pool {
	here := registrar.NewPlace("r", "z")
	p := limiter.New("s", registrar.NewInstance("i", "", "", here, false), limiter.WithPolicy(picker.ReportedLoad{}))
	var members []registrar.Worker
	for n := range workers {
		members = append(members, registrar.NewWorker(registrar.WorkerID(strconv.Itoa(n)), "s", "", here, 3, false))
	}
	p.Update(members, nil)
	return p
}

func reportAll(p *limiter.Pool, running int32, pace float64) {
	for _, w := range p.Workers() {
		p.Reported(w, tracker.NewReport(running, 0, 3, pace, p.Now()))
	}
}

func askFor(avoid ...registrar.WorkerID) limiter.Ask {
	now := time.Now()
	return limiter.NewAsk(target, now.Add(3*target), limiter.WithAvoid(avoid...)).OnTimeUntil(now.Add(target))
}

func TestAdmissionByReports(t *testing.T) {
	tests := []struct {
		name    string
		running int32
		pace    float64
		avoid   []registrar.WorkerID
		want    string
	}{
		{"calm", 0, 1, nil, "granted"},
		{"the last slot", 2, 1, nil, "granted"},
		{"all in a slow spell: late rather than never", 0, 5, nil, "granted"},
		{"no room at all", 30, 1, nil, "overload"},
		{"slow and no room", 3, 7, nil, "overload"},
		{"every worker has had the call", 0, 1, []registrar.WorkerID{"0", "1", "2", "3"}, "no-worker"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := catalogue(4)
			reportAll(p, test.running, test.pace)
			switch a := p.Acquire(context.Background(), askFor(test.avoid...)).(type) {
			case limiter.Granted:
				a.Release()
				c.Assert("granted", qt.Equals, test.want)
			case limiter.Refused:
				c.Assert(string(a.Reason()), qt.Equals, test.want)
			}
		})
	}
}

// A burst of calls that come at once is spread over the workers' slots, and
// none of them gets more than can be answered on time.
func TestABurstIsSpreadOverTheSlots(t *testing.T) {
	c := qt.New(t)
	p := catalogue(10)
	reportAll(p, 0, 1)
	var mutex sync.Mutex
	at := map[registrar.WorkerID]int{}
	refused := 0
	var calls sync.WaitGroup
	for range 100 {
		calls.Go(func() {
			admission := p.Acquire(context.Background(), askFor())
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

// A call that waits is served as soon as a report shows room.
func TestAReportEndsTheWait(t *testing.T) {
	c := qt.New(t)
	p := catalogue(1)
	reportAll(p, 30, 1)
	done := make(chan limiter.Admission)
	long := limiter.NewAsk(time.Hour, time.Now().Add(time.Hour)).OnTimeUntil(time.Now().Add(time.Hour))
	go func() { done <- p.AwaitRoom(context.Background(), long.Near()) }()
	p.Reported(p.Workers()[0], tracker.NewReport(0, 0, 3, 1, p.Now()))
	_, ok := (<-done).(limiter.Granted)
	c.Assert(ok, qt.IsTrue)
}

// Workers that all decline half of their calls are still used; one among many
// that does so is not.
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
			p := catalogue(4)
			reportAll(p, 0, 1)
			chosen := map[registrar.WorkerID]int{}
			for range 200 {
				granted, ok := p.Acquire(context.Background(), askFor()).(limiter.Granted)
				c.Assert(ok, qt.IsTrue)
				n, _ := strconv.Atoi(string(granted.Worker().ID()))
				chosen[granted.Worker().ID()]++
				if n < test.declining {
					p.Shed(granted, 0)
				} else {
					p.Answered(granted, 50*time.Millisecond, false)
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

// Crowded answers must not raise what calls are thought to need: the estimate
// would turn more and more calls away.
func TestCalmTimeIsLearntFromUndisturbedAnswersAlone(t *testing.T) {
	tests := []struct {
		name    string
		running int32
		pace    float64
		want    time.Duration
	}{
		{"undisturbed", 0, 1, 60 * time.Millisecond},
		{"crowded", 2, 1, 70 * time.Millisecond},
		{"slow", 0, 2, 70 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := catalogue(1)
			for range 20 {
				reportAll(p, test.running, test.pace)
				granted, ok := p.Acquire(context.Background(), askFor()).(limiter.Granted)
				c.Assert(ok, qt.IsTrue)
				p.Answered(granted, 60*time.Millisecond, false)
				granted.Release()
			}
			c.Assert(p.Calm(target), qt.Equals, test.want)
		})
	}
}

// Where the last slots do not slow a worker down, that is learnt, and a burst may
// use them all; where they do, it is not.
func TestTheCostOfCrowdingIsLearnt(t *testing.T) {
	tests := []struct {
		name    string
		crowded time.Duration // Time of a call at a worker with one slot left.
		want    float64       // The expected time there, in proportion to a calm one.
	}{
		{"workers that do not slow down", 60 * time.Millisecond, 1},
		{"workers that slow down", 102 * time.Millisecond, 1.7},
		{"workers that slow down a lot", 180 * time.Millisecond, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := catalogue(1)
			answer := func(running int32, took time.Duration) limiter.Seen {
				reportAll(p, running, 1)
				granted, ok := p.Acquire(context.Background(), askFor()).(limiter.Granted)
				c.Assert(ok, qt.IsTrue)
				p.Answered(granted, took, false)
				granted.Release()
				return granted.Seen()
			}
			for range 400 {
				answer(0, 60*time.Millisecond)
				answer(2, test.crowded)
			}
			calm := answer(0, 60*time.Millisecond).Expected()
			crowded := answer(2, test.crowded).Expected()
			got := float64(crowded) / float64(calm)
			c.Assert(got > test.want-0.05 && got < test.want+0.05, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}

// Calls that a slow spell has caught get a second attempt: while it can be on
// time, and also later, but then only at a worker that nobody waits for.
func TestASecondAttemptAfterASlowSpell(t *testing.T) {
	const usual = 70 * time.Millisecond // What an unknown call is taken to need.
	tests := []struct {
		name    string
		left    time.Duration // Until the answer would be late.
		running int32
		granted bool
	}{
		{"in time, with room", 2 * usual, 0, true},
		{"in time, crowded", 2 * usual, 3, false},
		{"cannot be on time any more, but is not late yet", usual / 2, 0, false},
		{"late, with room", -usual, 0, true},
		{"late, crowded", -usual, 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := catalogue(4)
			reportAll(p, test.running, 1)
			now := time.Now()
			ask := limiter.NewAsk(target, now.Add(3*target), limiter.WithAvoid("0")).OnTimeUntil(now.Add(test.left)).Second()
			granted, ok := p.TryHedge(context.Background(), ask)
			c.Assert(ok, qt.Equals, test.granted)
			if ok {
				granted.Release()
			}
		})
	}
}
