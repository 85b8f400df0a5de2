package descriptor

import "slices"

// Regions limits where calls may be processed. The zero value allows every region. It is
// immutable.
type Regions struct {
	names      []string // Sorted.
	restricted bool
}

// NewRegions returns the limit to the named regions. Without any name, every region is
// allowed.
func NewRegions(names ...string) Regions {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return Regions{names: slices.Compact(sorted), restricted: len(names) > 0}
}

// IsRestricted reports whether any region is excluded.
func (r Regions) IsRestricted() bool { return r.restricted }

// IsEmpty reports whether no region is allowed at all.
func (r Regions) IsEmpty() bool { return r.restricted && len(r.names) == 0 }

// Allows reports whether calls may be processed in the region.
func (r Regions) Allows(region string) bool {
	if !r.restricted {
		return true
	}
	_, found := slices.BinarySearch(r.names, region)
	return found
}

// Names returns the allowed regions in order, or none if every region is allowed. The
// caller must not modify the slice.
func (r Regions) Names() []string { return r.names }

// Intersect returns the regions that both allow.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case !r.restricted:
		return other
	case !other.restricted:
		return r
	}
	common := Regions{restricted: true}
	for _, name := range r.names {
		if other.Allows(name) {
			common.names = append(common.names, name)
		}
	}
	return common
}
