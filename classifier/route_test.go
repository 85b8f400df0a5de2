package classifier_test

import (
	"testing"
	"time"

	"burdocklane/classifier"
	"burdocklane/descriptor"

	qt "github.com/frankban/quicktest"
)

func deploymentWithRoutes(parts ...descriptor.WeightedService) descriptor.Deployment {
	route := func(name descriptor.ClassName, host, path string, parts ...descriptor.WeightedService) descriptor.Route {
		return descriptor.NewRoute(host, descriptor.NewClass(name, descriptor.WithPaths(path),
			descriptor.WithDeadline(time.Second)), parts...)
	}
	services := []descriptor.Service{descriptor.NewService("a", nil, nil), descriptor.NewService("b", nil, nil)}
	return descriptor.NewDeployment("d", descriptor.MeasurementBudget{}, services).WithRoutes([]descriptor.Route{
		route("wide", "one.example", "/x/", descriptor.NewWeightedService("a", 1)),
		route("long", "one.example", "/x/y/", descriptor.NewWeightedService("b", 1)),
		route("other", "two.example", "/x/", descriptor.NewWeightedService("b", 1)),
		route("lost", "two.example", "/gone/", descriptor.NewWeightedService("unknown", 1)),
		route("split", "split.example", "/", parts...),
	})
}

func TestRoutesByHostAndLongestPrefix(t *testing.T) {
	tests := []struct {
		name, host, path string
		class            descriptor.ClassName
		service          descriptor.ServiceName
	}{
		{"match by host", "one.example", "/x/1", "wide", "a"},
		{"match by another host", "two.example", "/x/1", "other", "b"},
		{"host with a port, in upper case", "TWO.example:80", "/x/1", "other", "b"},
		{"longest prefix", "one.example", "/x/y/1", "long", "b"},
		{"path equal to the prefix", "one.example", "/x/y/", "long", "b"},
		{"path without the trailing slash of the prefix", "one.example", "/x", "", ""},
		{"prefix ends at a segment boundary", "one.example", "/x/yy", "wide", "a"},
		{"unknown host", "three.example", "/x/1", "", ""},
		{"route to an unknown service", "two.example", "/gone/1", "", ""},
	}
	index := classifier.NewIndex(deploymentWithRoutes(descriptor.NewWeightedService("a", 1)))
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			request := classifier.NewRequest("id", "GET", test.path, classifier.WithHost(test.host))
			matched, ok := index.Classify(request, time.Unix(0, 0)).(classifier.Matched)
			c.Assert(ok, qt.Equals, test.class != "")
			if ok {
				call := matched.Call()
				c.Assert(call.Class().Name(), qt.Equals, test.class)
				c.Assert(call.Service().Name(), qt.Equals, test.service)
			}
		})
	}
}

// Each service must get its share of calls in any run of some dozens, not only on
// average.
func TestSplitFollowsWeights(t *testing.T) {
	tests := []struct {
		name      string
		a, b      int
		want      float64
		tolerance float64
	}{
		{"even", 1, 1, 0.5, 0.03},
		{"90 to 10", 90, 10, 0.9, 0.03},
		{"all to one", 1, 0, 1, 0},
		{"1 to 99", 1, 99, 0.01, 0.02},
	}
	const calls = 100
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			index := classifier.NewIndex(deploymentWithRoutes(descriptor.NewWeightedService("a", test.a), descriptor.NewWeightedService("b", test.b)))
			for run := range 20 {
				got := 0
				for range calls {
					request := classifier.NewRequest("id", "GET", "/", classifier.WithHost("split.example"))
					call := index.Classify(request, time.Unix(0, 0)).(classifier.Matched).Call()
					if call.Service().Name() == "a" {
						got++
					}
				}
				share := float64(got) / calls
				c.Assert(share >= test.want-test.tolerance && share <= test.want+test.tolerance, qt.IsTrue, qt.Commentf("run %d: %v", run, share))
			}
		})
	}
}
