package previewer_test

import (
	"strings"
	"testing"
	"time"

	"burdocklane/classifier"
	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/previewer"
	"burdocklane/publisher"
	"burdocklane/registrar"
	"burdocklane/scheduler"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

const key = "key-of-t-that-nothing-may-repeat"

// newPublisher returns a publisher with a split route at "/a", a public one at "/open" and
// one for region q at "/q", two tenants, and a worker of each service and region.
func newPublisher(c *qt.C) *publisher.Publisher {
	self := registrar.NewInstance("i", "", "", registrar.NewLocality("r", "z"), false)
	p := publisher.New(self, publisher.WithPoolOptions(limiter.WithPolicy(picker.ReportedLoad{})))
	class := func(name descriptor.ClassName, path string, opts ...descriptor.ClassOption) descriptor.Class {
		return descriptor.NewClass(name, append(opts, descriptor.WithPaths(path), descriptor.WithPriority(3),
			descriptor.WithDeadline(5*time.Second), descriptor.WithTarget(descriptor.NewTarget(time.Second, 0.9)))...)
	}
	split := []descriptor.WeightedService{descriptor.NewWeightedService("s", 3), descriptor.NewWeightedService("u", 1)}
	routes := []descriptor.Route{
		descriptor.NewRoute("h", class("a", "/a"), split...),
		descriptor.NewRoute("", class("open", "/open", descriptor.WithPublicAccess()), split[0]),
		descriptor.NewRoute("", class("q", "/q", descriptor.WithRegions(descriptor.NewRegions("q"))), split[0]),
	}
	tenants := []descriptor.Tenant{
		descriptor.NewTenant("t", descriptor.WithKeys(descriptor.DigestKey(key)), descriptor.WithTenantPriority(0),
			descriptor.WithRateLimit(descriptor.NewRateLimit(5, 2))),
		descriptor.NewTenant("only-r", descriptor.WithKeys(descriptor.DigestKey("k")), descriptor.WithTenantRegions(descriptor.NewRegions("r"))),
		descriptor.NewTenant("keyless"),
	}
	services := []descriptor.Service{descriptor.NewService("s", nil, nil), descriptor.NewService("u", nil, nil)}
	d := descriptor.NewDeployment("d", descriptor.MeasurementBudget{}, services).WithRoutes(routes).WithTenants(tenants)
	c.Assert(p.PublishDeployment(d.WithRevision(4, descriptor.Change{}), "test"), qt.IsNil)
	var workers []registrar.Worker
	for _, region := range []string{"r", "q"} {
		for _, service := range []descriptor.ServiceName{"s", "u"} {
			workers = append(workers, registrar.NewWorker(registrar.WorkerID(string(service)+"-"+region), service, "", registrar.NewLocality(region, "z"), 3, false))
		}
	}
	p.PublishList(registrar.NewList(1, workers, []registrar.Instance{self}))
	return p
}

func describe(answer previewer.Answer) string {
	switch a := answer.(type) {
	case previewer.Unmatched:
		return a.Reason()
	case previewer.Unauthorized:
		return string(a.Reason())
	case previewer.Routed:
		switch o := a.Preview().Outlook().(type) {
		case limiter.WouldSend:
			return "send " + string(o.Worker().ID())
		case limiter.WouldWait:
			return "wait"
		case limiter.Refused:
			return string(o.Reason())
		}
	}
	return ""
}

func TestPreview(t *testing.T) {
	tests := []struct {
		name       string
		host, path string
		tenant     descriptor.TenantName
		want       string
	}{
		{"no route", "h", "/none", "t", "no-route"},
		{"no tenant", "h", "/a/1", "", "key-missing"},
		{"a tenant without keys", "h", "/a/1", "keyless", "key-missing"},
		{"a tenant, with a port in the host", "h:80", "/a/1", "t", "send s-r"},
		{"public", "x", "/open", "", "send s-r"},
		{"a class of another region", "x", "/q", "t", "send s-q"},
		{"regions of class and tenant have none in common", "x", "/q", "only-r", "no-allowed-region"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := previewer.New(registrar.NewInstance("i", "", "", registrar.NewLocality("r", "z"), false), newPublisher(c))
			answer, err := p.Preview(previewer.NewQuestion(classifier.NewRequest("", "GET", test.path, classifier.WithHost(test.host)), test.tenant))
			c.Assert(err, qt.IsNil)
			c.Assert(describe(answer), qt.Equals, test.want)
		})
	}
}

// Guards against a key in a message after it was passed as the tenant by mistake.
func TestKeyInPlaceOfATenant(t *testing.T) {
	c := qt.New(t)
	p := previewer.New(registrar.NewInstance("i", "", "", registrar.Locality{}, false), newPublisher(c))
	_, err := p.Preview(previewer.NewQuestion(classifier.NewRequest("", "GET", "/open"), key))
	var unknown *previewer.TenantError
	c.Assert(errors.As(err, &unknown), qt.IsTrue)
	c.Assert(strings.Contains(err.Error(), key), qt.IsFalse)
}

// Guards against a preview that takes turns of a split: however many there are, each names
// the service of the next request.
func TestPreviewTakesNoTurn(t *testing.T) {
	c := qt.New(t)
	current := newPublisher(c)
	p := previewer.New(registrar.NewInstance("i", "", "", registrar.NewLocality("r", "z"), false), current)
	request := classifier.NewRequest("", "GET", "/a", classifier.WithHost("h"))
	counts := map[descriptor.ServiceName]int{}
	for range 40 {
		var routed previewer.Routed
		for range 3 {
			answer, err := p.Preview(previewer.NewQuestion(request, "t"))
			c.Assert(err, qt.IsNil)
			routed = answer.(previewer.Routed)
		}
		c.Assert(routed.Shares(), qt.HasLen, 2)
		c.Assert(routed.Shares()[0].Ratio(), qt.Equals, 0.75)
		call := current.Current().Index().Classify(request, time.Now()).(classifier.Matched).Call()
		c.Assert(routed.Call().Service().Name(), qt.Equals, call.Service().Name())
		counts[call.Service().Name()]++
	}
	c.Assert(counts, qt.HasLen, 2) // Otherwise the split has shown nothing.
}

func TestDecidersAndLimit(t *testing.T) {
	tests := []struct {
		name     string
		decider  scheduler.Decider
		standing picker.Standing // Of the worker of the other region.
	}{
		{"a scheduler of this region stays in it", scheduler.NewDecider("r", "i2"), picker.Elsewhere},
		{"one of another region", scheduler.NewDecider("q", "i3"), picker.Free},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := previewer.New(registrar.NewInstance("i", "", "", registrar.NewLocality("r", "z"), false), newPublisher(c),
				previewer.WithDeciders(func(*limiter.Pool, limiter.Request) []scheduler.Decider { return []scheduler.Decider{test.decider} }),
				previewer.WithLimitLeft(func(*descriptor.Tenant) (float64, bool) { return 1.5, true }))
			answer, err := p.Preview(previewer.NewQuestion(classifier.NewRequest("", "GET", "/a", classifier.WithHost("h")), "t"))
			c.Assert(err, qt.IsNil)
			routed := answer.(previewer.Routed)
			left, ok := routed.LimitLeft()
			c.Assert(ok && left == 1.5, qt.IsTrue)
			c.Assert(routed.Call().Priority(), qt.Equals, 0)
			c.Assert(routed.Deciders()[0].Instance(), qt.Equals, test.decider.Instance())
			c.Assert(routed.Preview().Candidates()[1].Ranked().Standing(), qt.Equals, test.standing)
		})
	}
}
