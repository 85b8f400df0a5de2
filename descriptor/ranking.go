package descriptor

// RankedServices returns the services whose calls differ in priority: by their classes and
// routes, or because tenants may have priorities of their own.
func (d Deployment) RankedServices() map[ServiceName]bool {
	ranked := map[ServiceName]bool{}
	priorities := map[ServiceName]int{}
	add := func(name ServiceName, class Class) {
		known, ok := priorities[name]
		priorities[name] = class.Priority()
		if len(d.tenants) > 0 || ok && known != class.Priority() {
			ranked[name] = true
		}
	}
	for _, service := range d.services {
		for _, class := range service.classes {
			add(service.name, class)
		}
	}
	for _, route := range d.routes {
		for _, part := range route.weightedServices {
			add(part.Service(), route.class)
		}
	}
	return ranked
}
