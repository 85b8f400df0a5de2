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
	route := func(target time.Duration, services ...descriptor.ServiceName) descriptor.Route {
		var parts []descriptor.WeightedService
		for _, name := range services {
			parts = append(parts, descriptor.NewWeightedService(name, 1))
		}
		class := descriptor.NewClass("c", descriptor.WithTarget(descriptor.NewTarget(target, 0.9)))
		return descriptor.NewRoute("", class, parts...)
	}
	class := descriptor.NewClass("c", descriptor.WithTarget(descriptor.NewTarget(320*time.Millisecond, 0.9)))
	tests := []struct {
		name    string
		classes []descriptor.Class
		routes  []descriptor.Route
		want    time.Duration
	}{
		{"a route with a short target", nil, []descriptor.Route{route(150*time.Millisecond, "s")}, 50 * time.Millisecond},
		{"a route with a long target", nil, []descriptor.Route{route(400*time.Millisecond, "s")}, 120 * time.Millisecond},
		{"a very long target", nil, []descriptor.Route{route(time.Minute, "s")}, 150 * time.Millisecond},
		{"the shortest decides", nil, []descriptor.Route{route(time.Minute, "s"), route(300*time.Millisecond, "t", "s")}, 90 * time.Millisecond},
		{"a class of the service", []descriptor.Class{class}, []descriptor.Route{route(time.Minute, "s")}, 96 * time.Millisecond},
		{"a short target of another service", nil, []descriptor.Route{route(200*time.Millisecond, "t"), route(300*time.Millisecond, "s")}, 90 * time.Millisecond},
		{"no class", nil, nil, 50 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			service := descriptor.NewService("s", test.classes, nil)
			d := descriptor.NewDeployment("d", descriptor.MeasurementBudget{}, []descriptor.Service{service}).WithRoutes(test.routes)
			qt.Assert(t, refreshIntervalFor(d.ShortestTargets()["s"]), qt.Equals, test.want)
		})
	}
}

// Pattern: hundreds of instances of which a few are coordinators. Guards against ones that
// wake up for nothing, and against one that sees no coordinator and does nothing.
func TestTicks(t *testing.T) {
	tests := []struct {
		name          string
		isCoordinator bool
		live          int
		want          time.Duration
	}{
		{"a coordinator", true, 6, tickInterval},
		{"another instance", false, 6, idleTickInterval},
		{"another instance that sees no coordinator", false, 1, tickInterval},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, nextTick(test.isCoordinator, test.live), qt.Equals, test.want)
		})
	}
}
