package limiter_test

import (
	"fmt"
	"testing"

	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/registrar"
	"burdocklane/tracker"

	qt "github.com/frankban/quicktest"
)

// newRegionalPool returns a pool of an instance in region a, with workers in several
// regions.
func newRegionalPool(perRegion int, regions ...string) *limiter.Pool {
	self := registrar.NewInstance("i", "", "", registrar.NewLocality("a", "a-1"), false)
	p := limiter.New("s", self, limiter.WithPolicy(picker.ReportedLoad{}))
	var members []registrar.Worker
	for _, region := range regions {
		for n := range perRegion {
			id := registrar.WorkerID(fmt.Sprintf("%s%d", region, n))
			members = append(members, registrar.NewWorker(id, "s", "", registrar.NewLocality(region, region+"-1"), 3, false))
		}
	}
	p.Update(members, nil)
	return p
}

// Pattern: a scheduler decides for the workers of its region alone, a third of hundreds.
// Guards against a call that it sends to another region, and against one that is rejected
// for good although another region could take it.
func TestLocalDecisions(t *testing.T) {
	tests := []struct {
		name    string
		leaving []registrar.WorkerID
		slow    []registrar.WorkerID
		want    picker.Decision
		worker  registrar.WorkerID
	}{
		{"a local worker", nil, []registrar.WorkerID{"a0"}, picker.Send{}, "a1"},
		{"no local worker in time", nil, []registrar.WorkerID{"a0", "a1"}, picker.Wait{}, ""},
		{"no usable local worker", []registrar.WorkerID{"a0", "a1"}, nil, picker.Wait{}, ""},
		{"no usable worker at all", []registrar.WorkerID{"a0", "a1", "b0", "b1"}, nil, picker.Refuse{}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newRegionalPool(2, "a", "b")
			reportAll(p, 0, 1)
			for _, id := range test.slow {
				p.RecordReport(p.Find(id), tracker.NewReport(0, 0, 3, 40, p.Now()))
			}
			for _, id := range test.leaving {
				p.MarkLeaving(p.Find(id))
			}
			granted, decision := p.TryGrant(newRequest().LocalOnly())
			c.Assert(fmt.Sprintf("%T", decision), qt.Equals, fmt.Sprintf("%T", test.want))
			if test.worker != "" {
				c.Assert(granted.Worker().ID(), qt.Equals, test.worker)
				granted.Release()
			}
		})
	}
}

func BenchmarkLocalDecision(b *testing.B) {
	p := newRegionalPool(234, "a", "b", "c")
	b.ReportAllocs()
	for b.Loop() {
		granted, _ := p.TryGrant(newRequest().LocalOnly())
		granted.Release()
	}
}
