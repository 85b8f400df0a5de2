package classifier_test

import (
	"testing"
	"time"

	"burdocklane/classifier"
	"burdocklane/descriptor"

	qt "github.com/frankban/quicktest"
)

func routed(parts ...descriptor.Part) descriptor.Deployment {
	route := func(name descriptor.ClassName, host, path string, parts ...descriptor.Part) descriptor.Route {
		return descriptor.NewRoute(host, descriptor.NewClass(name, descriptor.WithPaths(path),
			descriptor.WithDeadline(time.Second)), parts...)
	}
	services := []descriptor.Service{descriptor.NewService("a", nil, nil), descriptor.NewService("b", nil, nil)}
	return descriptor.NewDeployment("d", descriptor.Measuring{}, services).WithRoutes([]descriptor.Route{
		route("wide", "one.example", "/x/", descriptor.NewPart("a", 1)),
		route("long", "one.example", "/x/y/", descriptor.NewPart("b", 1)),
		route("other", "two.example", "/x/", descriptor.NewPart("b", 1)),
		route("lost", "two.example", "/gone/", descriptor.NewPart("unknown", 1)),
		route("split", "split.example", "/", parts...),
	})
}

func TestRoutesByHostAndLongestPrefix(t *testing.T) {
	tests := []struct {
		name, host, path string
		class            descriptor.ClassName
		service          descriptor.ServiceName
	}{
		{"by host", "one.example", "/x/1", "wide", "a"},
		{"by another host", "two.example", "/x/1", "other", "b"},
		{"host with a port, in capitals", "TWO.example:80", "/x/1", "other", "b"},
		{"longest prefix", "one.example", "/x/y/1", "long", "b"},
		{"the prefix itself", "one.example", "/x/y/", "long", "b"},
		{"without the prefix's last slash", "one.example", "/x", "", ""},
		{"whole segments only", "one.example", "/x/yy", "wide", "a"},
		{"unknown host", "three.example", "/x/1", "", ""},
		{"a route to an unknown service", "two.example", "/gone/1", "", ""},
	}
	index := classifier.NewIndex(routed(descriptor.NewPart("a", 1)))
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			head := classifier.NewHead("id", "GET", test.path, classifier.WithHost(test.host))
			matched, ok := index.Classify(head, time.Unix(0, 0)).(classifier.Matched)
			c.Assert(ok, qt.Equals, test.class != "")
			if ok {
				call := matched.Call()
				c.Assert(call.Class().Name(), qt.Equals, test.class)
				c.Assert(call.Service().Name(), qt.Equals, test.service)
			}
		})
	}
}

// Each part gets its share in any run of some dozens of calls, not only on
// average.
func TestSplitsKeepToTheirWeights(t *testing.T) {
	tests := []struct {
		name   string
		a, b   int
		want   float64
		within float64
	}{
		{"even", 1, 1, 0.5, 0.03},
		{"nine to one", 90, 10, 0.9, 0.03},
		{"all to one", 1, 0, 1, 0},
		{"one in a hundred", 1, 99, 0.01, 0.02},
	}
	const calls = 100
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			index := classifier.NewIndex(routed(descriptor.NewPart("a", test.a), descriptor.NewPart("b", test.b)))
			for run := range 20 {
				got := 0
				for range calls {
					head := classifier.NewHead("id", "GET", "/", classifier.WithHost("split.example"))
					call := index.Classify(head, time.Unix(0, 0)).(classifier.Matched).Call()
					if call.Service().Name() == "a" {
						got++
					}
				}
				share := float64(got) / calls
				c.Assert(share >= test.want-test.within && share <= test.want+test.within, qt.IsTrue, qt.Commentf("run %d: %v", run, share))
			}
		})
	}
}
