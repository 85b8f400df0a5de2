package dispatcher_test

import (
	"bytes"
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"burdocklane/asserter"
	"burdocklane/authenticator"
	"burdocklane/classifier"
	"burdocklane/descriptor"
	"burdocklane/dispatcher"
	"burdocklane/publisher"
	"burdocklane/recorder"
	"burdocklane/registrar"
	"burdocklane/retrier"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// tenantFixture is a Dispatcher with one worker, a class at "/a" and a public one at
// "/open", whose decisions are logged.
type tenantFixture struct {
	dispatcher *dispatcher.Dispatcher
	publisher  *publisher.Publisher
	recorder   *recorder.Recorder
	log        *bytes.Buffer
}

func newTenantFixture(c *qt.C) *tenantFixture {
	locality := registrar.NewLocality("r", "z")
	f := &tenantFixture{publisher: publisher.New(registrar.NewInstance("i", "", "", locality, false)), log: &bytes.Buffer{}}
	f.publisher.PublishList(registrar.NewList(1, []registrar.Worker{registrar.NewWorker("w", "s", "", locality, 8, false)}, nil))
	a := asserter.New(zerolog.Nop())
	f.recorder = recorder.New(zerolog.New(f.log))
	f.dispatcher = dispatcher.New(f.publisher, f.recorder, a)
	c.Cleanup(func() {
		f.dispatcher.Close()
		f.recorder.Close()
		c.Check(a.Violations(), qt.Equals, int64(0))
		c.Check(f.dispatcher.InFlight(), qt.Equals, int64(0))
	})
	return f
}

// publish makes a configuration active whose tenants hold the keys of the same position.
func (f *tenantFixture) publish(c *qt.C, revision descriptor.Revision, tenants ...descriptor.Tenant) {
	class := func(name descriptor.ClassName, opts ...descriptor.ClassOption) descriptor.Class {
		return descriptor.NewClass(name, append(opts, descriptor.WithDeadline(10*time.Second), descriptor.WithTarget(descriptor.NewTarget(time.Second, 0.9)))...)
	}
	service := descriptor.NewService("s", []descriptor.Class{
		class("c", descriptor.WithPaths("/a"), descriptor.WithPriority(3)),
		class("open", descriptor.WithPaths("/open"), descriptor.WithPublicAccess()),
	}, nil)
	d := descriptor.NewDeployment("d", descriptor.MeasurementBudget{}, []descriptor.Service{service}).WithTenants(tenants)
	c.Assert(f.publisher.PublishDeployment(d.WithRevision(revision, descriptor.Change{}), "test"), qt.IsNil)
}

// dispatch dispatches a request and returns its result, and the call that the worker gets
// or nil.
func (f *tenantFixture) dispatch(path string, credential authenticator.Credential) (string, *classifier.Call) {
	var sent *classifier.Call
	request := classifier.NewRequest("id-7", "GET", path).WithCredential(credential)
	result := f.dispatcher.Dispatch(context.Background(), request, true,
		func(_ context.Context, _ int, call *classifier.Call, _ registrar.Worker) retrier.Result {
			sent = call
			return retrier.NewAnswered(200)
		})
	switch v := result.(type) {
	case dispatcher.Answered:
		v.Finish(true)
		return "answered", sent
	case dispatcher.Unauthorized:
		return "unauthorized", sent
	case dispatcher.Unmatched:
		return "unmatched", sent
	case dispatcher.NotReady:
		return "not ready", sent
	}
	return "other", sent
}

func keyed(name descriptor.TenantName, key string, opts ...descriptor.TenantOption) descriptor.Tenant {
	return descriptor.NewTenant(name, append(opts, descriptor.WithKeys(descriptor.DigestKey(key)))...)
}

// Guards against calls that run without a key in force, and against a 401 where a 404 or a
// 503 is due. A 401 is logged with its reason and the configuration, without the key.
func TestCallsNeedAKey(t *testing.T) {
	key := authenticator.NewAPIKey
	tests := []struct {
		name       string
		tenants    []descriptor.Tenant
		path       string
		credential authenticator.Credential
		want       string
		tenant     descriptor.TenantName
		priority   int
		hides      bool
		reason     string
	}{
		{"a key", []descriptor.Tenant{keyed("acme", "secret-1")}, "/a", key("secret-1"), "answered", "acme", 3, true, ""},
		{"a key of a tenant with a priority", []descriptor.Tenant{keyed("acme", "secret-1", descriptor.WithTenantPriority(1))}, "/a", key("secret-1"), "answered", "acme", 1, true, ""},
		{"no key", []descriptor.Tenant{keyed("acme", "secret-1")}, "/a", authenticator.Credential{}, "unauthorized", "", 0, false, "key-missing"},
		{"unknown key", []descriptor.Tenant{keyed("acme", "secret-1")}, "/a", key("secret-2"), "unauthorized", "", 0, false, "key-unknown"},
		{"malformed", []descriptor.Tenant{keyed("acme", "secret-1")}, "/a", authenticator.NewMalformed(), "unauthorized", "", 0, false, "key-malformed"},
		{"no class for the path", []descriptor.Tenant{keyed("acme", "secret-1")}, "/b", key("secret-2"), "unmatched", "", 0, false, ""},
		{"public class, a key", []descriptor.Tenant{keyed("acme", "secret-1")}, "/open", key("secret-1"), "answered", "", 0, true, ""},
		{"public class, no key", []descriptor.Tenant{keyed("acme", "secret-1")}, "/open", authenticator.Credential{}, "answered", "", 0, true, ""},
		{"no tenants", nil, "/a", key("secret-1"), "answered", "", 3, false, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newTenantFixture(c)
			f.publish(c, 41, test.tenants...)
			got, sent := f.dispatch(test.path, test.credential)
			c.Assert(got, qt.Equals, test.want)
			c.Assert(sent != nil, qt.Equals, test.want == "answered")
			if sent != nil {
				c.Assert(sent.HidesCredential(), qt.Equals, test.hides)
				c.Assert(sent.Priority(), qt.Equals, test.priority)
				c.Assert(sent.Tenant() != nil, qt.Equals, test.tenant != "")
			}
			if test.tenant != "" {
				c.Assert(sent.Tenant().Name(), qt.Equals, test.tenant)
			}
			f.recorder.Close()
			if test.reason != "" {
				c.Assert(f.log.String(), qt.Matches, `(?s).*"request-id":"id-7".*"choice":"refuse","reason":"`+test.reason+`".*"revision":41,"active-ms":\d+.*`)
			}
			c.Assert(strings.Contains(f.log.String(), "secret"), qt.IsFalse)
		})
	}
}

