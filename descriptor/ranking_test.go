package descriptor_test

import (
	"testing"

	"burdocklane/descriptor"

	qt "github.com/frankban/quicktest"
)

// Guards against a service whose calls are ranked although its configuration holds nothing
// to rank them by: it must be served as before.
func TestRankedServices(t *testing.T) {
	class := func(priority int) descriptor.Class {
		return descriptor.NewClass("c", descriptor.WithPriority(priority))
	}
	route := func(priority int, services ...descriptor.ServiceName) descriptor.Route {
		var split []descriptor.WeightedService
		for _, service := range services {
			split = append(split, descriptor.NewWeightedService(service, 1))
		}
		return descriptor.NewRoute("h", class(priority), split...)
	}
	tests := []struct {
		name    string
		classes []descriptor.Class // Of the service "s".
		routes  []descriptor.Route
		tenants []descriptor.Tenant
		want    map[descriptor.ServiceName]bool
	}{
		{"one class", []descriptor.Class{class(2)}, nil, nil, map[descriptor.ServiceName]bool{}},
		{"classes of one priority", []descriptor.Class{class(2), class(2)}, nil, nil, map[descriptor.ServiceName]bool{}},
		{"classes of two priorities", []descriptor.Class{class(0), class(2)}, nil, nil, map[descriptor.ServiceName]bool{"s": true}},
		{"routes that differ, to two services", nil, []descriptor.Route{route(0, "s"), route(1, "t")}, nil, map[descriptor.ServiceName]bool{}},
		{"routes that meet at a service", nil, []descriptor.Route{route(0, "s", "t"), route(1, "t")}, nil, map[descriptor.ServiceName]bool{"t": true}},
		{"tenants", nil, []descriptor.Route{route(0, "s")}, []descriptor.Tenant{descriptor.NewTenant("a")}, map[descriptor.ServiceName]bool{"s": true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := descriptor.NewDeployment("d", descriptor.MeasurementBudget{}, []descriptor.Service{
				descriptor.NewService("s", test.classes, nil), descriptor.NewService("t", nil, nil),
			}).WithRoutes(test.routes).WithTenants(test.tenants)
			qt.New(t).Assert(d.RankedServices(), qt.DeepEquals, test.want)
		})
	}
}
