package inspector_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"burdocklane/descriptor"
	"burdocklane/inspector"
	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/previewer"
	"burdocklane/publisher"
	"burdocklane/registrar"

	qt "github.com/frankban/quicktest"
)

func newWhereHandler(c *qt.C) http.HandlerFunc {
	locality := registrar.NewLocality("r", "z")
	self := registrar.NewInstance("i", "", "", locality, false)
	p := publisher.New(self, publisher.WithPoolOptions(limiter.WithPolicy(picker.ReportedLoad{})))
	class := descriptor.NewClass("c", descriptor.WithPaths("/a"), descriptor.WithMethods("GET"), descriptor.WithDeadline(5*time.Second),
		descriptor.WithTarget(descriptor.NewTarget(time.Second, 0.9)))
	tenant := descriptor.NewTenant("t", descriptor.WithKeys(descriptor.DigestKey("secret")), descriptor.WithRateLimit(descriptor.NewRateLimit(5, 2)))
	d := descriptor.NewDeployment("d", descriptor.MeasurementBudget{}, []descriptor.Service{descriptor.NewService("s", []descriptor.Class{class}, nil)}).
		WithTenants([]descriptor.Tenant{tenant})
	c.Assert(p.PublishDeployment(d.WithRevision(4, descriptor.Change{}), "test"), qt.IsNil)
	workers := []registrar.Worker{
		registrar.NewWorker("w", "s", "", locality, 3, false),
		registrar.NewWorker("v", "s", "", locality, 3, false).AsEvacuated(),
	}
	p.PublishList(registrar.NewList(1, workers, []registrar.Instance{self}))
	return inspector.WhereHandler(previewer.New(self, p))
}

func getWhere(c *qt.C, query string) (int, string) {
	response := httptest.NewRecorder()
	newWhereHandler(c)(response, httptest.NewRequest(http.MethodGet, inspector.WherePath+"?"+query, http.NoBody))
	return response.Code, response.Body.String()
}

// Guards against input that is taken wrongly, and against errors that repeat a key.
func TestWhereQuery(t *testing.T) {
	tests := []struct {
		name, query string
		status      int
		want        string
	}{
		{"no method", "path=/a", 400, "method: is missing"},
		{"no path", "method=GET", 400, "path: does not begin with /"},
		{"twice", "method=GET&path=/a&path=/b", 400, "path: is given more than once"},
		{"unknown field", "method=GET&path=/a&secret=1", 400, "query: has an unknown field"},
		{"unreadable", "method=%zz", 400, "query: cannot be read"},
		{"too long", "method=GET&path=/" + strings.Repeat("a", 5000), 400, "query: is too long"},
		{"timeout", "method=GET&path=/a&timeout=secret", 400, "timeout: is not a time"},
		{"endless timeout", "method=GET&path=/a&timeout=2h", 400, "timeout: is not a time"},
		{"a key as tenant", "method=GET&path=/a&tenant=secret", 400, "names no such tenant"},
		{"a key in the path", "method=GET&path=/a%3Fkey=secret&tenant=t", 200, `"decision": "send"`},
		{"no key", "method=GET&path=/a", 200, `"reason": "key-missing"`},
		{"other method", "method=PUT&path=/a&tenant=t", 200, `"reason": "no-route"`},
		{"evacuated", "method=GET&path=/a&tenant=t", 200, `"excluded": "evacuated"`},
		{"timeout of the caller", "method=GET&path=/a&tenant=t&timeout=300ms", 200, `"timeout-ms": 300`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			status, body := getWhere(c, test.query)
			c.Assert(status, qt.Equals, test.status, qt.Commentf("%s", body))
			c.Assert(body, qt.Contains, test.want)
			c.Assert(body, qt.Not(qt.Contains), "secret")
		})
	}
}

func TestWhereTable(t *testing.T) {
	tests := []struct {
		name, query string
		want        []string
	}{
		{"sent", "method=GET&path=/a&tenant=t", []string{
			"instance    i\n", "route       any host, paths /a\n", "service     s (of s 100%)\n", "rate limit  5/s, burst 2, left unknown\n",
			"decision    send to w\n", "\nv       r       z     excluded (evacuated)  unusable",
		}},
		{"refused", "method=GET&path=/a", []string{"decision  refuse: key-missing\n"}},
		{"unmatched", "method=GET&path=/b", []string{"decision  refuse: no-route\n"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, body := getWhere(c, test.query)
			var table bytes.Buffer
			c.Assert(inspector.WriteWhereTable(&table, []byte(body)), qt.IsNil)
			for _, want := range test.want {
				c.Check(table.String(), qt.Contains, want)
			}
		})
	}
}
