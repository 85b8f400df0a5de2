package classifier_test

import (
	"testing"
	"time"

	"burdocklane/classifier"
	"burdocklane/descriptor"

	qt "github.com/frankban/quicktest"
)

func deploymentWithClasses() descriptor.Deployment {
	class := func(name descriptor.ClassName, paths []string, methods ...string) descriptor.Class {
		return descriptor.NewClass(name, descriptor.WithPaths(paths...), descriptor.WithMethods(methods...),
			descriptor.WithDeadline(2*time.Second))
	}
	return descriptor.NewDeployment("d", descriptor.MeasurementBudget{}, []descriptor.Service{
		descriptor.NewService("ledger", []descriptor.Class{
			class("lookup", []string{"/batches"}, "GET", "HEAD"),
			class("reserve", []string{"/batches"}, "POST"),
			class("any", []string{"/batches"}),
			class("urgent", []string{"/batches/urgent/"}, "POST"),
		}, nil),
		descriptor.NewService("rest", []descriptor.Class{class("all", []string{"/"}, "GET")}, nil),
	})
}

func TestClassify(t *testing.T) {
	tests := []struct {
		name, method, path string
		timeout            time.Duration
		class              descriptor.ClassName
		deadline           time.Duration
	}{
		{"match by method", "POST", "/batches", 0, "reserve", 2 * time.Second},
		{"path below the prefix", "GET", "/batches/7/x", 0, "lookup", 2 * time.Second},
		{"prefix ends at a segment boundary", "GET", "/batchesX", 0, "all", 2 * time.Second},
		{"longest prefix", "POST", "/batches/urgent/7", 0, "urgent", 2 * time.Second},
		{"longest prefix with the method", "GET", "/batches/urgent/7", 0, "lookup", 2 * time.Second},
		{"class that accepts any method", "DELETE", "/batches", 0, "any", 2 * time.Second},
		{"caller's timeout is shorter", "GET", "/x", time.Second, "all", time.Second},
		{"caller's timeout is longer", "GET", "/x", time.Minute, "all", 2 * time.Second},
		{"no matching class", "POST", "/x", 0, "", 0},
		{"empty path", "POST", "", 0, "", 0},
		{"asterisk", "OPTIONS", "*", 0, "", 0},
	}
	index := classifier.NewIndex(deploymentWithClasses())
	now := time.Unix(1000, 0)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			request := classifier.NewRequest("id", test.method, test.path, classifier.WithTimeout(test.timeout))
			matched, ok := index.Classify(request, now).(classifier.Matched)
			c.Assert(ok, qt.Equals, test.class != "")
			if ok {
				call := matched.Call()
				c.Assert(call.Class().Name(), qt.Equals, test.class)
				c.Assert(call.Deadline(), qt.Equals, now.Add(test.deadline))
			}
		})
	}
}

func FuzzClassify(f *testing.F) {
	index := classifier.NewIndex(deploymentWithClasses())
	f.Add("GET", "/batches//")
	f.Fuzz(func(t *testing.T, method, path string) {
		request := classifier.NewRequest("id", method, path)
		if m, ok := index.Classify(request, time.Time{}).(classifier.Matched); ok {
			call := m.Call()
			if _, matches := call.Class().MatchLength(method, path); !matches {
				t.Fatalf("%s %q was classified as %s, which does not match it", method, path, call.Class().Name())
			}
		}
	})
}
