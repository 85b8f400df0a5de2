package apportioner_test

import (
	"testing"
	"time"

	"burdocklane/apportioner"
	"burdocklane/descriptor"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against parts that add up to more than the tolerance, and against local shares
// that add up to more than the local part.
func TestPartsAddUpToTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := descriptor.NewRateLimit(rapid.Float64Range(0.1, 10_000).Draw(rt, "rate"), rapid.Float64Range(1, 10_000).Draw(rt, "burst"))
		tolerance := apportioner.NewTolerance(5*time.Second, rapid.Float64Range(0, 0.5).Draw(rt, "share"), rapid.Float64Range(0, 50).Draw(rt, "calls"))
		p := apportioner.Divide(limit, tolerance)
		total := limit.PerSecond()*tolerance.Window().Seconds() + p.Capacity() + p.Initial() + float64(p.Local())
		if total > tolerance.Bound(limit)+1e-6 {
			rt.Fatalf("parts add up to %g, the bound is %g", total, tolerance.Bound(limit))
		}
		instances := rapid.IntRange(1, 300).Draw(rt, "instances")
		local := 0
		for rank := range instances {
			local += p.LocalOf(rank, instances)
		}
		if local != p.Local() {
			rt.Fatalf("local shares add up to %d of %d", local, p.Local())
		}
	})
}

func TestWithoutTolerance(t *testing.T) {
	tests := []struct {
		name     string
		limit    descriptor.RateLimit
		capacity float64
	}{
		{"burst", descriptor.NewRateLimit(10, 5), 5},
		{"no burst", descriptor.NewRateLimit(10, 0), 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := apportioner.Divide(test.limit, apportioner.Tolerance{})
			c.Assert(p.Capacity(), qt.Equals, test.capacity)
			c.Assert(p.Initial(), qt.Equals, 0.0)
			c.Assert(p.LocalOf(0, 1), qt.Equals, 0)
		})
	}
}
