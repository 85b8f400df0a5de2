package parser

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"burdocklane/descriptor"
)

const (
	defaultDeadline       = 10 * time.Second
	defaultBytesPerSecond = 15_000
	defaultWorkerShare    = 0.01
	mostBytesPerSecond    = 1 << 30
)

// Deployment reads and checks what operators declare. The source names the
// document in errors. The error is a *DocumentError with every fault.
func Deployment(source string, data []byte) (descriptor.Deployment, error) {
	faults := &collector{}
	root, ok := parseDocument(data, faults)
	if !ok {
		return descriptor.Deployment{}, faults.err(source)
	}
	root.required("deployment")
	name := root.text("deployment", "")
	checkName(faults, "deployment", name)
	measuring := parseMeasuring(&root)
	services := parseServices(&root)
	root.finish()
	return descriptor.NewDeployment(name, measuring, services), faults.err(source)
}

// Service reads and checks one service as the store keeps it.
func Service(source string, name descriptor.ServiceName, data []byte) (descriptor.Service, error) {
	faults := &collector{}
	o, ok := parseObject("", data, faults)
	if !ok {
		return descriptor.Service{}, faults.err(source)
	}
	service := parseService(name, &o)
	return service, faults.err(source)
}

func parseMeasuring(root *object) descriptor.Measuring {
	o, _ := root.child("measuring")
	bytes := o.whole("bytes-per-second", defaultBytesPerSecond, 0, mostBytesPerSecond)
	share := o.fraction("worker-share", defaultWorkerShare)
	o.finish()
	return descriptor.NewMeasuring(bytes, share)
}

func parseServices(root *object) []descriptor.Service {
	if !root.required("services") {
		return nil
	}
	all, _ := root.child("services")
	if len(all.keys) == 0 {
		all.faults.add(all.path, "declares no service")
	}
	services := make([]descriptor.Service, 0, len(all.keys))
	for _, name := range all.names() {
		checkName(all.faults, all.at(name), name)
		if o, ok := all.child(name); ok {
			services = append(services, parseService(descriptor.ServiceName(name), &o))
		}
	}
	checkOverlap(all.faults, services)
	return services
}

func parseService(name descriptor.ServiceName, o *object) descriptor.Service {
	notRun := o.numbers("not-run-statuses")
	for _, status := range notRun {
		if status < http.StatusBadRequest || status > 599 {
			o.faults.add(o.at("not-run-statuses"), "%d is not an error status from 400 to 599", status)
		}
	}
	classes := parseClasses(o)
	o.finish()
	return descriptor.NewService(name, classes, notRun)
}

func parseClasses(o *object) []descriptor.Class {
	if !o.required("classes") {
		return nil
	}
	all, _ := o.child("classes")
	if len(all.keys) == 0 {
		all.faults.add(all.path, "declares no class")
	}
	classes := make([]descriptor.Class, 0, len(all.keys))
	for _, name := range all.names() {
		checkName(all.faults, all.at(name), name)
		if c, ok := all.child(name); ok {
			classes = append(classes, parseClass(descriptor.ClassName(name), &c))
		}
	}
	return classes
}

func parseClass(name descriptor.ClassName, o *object) descriptor.Class {
	methods := o.texts("methods")
	for _, method := range methods {
		if method == "" || strings.ToUpper(method) != method {
			o.faults.add(o.at("methods"), "%q is not a method in capitals", method)
		}
	}
	paths := parsePaths(o)
	repeat := parseRepeat(o)
	target := parseTarget(o)
	deadline := o.duration("deadline", defaultDeadline)
	if deadline > 0 && deadline < target.Latency() {
		o.faults.add(o.at("deadline"), "%s is shorter than the target's latency %s", deadline, target.Latency())
	}
	o.finish()
	return descriptor.NewClass(name,
		descriptor.WithMethods(methods...),
		descriptor.WithPaths(paths...),
		descriptor.WithRepeat(repeat),
		descriptor.WithTarget(target),
		descriptor.WithDeadline(deadline))
}

func parsePaths(o *object) []string {
	if !o.required("paths") {
		return nil
	}
	paths := o.texts("paths")
	if len(paths) == 0 {
		o.faults.add(o.at("paths"), "names no path")
	}
	for _, path := range paths {
		if !strings.HasPrefix(path, "/") {
			o.faults.add(o.at("paths"), "%q does not start with /", path)
		}
	}
	return paths
}

func parseRepeat(o *object) descriptor.Repeat {
	if !o.required("repeat") {
		return descriptor.AtMostOnce{}
	}
	idempotent := descriptor.RepeatText(descriptor.Idempotent{})
	atMostOnce := descriptor.RepeatText(descriptor.AtMostOnce{})
	if o.choice("repeat", atMostOnce, idempotent, atMostOnce) == idempotent {
		return descriptor.Idempotent{}
	}
	return descriptor.AtMostOnce{}
}

func parseTarget(o *object) descriptor.Target {
	if !o.required("target") {
		return descriptor.Target{}
	}
	t, ok := o.child("target")
	if !ok {
		return descriptor.Target{}
	}
	t.required("latency")
	t.required("quantile")
	target := descriptor.NewTarget(t.duration("latency", 0), t.fraction("quantile", 0))
	t.finish()
	return target
}

func checkName(faults *collector, path, name string) {
	const longest = 63
	if name == "" || len(name) > longest {
		faults.add(path, "%q must have 1 to %d characters", name, longest)
		return
	}
	kebab := strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
	if !kebab || name[0] == '-' || name[len(name)-1] == '-' {
		faults.add(path, "%q is not in kebab case (a-z, 0-9, -)", name)
	}
}

// checkOverlap refuses two classes that match the same method and path, since
// a request must belong to one class.
func checkOverlap(faults *collector, services []descriptor.Service) {
	type claim struct{ method, path string }
	owners := map[claim]string{}
	for _, s := range services {
		for _, c := range s.Classes() {
			place := "services." + string(s.Name()) + ".classes." + string(c.Name())
			methods := c.Methods()
			if len(methods) == 0 {
				methods = []string{""}
			}
			for _, method := range methods {
				for _, path := range slices.Compact(slices.Sorted(slices.Values(c.Paths()))) {
					key := claim{method, path}
					if owner, taken := owners[key]; taken {
						faults.add(place, "matches %s %s, as %s does", method, path, owner)
						continue
					}
					owners[key] = place
				}
			}
		}
	}
}
