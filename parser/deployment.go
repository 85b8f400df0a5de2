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
	maxBytesPerSecond     = 1 << 30
)

// ParseDeployment parses and validates a deployment. The source is the document's
// name in errors. The error is a *DocumentError with every violation.
func ParseDeployment(source string, data []byte) (descriptor.Deployment, error) {
	violations := &violationList{}
	root, ok := parseDocument(data, violations)
	if !ok {
		return descriptor.Deployment{}, violations.err(source)
	}
	root.required("deployment")
	name := root.stringValue("deployment", "")
	checkName(violations, "deployment", name)
	budget := parseMeasurementBudget(&root)
	services := parseServices(&root)
	tenants := parseOptionalTenants(&root)
	root.reportUnknown()
	return descriptor.NewDeployment(name, budget, services).WithTenants(tenants), violations.err(source)
}

// ParseService parses and validates a service as stored. The source is the name of
// its key in errors. The error is a *DocumentError with every violation.
func ParseService(source string, name descriptor.ServiceName, data []byte) (descriptor.Service, error) {
	violations := &violationList{}
	o, ok := parseObject("", data, violations)
	if !ok {
		return descriptor.Service{}, violations.err(source)
	}
	service := parseService(name, &o)
	return service, violations.err(source)
}

func parseMeasurementBudget(root *object) descriptor.MeasurementBudget {
	o, _ := root.child("measuring")
	bytes := o.integer("bytes-per-second", defaultBytesPerSecond, 0, maxBytesPerSecond)
	share := o.fraction("worker-share", defaultWorkerShare)
	o.reportUnknown()
	return descriptor.NewMeasurementBudget(bytes, share)
}

func parseServices(root *object) []descriptor.Service {
	if !root.required("services") {
		return nil
	}
	all, _ := root.child("services")
	if len(all.keys) == 0 {
		all.violations.add(all.path, "declares no service")
	}
	services := make([]descriptor.Service, 0, len(all.keys))
	for _, name := range all.sortedKeys() {
		checkName(all.violations, all.pathOf(name), name)
		if o, ok := all.child(name); ok {
			services = append(services, parseService(descriptor.ServiceName(name), &o))
		}
	}
	checkOverlap(all.violations, services)
	return services
}

func parseService(name descriptor.ServiceName, o *object) descriptor.Service {
	notRunStatuses := o.integerList("not-run-statuses")
	for _, status := range notRunStatuses {
		if status < http.StatusBadRequest || status > 599 {
			o.violations.add(o.pathOf("not-run-statuses"), "%d is not an error status from 400 to 599", status)
		}
	}
	classes := parseClasses(o)
	o.reportUnknown()
	return descriptor.NewService(name, classes, notRunStatuses)
}

func parseClasses(o *object) []descriptor.Class {
	if !o.required("classes") {
		return nil
	}
	all, _ := o.child("classes")
	if len(all.keys) == 0 {
		all.violations.add(all.path, "declares no class")
	}
	classes := make([]descriptor.Class, 0, len(all.keys))
	for _, name := range all.sortedKeys() {
		checkName(all.violations, all.pathOf(name), name)
		if c, ok := all.child(name); ok {
			classes = append(classes, parseClass(descriptor.ClassName(name), &c))
		}
	}
	return classes
}

func parseClass(name descriptor.ClassName, o *object) descriptor.Class {
	methods := o.stringList("methods")
	for _, method := range methods {
		if method == "" || strings.ToUpper(method) != method {
			o.violations.add(o.pathOf("methods"), "%q is not an upper-case HTTP method", method)
		}
	}
	paths := parsePaths(o)
	semantics := parseCallSemantics(o)
	target := parseTarget(o)
	deadline := o.duration("deadline", defaultDeadline)
	if deadline > 0 && deadline < target.Latency() {
		o.violations.add(o.pathOf("deadline"), "%s is shorter than the target's latency %s", deadline, target.Latency())
	}
	options := []descriptor.ClassOption{
		descriptor.WithMethods(methods...),
		descriptor.WithPaths(paths...),
		descriptor.WithCallSemantics(semantics),
		descriptor.WithTarget(target),
		descriptor.WithDeadline(deadline),
	}
	if o.boolean("public", false) {
		options = append(options, descriptor.WithPublicAccess())
	}
	o.reportUnknown()
	return descriptor.NewClass(name, options...)
}

func parsePaths(o *object) []string {
	if !o.required("paths") {
		return nil
	}
	paths := o.stringList("paths")
	if len(paths) == 0 {
		o.violations.add(o.pathOf("paths"), "must list at least one path")
	}
	for _, path := range paths {
		if !strings.HasPrefix(path, "/") {
			o.violations.add(o.pathOf("paths"), "%q does not start with /", path)
		}
	}
	return paths
}

func parseCallSemantics(o *object) descriptor.CallSemantics {
	if !o.required("repeat") {
		return descriptor.AtMostOnce{}
	}
	idempotent := descriptor.CallSemanticsText(descriptor.Idempotent{})
	atMostOnce := descriptor.CallSemanticsText(descriptor.AtMostOnce{})
	if o.enum("repeat", atMostOnce, idempotent, atMostOnce) == idempotent {
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
	t.reportUnknown()
	return target
}

func checkName(violations *violationList, path, name string) {
	const maxLength = 63
	if name == "" || len(name) > maxLength {
		violations.add(path, "%q must have 1 to %d characters", name, maxLength)
		return
	}
	isKebabCase := strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
	if !isKebabCase || name[0] == '-' || name[len(name)-1] == '-' {
		violations.add(path, "%q is not in kebab case (a-z, 0-9, -)", name)
	}
}

// checkOverlap reports classes that match the same method and path, since a
// request must belong to exactly one class.
func checkOverlap(violations *violationList, services []descriptor.Service) {
	type requestMatch struct{ method, path string }
	claimedBy := map[requestMatch]string{}
	for _, s := range services {
		for _, c := range s.Classes() {
			class := "services." + string(s.Name()) + ".classes." + string(c.Name())
			methods := c.Methods()
			if len(methods) == 0 {
				methods = []string{""}
			}
			for _, method := range methods {
				for _, path := range slices.Compact(slices.Sorted(slices.Values(c.Paths()))) {
					key := requestMatch{method, path}
					if other, duplicate := claimedBy[key]; duplicate {
						violations.add(class, "matches %s %s, which %s already matches", method, path, other)
						continue
					}
					claimedBy[key] = class
				}
			}
		}
	}
}
