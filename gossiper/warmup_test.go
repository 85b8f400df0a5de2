package gossiper

import (
	"testing"
	"time"

	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/registrar"
	"burdocklane/tracker"

	qt "github.com/frankban/quicktest"
)

// Guards against a cold worker of which peers hear nothing, and against peers that tell each
// other for ever that it is cold.
func TestGossipOfColdWorkers(t *testing.T) {
	check := func(left time.Duration) func(*target) {
		return func(t *target) { t.recordWarmup(left) }
	}
	hear := func(flags uint8) func(*target) {
		return func(t *target) { t.apply(1, record{Flags: flags}) }
	}
	tests := []struct {
		name       string
		do         func(*target)
		knows, say bool
	}{
		{"nothing known", func(*target) {}, false, false},
		{"its own check", check(time.Minute), true, true},
		{"its own check of a worker that is warm", check(0), false, false},
		{"a peer", hear(flagCold), true, false},
		{"a peer that does not say so", hear(flagReport), false, false},
		{"a peer that says nothing else of it", hear(flagCold | flagUnhealthy), true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			here := registrar.NewLocality("r", "z")
			pool := limiter.New("s", registrar.NewInstance("i", "", "", here, false), limiter.WithPolicy(picker.ReportedLoad{}))
			pool.SetWarmup(descriptor.NewWarmup(time.Minute, 1))
			pool.Update([]registrar.Worker{registrar.NewWorker("w", "s", "10.0.0.1:1", here, 3, false)}, nil)
			x := &target{worker: pool.Workers()[0], pool: pool, state: &state{}}
			test.do(x)
			c.Assert(pool.IsColdLimited(x.worker), qt.Equals, test.knows)
			pool.RecordReport(x.worker, tracker.NewReport(0, 0, 3, 1, pool.Now()))
			r, _ := x.takeUpdate()
			c.Assert(r.Flags&flagCold != 0, qt.Equals, test.say)
			c.Assert(x.changed(r), qt.Equals, test.say)
			c.Assert(x.changed(r), qt.IsFalse)
		})
	}
}
