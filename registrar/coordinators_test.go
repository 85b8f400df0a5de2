package registrar_test

import (
	"testing"

	"burdocklane/registrar"

	qt "github.com/frankban/quicktest"
)

func TestCoordinators(t *testing.T) {
	in := func(id, region, zone string, cpus float64) registrar.Instance {
		return registrar.NewInstance(registrar.InstanceID(id), "", "", registrar.NewLocality(region, zone), false).WithCPUs(cpus)
	}
	tests := []struct {
		name      string
		instances []registrar.Instance
		want      []registrar.InstanceID
	}{
		{"none", nil, nil},
		{"one", []registrar.Instance{in("a", "r", "z", 1)}, []registrar.InstanceID{"a"}},
		{"another region", []registrar.Instance{in("a", "q", "z", 1)}, nil},
		{"those with the most CPU of a zone", []registrar.Instance{in("a", "r", "z", 0.1), in("b", "r", "z", 0.8), in("c", "r", "z", 0.8)}, []registrar.InstanceID{"b", "c"}},
		{"some of each zone", []registrar.Instance{in("a", "r", "y", 0.1), in("b", "r", "z", 0.8), in("c", "r", "z", 0.8)}, []registrar.InstanceID{"a", "b", "c"}},
		{"not the leaving ones", []registrar.Instance{in("a", "r", "z", 1).AsLeaving(), in("b", "r", "z", 1)}, []registrar.InstanceID{"b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []registrar.InstanceID
			for _, i := range registrar.Coordinators(test.instances, "r") {
				got = append(got, i.ID())
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// Guards against instances that choose different coordinators among equals because
// their lists have different orders.
func TestCoordinatorsDoNotDependOnTheOrderOfTheList(t *testing.T) {
	c := qt.New(t)
	var instances []registrar.Instance
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		instances = append(instances, registrar.NewInstance(registrar.InstanceID(id), "", "", registrar.NewLocality("r", "z"), false))
	}
	want := registrar.Coordinators(instances, "r")
	c.Assert(want, qt.HasLen, 2)
	for n := range instances {
		rotated := append(append([]registrar.Instance{}, instances[n:]...), instances[:n]...)
		got := registrar.Coordinators(rotated, "r")
		c.Assert([]registrar.InstanceID{got[0].ID(), got[1].ID()}, qt.DeepEquals, []registrar.InstanceID{want[0].ID(), want[1].ID()})
	}
}
