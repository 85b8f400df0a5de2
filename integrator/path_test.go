package integrator_test

import (
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"burdocklane/emulator"

	qt "github.com/frankban/quicktest"
)

func TestServesBothUsersEndToEnd(t *testing.T) {
	tests := []struct {
		user     string
		example  string
		services []string
		calls    [][2]string
		target   string
	}{
		{
			user: "authority", example: "../examples/authority.json", target: "120ms",
			services: []string{"design-registry", "batch-ledger", "certificate-office"},
			calls: [][2]string{
				{"GET", "/designs/1"},
				{"HEAD", "/designs/1"},
				{"GET", "/batches/7"},
				{"POST", "/batches"},
				{"POST", "/certificates"},
				{"GET", "/certificates/9"},
			},
		},
		{
			user: "association", example: "../examples/association.json", target: "60ms",
			services: []string{"pattern-catalogue", "blank-ledger", "order-register"},
			calls: [][2]string{
				{"GET", "/patterns/1"},
				{"POST", "/blanks"},
				{"GET", "/blanks/2"},
				{"POST", "/orders"},
				{"GET", "/orders/3"},
			},
		},
	}
	for _, test := range tests {
		t.Run(test.user, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c)
			for _, service := range test.services {
				f.addWorker(service+"-1", service, 3, emulator.NewBehaviour())
			}
			f.applyConfig(test.example)
			f.addInstance("instance-1")
			f.addInstance("instance-2")
			f.awaitReady()
			for _, instance := range f.instances {
				for n, request := range test.calls {
					id := instance.Name() + "-" + test.user + "-" + string(rune('a'+n))
					got, err := call(http.DefaultClient, instance.Callers(), request[0], request[1], id, 1000, "")
					c.Assert(err, qt.IsNil)
					c.Assert(got.status, qt.Equals, http.StatusOK)
					c.Assert(got.intact, qt.IsTrue)
					c.Assert(f.countRuns()[id], qt.Equals, 1)
				}
			}
			f.changeTarget(test.example, test.target)
			for _, instance := range f.instances {
				c.Assert(instance.Stop(), qt.IsNil)
			}
		})
	}
}

// changeTarget applies the example with another latency target and checks that
// both instances report it as active.
func (f *fleet) changeTarget(example, target string) {
	data, err := os.ReadFile(example)
	f.c.Assert(err, qt.IsNil)
	changed := f.writeFile("changed.json", strings.ReplaceAll(string(data), `"`+target+`"`, `"77ms"`))
	output := f.applyConfig(changed)
	revision := regexp.MustCompile(`revision (\d+)`).FindStringSubmatch(output)
	f.c.Assert(revision, qt.HasLen, 2)
	status, output := f.runCommand("config", "wait", revision[1], "--list", f.launcher.PlatformURL()+"/list")
	f.c.Assert(status, qt.Equals, 0, qt.Commentf("%s", output))
	for _, instance := range f.instances {
		f.c.Assert(output, qt.Contains, instance.Name()+"\tin force: revision "+revision[1])
	}
	_, output = f.runCommand("config", "get", "--store", f.launcher.PlatformURL())
	f.c.Assert(output, qt.Contains, `"latency": "77ms"`)
}
