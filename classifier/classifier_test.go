package classifier_test

import (
	"testing"
	"time"

	"burdocklane/classifier"
	"burdocklane/descriptor"

	qt "github.com/frankban/quicktest"
)

func deployment() descriptor.Deployment {
	class := func(name descriptor.ClassName, paths []string, methods ...string) descriptor.Class {
		return descriptor.NewClass(name, descriptor.WithPaths(paths...), descriptor.WithMethods(methods...),
			descriptor.WithDeadline(2*time.Second))
	}
	return descriptor.NewDeployment("d", descriptor.Measuring{}, []descriptor.Service{
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
		want               time.Duration
	}{
		{"by method", "POST", "/batches", 0, "reserve", 2 * time.Second},
		{"under the prefix", "GET", "/batches/7/x", 0, "lookup", 2 * time.Second},
		{"whole segments only", "GET", "/batchesX", 0, "all", 2 * time.Second},
		{"the longest prefix", "POST", "/batches/urgent/7", 0, "urgent", 2 * time.Second},
		{"the longest prefix of the method", "GET", "/batches/urgent/7", 0, "lookup", 2 * time.Second},
		{"any method", "DELETE", "/batches", 0, "any", 2 * time.Second},
		{"the caller's shorter deadline", "GET", "/x", time.Second, "all", time.Second},
		{"not a longer one", "GET", "/x", time.Minute, "all", 2 * time.Second},
		{"no class", "POST", "/x", 0, "", 0},
		{"no path", "POST", "", 0, "", 0},
		{"asterisk", "OPTIONS", "*", 0, "", 0},
	}
	index := classifier.NewIndex(deployment())
	now := time.Unix(1000, 0)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			head := classifier.NewHead("id", test.method, test.path, classifier.WithTimeout(test.timeout))
			matched, ok := index.Classify(head, now).(classifier.Matched)
			c.Assert(ok, qt.Equals, test.class != "")
			if ok {
				call := matched.Call()
				c.Assert(call.Class().Name(), qt.Equals, test.class)
				c.Assert(call.Deadline(), qt.Equals, now.Add(test.want))
			}
		})
	}
}

func FuzzClassify(f *testing.F) {
	index := classifier.NewIndex(deployment())
	f.Add("GET", "/batches//")
	f.Fuzz(func(t *testing.T, method, path string) {
		head := classifier.NewHead("id", method, path)
		if m, ok := index.Classify(head, time.Time{}).(classifier.Matched); ok {
			call := m.Call()
			if _, matches := call.Class().MatchLength(method, path); !matches {
				t.Fatalf("%s %q was taken for %s", method, path, call.Class().Name())
			}
		}
	})
}
