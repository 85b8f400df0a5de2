package relayer

import (
	"testing"

	"burdocklane/registrar"
	"burdocklane/storer"

	qt "github.com/frankban/quicktest"
)

// Guards against an instance that, with its whole zone refused by the store, finds no
// peer to read from, or always returns to one that failed.
func TestFallbackSelection(t *testing.T) {
	in := func(id, region, zone string) registrar.Instance {
		return registrar.NewInstance(registrar.InstanceID(id), id+":1", "", registrar.NewLocality(region, zone), false)
	}
	withCPUs := func(i registrar.Instance) registrar.Instance { return i.WithCPUs(1) } // Ranks before those without.
	self := withCPUs(in("self", "r", "z"))
	tests := []struct {
		name      string
		instances []registrar.Instance
		want      []string // In the order of the tries, each of which fails.
	}{
		{"no peers", []registrar.Instance{self}, nil},
		{"another region", []registrar.Instance{self, in("a", "q", "x")}, []string{"relay a:1"}},
		{"the nearest first", []registrar.Instance{in("far", "q", "x"), in("near", "r", "y"), self, in("same", "r", "z")}, []string{"relay near:1", "relay far:1", "relay same:1"}},
		{"the first ones of their zones first", []registrar.Instance{self, in("second", "r", "y"), withCPUs(in("first", "r", "y")), withCPUs(in("far", "q", "x"))}, []string{"relay first:1", "relay far:1", "relay second:1"}},
		{"not a leaving one", []registrar.Instance{self, in("a", "r", "y").AsLeaving(), in("b", "r", "x")}, []string{"relay b:1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			selector := NewSelector(self, func() storer.Revision { return storer.Revision{} }, func() []registrar.Instance { return nil })
			defer selector.Close()
			selector.UpdateInstances(test.instances)
			var got []string
			for fallbacks := selector.Fallbacks(); len(fallbacks) > 0; fallbacks = selector.Fallbacks() {
				got = append(got, storer.Name(fallbacks[0]))
				selector.ReportFailure(fallbacks[0])
			}
			c.Assert(got, qt.DeepEquals, test.want)
		})
	}
}
