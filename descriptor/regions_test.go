package descriptor_test

import (
	"testing"

	"burdocklane/descriptor"

	qt "github.com/frankban/quicktest"
)

// Guards against an empty intersection that is taken for no limit at all.
func TestRegionsIntersect(t *testing.T) {
	limit := descriptor.NewRegions
	tests := []struct {
		name       string
		a, b       descriptor.Regions
		allowed    []string
		restricted bool
		empty      bool
	}{
		{"none restricted", limit(), limit(), []string{"north", "south"}, false, false},
		{"one restricted", limit("north"), limit(), []string{"north"}, true, false},
		{"common regions", limit("north", "south"), limit("south", "east"), []string{"south"}, true, false},
		{"no common region", limit("north"), limit("south"), nil, true, true},
		{"a region named twice", limit("north", "north"), limit("north"), []string{"north"}, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			for _, both := range [...]descriptor.Regions{test.a.Intersect(test.b), test.b.Intersect(test.a)} {
				var allowed []string
				for _, region := range [...]string{"north", "south"} {
					if both.Allows(region) {
						allowed = append(allowed, region)
					}
				}
				c.Assert(allowed, qt.DeepEquals, test.allowed)
				c.Assert(both.IsRestricted(), qt.Equals, test.restricted)
				c.Assert(both.IsEmpty(), qt.Equals, test.empty)
			}
		})
	}
}
