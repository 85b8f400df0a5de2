package gossiper

import (
	"testing"
	"time"

	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/registrar"
	"burdocklane/tracker"

	qt "github.com/frankban/quicktest"
)

func TestCheckDue(t *testing.T) {
	tests := []struct {
		name string
		path string
		do   func(t *target)
		want bool
	}{
		{"no report", "/health", func(*target) {}, true},
		{"a fresh report", "/health", func(t *target) {
			t.pool.RecordReport(t.worker, tracker.NewReport(0, 0, 3, 1, t.pool.Now()))
		}, false},
		{"an old report", "/health", func(t *target) {
			t.pool.RecordReport(t.worker, tracker.NewReport(0, 0, 3, 1, t.pool.Now()-time.Second))
		}, true},
		{"no path for health checks", "", func(*target) {}, false},
		{"another worker has its address", "/health", func(t *target) {
			time.Sleep(time.Millisecond) // Makes the pool's clock greater than 0.
			t.pool.MarkLeaving(t.worker)
			time.Sleep(time.Millisecond)
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			here := registrar.NewLocality("r", "z")
			pool := limiter.New("s", registrar.NewInstance("i", "", "", here, false), limiter.WithPolicy(picker.ReportedLoad{}))
			pool.Update([]registrar.Worker{registrar.NewWorker("w", "s", "10.0.0.1:1", here, 3, false)}, nil)
			x := &target{worker: pool.Workers()[0], pool: pool, path: test.path, state: &state{}}
			test.do(x)
			qt.Assert(t, x.checkDue(), qt.Equals, test.want)
		})
	}
}
