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
			x := &target{worker: pool.Workers()[0], pool: pool, path: test.path, state: &state{}, refresh: refreshInterval}
			test.do(x)
			qt.Assert(t, x.checkDue(), qt.Equals, test.want)
		})
	}
}

// Pattern: hundreds of workers with long calls. Guards against checks that cost more than
// they save there, and against old reports where targets are short.
func TestRefreshInterval(t *testing.T) {
	tests := []struct {
		name    string
		targets []time.Duration
		want    time.Duration
	}{
		{"short", []time.Duration{200 * time.Millisecond}, 50 * time.Millisecond},
		{"long", []time.Duration{2 * time.Second}, 100 * time.Millisecond},
		{"very long", []time.Duration{time.Minute}, 150 * time.Millisecond},
		{"the shortest decides", []time.Duration{time.Minute, 1200 * time.Millisecond}, 60 * time.Millisecond},
		{"no class", nil, 150 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var classes []descriptor.Class
			for _, target := range test.targets {
				classes = append(classes, descriptor.NewClass("c", descriptor.WithTarget(descriptor.NewTarget(target, 0.9))))
			}
			qt.Assert(t, refreshIntervalOf(descriptor.NewService("s", classes, nil)), qt.Equals, test.want)
		})
	}
}