// Guards against a 401, which callers don't repeat, before the instance knows a
// configuration.
func TestNoConfigurationIsNoRejection(t *testing.T) {
	tests := []struct {
		name       string
		credential authenticator.Credential
	}{
		{"no key", authenticator.Credential{}},
		{"a key", authenticator.NewAPIKey("secret-1")},
		{"malformed", authenticator.NewMalformed()},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got, _ := newTenantFixture(c).dispatch("/a", test.credential)
			c.Assert(got, qt.Equals, "not ready")
		})
	}
}

// Guards against a withdrawn key that is in use again, by an older configuration that
// arrives late or a new one that names the tenant under another key.
func TestWithdrawnKeys(t *testing.T) {
	acme := func(key string) descriptor.Tenant { return keyed("acme", key) }
	type step struct {
		revision descriptor.Revision
		tenants  []descriptor.Tenant
	}
	tests := []struct {
		name  string
		steps []step
		want  string // For a request with "secret-1" after the steps.
	}{
		{"in force", []step{{1, []descriptor.Tenant{acme("secret-1")}}}, "answered"},
		{"replaced", []step{{1, []descriptor.Tenant{acme("secret-1")}}, {2, []descriptor.Tenant{acme("secret-2")}}}, "unauthorized"},
		{"its tenant withdrawn", []step{{1, []descriptor.Tenant{acme("secret-1")}}, {2, []descriptor.Tenant{keyed("beta", "x")}}}, "unauthorized"},
		{"an older configuration behind", []step{{2, []descriptor.Tenant{acme("secret-2")}}, {1, []descriptor.Tenant{acme("secret-1")}}}, "unauthorized"},
		{"the same configuration again", []step{{1, []descriptor.Tenant{acme("secret-1")}}, {2, []descriptor.Tenant{acme("secret-2")}}, {2, []descriptor.Tenant{acme("secret-1")}}}, "unauthorized"},
		{"handed to another tenant", []step{{1, []descriptor.Tenant{acme("secret-1")}}, {2, []descriptor.Tenant{keyed("beta", "secret-1")}}}, "answered"},
		{"given back", []step{{1, []descriptor.Tenant{acme("secret-1")}}, {2, []descriptor.Tenant{acme("x")}}, {3, []descriptor.Tenant{acme("secret-1")}}}, "answered"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newTenantFixture(c)
			for _, s := range test.steps {
				if s.revision > f.publisher.Current().Deployment().Revision() {
					f.publish(c, s.revision, s.tenants...)
					continue
				}
				d := descriptor.NewDeployment("d", descriptor.MeasurementBudget{}, nil).WithTenants(s.tenants)
				c.Assert(f.publisher.PublishDeployment(d.WithRevision(s.revision, descriptor.Change{}), "test"), qt.IsNotNil)
			}
			got, _ := f.dispatch("/a", authenticator.NewAPIKey("secret-1"))
			c.Assert(got, qt.Equals, test.want)
		})
	}
}

