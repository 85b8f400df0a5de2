package integrator_test

import (
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"burdocklane/emulator"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

func TestExplainReportsRoutingDecisions(t *testing.T) {
	tests := []struct {
		name string
		path string
		want []string
	}{
		{"served", "/batches/1", []string{`"choice":"send","reason":"free-slot"`, `"choice":"pass","reason":"answered"`, `"class":"lookup"`, `"worker":"batch-ledger-`, `"candidates":"total=`}},
		{"refused", "/designs/1", []string{`"choice":"refuse","reason":"no-worker"`, `"service":"design-registry"`}},
	}
	c := qt.New(t)
	f := newFleet(c)
	f.start(2, emulator.NewBehaviour())
	instance := f.instances[0]
	for _, test := range tests {
		_, err := call(http.DefaultClient, instance.Callers(), "GET", test.path, test.name, 10, "")
		c.Assert(err, qt.IsNil)
		status, explained := f.runCommand("explain", test.name, "--admin", instance.Member().AdminAddress())
		c.Assert(status, qt.Equals, 0)
		for _, want := range test.want {
			c.Check(explained, qt.Contains, want)
		}
	}
	status, where := f.runCommand("where", "--address", instance.Member().AdminAddress(), "--path", "/batches/1", "--json")
	c.Assert(status, qt.Equals, 0)
	c.Check(where, qt.Contains, `"decision": "send"`)
	_, overview := f.runCommand("status", "--admin", instance.Member().AdminAddress())
	c.Check(overview, qt.Contains, `"learnt-from": "`)
	c.Assert(instance.Stop(), qt.IsNil)
	for _, test := range tests {
		status, logged := f.runCommand("explain", test.name, "--log", instance.LogPath())
		c.Assert(status, qt.Equals, 0)
		for _, want := range test.want {
			c.Check(logged, qt.Contains, want)
		}
	}
}

func TestSecondSignalExitsAtOnceAndLogsAbortedCalls(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	f.start(1, emulator.NewBehaviour(emulator.WithServiceTime(20*time.Second, 0)))
	instance := f.instances[0]
	go call(http.DefaultClient, instance.Callers(), "POST", "/batches", "cut", 0, "")
	for f.countRuns()["cut"] == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	instance.Signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	instance.Signal(syscall.SIGTERM)
	var exit *exec.ExitError
	c.Assert(errors.As(instance.Wait(), &exit), qt.IsTrue)
	c.Assert(exit.ExitCode(), qt.Equals, 128+int(syscall.SIGTERM))
	log, err := os.ReadFile(instance.LogPath())
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Contains(string(log), `"calls-cut":1`), qt.IsTrue)
}