// Guards against a call in flight that changes its tenant, or is cut, when a configuration
// withdraws its key: it ends as it began.
func TestCallInFlightOutlastsItsKey(t *testing.T) {
	c := qt.New(t)
	f := newTenantFixture(c)
	f.publish(c, 1, keyed("acme", "secret-1"))
	request := classifier.NewRequest("id", "GET", "/a").WithCredential(authenticator.NewAPIKey("secret-1"))
	var tenant descriptor.TenantName
	result := f.dispatcher.Dispatch(context.Background(), request, true,
		func(_ context.Context, n int, call *classifier.Call, _ registrar.Worker) retrier.Result {
			if n == 0 {
				f.publish(c, 2, keyed("beta", "x"))
				return retrier.NewUnsent(nil) // So that a second attempt is made.
			}
			tenant = call.Tenant().Name()
			return retrier.NewAnswered(200)
		})
	answered, ok := result.(dispatcher.Answered)
	c.Assert(ok, qt.IsTrue)
	answered.Finish(true)
	c.Assert(tenant, qt.Equals, descriptor.TenantName("acme"))
	got, _ := f.dispatch("/a", authenticator.NewAPIKey("secret-1"))
	c.Assert(got, qt.Equals, "unauthorized")
}

// Guards against metrics that grow with the tenants of a configuration or with what
// callers send.
func TestLabelsOfTenantsAreBounded(t *testing.T) {
	c := qt.New(t)
	f := newTenantFixture(c)
	var tenants []descriptor.Tenant
	for n := range 300 {
		tenants = append(tenants, keyed(descriptor.TenantName("tenant \"\\ "+strconv.Itoa(n)), "secret-"+strconv.Itoa(n)))
	}
	f.publish(c, 1, tenants...)
	for n := range 300 {
		f.dispatch("/a", authenticator.NewAPIKey("secret-"+strconv.Itoa(n)))
		f.dispatch("/a", authenticator.NewAPIKey("unknown-"+strconv.Itoa(n)))
	}
	var text bytes.Buffer
	metrics.WritePrometheus(&text, false)
	c.Assert(strings.Count(text.String(), `burdocklane_tenant_requests_total{tenant="tenant`), qt.Equals, 100)
	c.Assert(text.String(), qt.Contains, `burdocklane_tenant_requests_total{tenant="other"} 200`)
	c.Assert(strings.Count(text.String(), "burdocklane_unauthorized_total{") <= 3, qt.IsTrue)
	c.Assert(strings.Contains(text.String(), "secret"), qt.IsFalse)
	c.Assert(strings.Contains(text.String(), "unknown-"), qt.IsFalse)
}
