package integrator_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"burdocklane/emulator"
	"burdocklane/loader"

	qt "github.com/frankban/quicktest"
)

const (
	seed         = 20261204
	loadDuration = 3 * time.Second
	loadRate     = 150
)

// callTypes are calls to the service batch-ledger: one to a class that is not
// idempotent and one to a class that is.
var callTypes = []loader.CallType{
	loader.NewCallType(http.MethodPost, "/batches", time.Second, 1).WithSizes(100, 300),
	loader.NewCallType(http.MethodGet, "/batches/1", time.Second, 1).WithSizes(0, 3000),
}

// outcomeRecorder collects the outcomes that callers observed.
type outcomeRecorder struct {
	mutex    sync.Mutex
	outcomes []loader.Outcome
}

func (r *outcomeRecorder) add(o loader.Outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// load sends calls to all instances while the fault is injected.
func (f *fleet) load(prefix string, fault func()) *outcomeRecorder {
	var targets []string
	for _, i := range f.instances {
		targets = append(targets, i.Callers())
	}
	r := &outcomeRecorder{}
	client := loader.NewClient()
	defer client.CloseIdleConnections()
	var injecting sync.WaitGroup
	injecting.Go(fault)
	loader.Run(context.Background(), client, loader.NewPlan(targets, callTypes, loadRate, loadDuration,
		loader.WithSeed(seed), loader.WithObserver(r.add), loader.WithPrefix(prefix)))
	injecting.Wait()
	return r
}

// checkGuarantees checks the outcomes that callers observed against the workers'
// journals and returns the number of successful calls.
func (f *fleet) checkGuarantees(r *outcomeRecorder) (good int) {
	runs := f.countRuns()
	for _, o := range r.outcomes {
		comment := qt.Commentf("seed %d: %s %s: %s, status %d, ran %d times, error %v", seed, o.Method(), o.ID(), o.Kind(), o.Status(), runs[o.ID()], o.Err())
		f.c.Check(o.Kind(), qt.Not(qt.Equals), loader.Wrong, comment)
		if o.Method() == http.MethodPost {
			f.c.Check(runs[o.ID()] <= 1, qt.IsTrue, comment)
		}
		if o.Kind() == loader.NotRun {
			f.c.Check(runs[o.ID()], qt.Equals, 0, comment)
		}
		if o.Kind() == loader.Good {
			good++
		}
	}
	return good
}

func (f *fleet) start(workers int, behaviour emulator.Behaviour) {
	for n := range workers {
		f.addWorker("batch-ledger-"+strconv.Itoa(n), "batch-ledger", 3, behaviour)
	}
	f.applyConfig("../examples/authority.json")
	f.addInstance("instance-1")
	f.addInstance("instance-2")
	f.awaitReady()
}

func TestAtMostOnceAndNotRunHoldDuringFailures(t *testing.T) {
	tests := []struct {
		name      string
		behaviour emulator.Behaviour
		fault     func(f *fleet)
	}{
		{"workers are killed during calls", emulator.NewBehaviour(), func(f *fleet) {
			time.Sleep(loadDuration / 3)
			f.workers[0].Kill()
			time.Sleep(loadDuration / 3)
			f.workers[1].Kill()
		}},
		{"connections break after the calls ran", emulator.NewBehaviour(emulator.WithAbortRate(0.2)), func(*fleet) {}},
		{"a worker is suspended and resumed", emulator.NewBehaviour(), func(f *fleet) {
			time.Sleep(loadDuration / 3)
			f.workers[0].Suspend()
			time.Sleep(loadDuration / 3)
			f.workers[0].Resume()
		}},
		{"workers are overloaded and reject calls", emulator.NewBehaviour(emulator.WithServiceTime(80*time.Millisecond, 0.5), emulator.WithQueue(1, true)), func(f *fleet) {
			time.Sleep(loadDuration / 3)
			f.workers[0].Kill()
		}},
		{"an instance is killed", emulator.NewBehaviour(), func(f *fleet) {
			time.Sleep(loadDuration / 3)
			f.instances[0].Kill()
		}},
	}
	for n, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c)
			f.start(3, test.behaviour)
			r := f.load(fmt.Sprintf("failing-%d", n), func() { test.fault(f) })
			good := f.checkGuarantees(r)
			c.Assert(good > len(r.outcomes)/10, qt.IsTrue, qt.Commentf("%d good of %d", good, len(r.outcomes)))
		})
	}
}

func TestPlannedStopAbortsNoCalls(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *fleet)
	}{
		{"an instance stops while calls are in flight", func(f *fleet) {
			time.Sleep(loadDuration / 3)
			f.c.Check(f.instances[0].Stop(), qt.IsNil)
		}},
		{"a worker stops after it was registered as leaving", func(f *fleet) {
			time.Sleep(loadDuration / 3)
			f.markLeaving(0)
			time.Sleep(200 * time.Millisecond)
			f.c.Check(f.workers[0].Stop(), qt.IsNil)
		}},
	}
	for n, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c)
			// Two of the three workers can carry the load: otherwise calls could be
			// rejected for overload, which is no fault of the planned stop.
			f.start(3, emulator.NewBehaviour(emulator.WithServiceTime(15*time.Millisecond, 0.5)))
			stopped := f.instances[0].Callers()
			r := f.load(fmt.Sprintf("stop-%d", n), func() { test.fault(f) })
			f.checkGuarantees(r)
			for _, o := range r.outcomes {
				// A load balancer in front keeps callers from connecting to an
				// instance that has exited, so a refused connection is allowed. A
				// connection that was accepted must not be aborted.
				refused := o.Address() == stopped && o.Err() != nil && strings.Contains(o.Err().Error(), "refused")
				c.Check(o.Kind() == loader.Good || refused, qt.IsTrue, qt.Commentf("%s: %s %v, on a reused connection: %t", o.ID(), o.Kind(), o.Err(), o.Reused()))
			}
		})
	}
}

// markLeaving registers a worker as leaving.
func (f *fleet) markLeaving(n int) {
	m := f.workers[n].Member()
	f.c.Check(emulator.Register(context.Background(), f.launcher.PlatformURL(), leavingWorker(m), nil), qt.IsNil)
}

func TestConfigurationBecomesActiveOnAllInstancesAndNeverReverts(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *fleet)
		after func(f *fleet)
	}{
		{"the store goes down right after the change, and an instance starts", func(f *fleet) {
			f.setStoreFaults(`{"down": true}`)
			f.addThirdInstance()
		}, func(*fleet) {}},
		{"an instance is suspended during the change", func(f *fleet) {
			f.instances[0].Suspend()
		}, func(f *fleet) { f.instances[0].Resume() }},
		{"an instance is killed and another is started", func(f *fleet) {
			f.instances[0].Kill()
			f.instances = f.instances[1:]
			f.addInstance("instance-1b")
		}, func(*fleet) {}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c)
			f.start(1, emulator.NewBehaviour())
			f.awaitRevision(f.applyRevision("../examples/authority.json"))
			changed := f.writeFile("changed.json", replaceIn(c, "../examples/authority.json", `"200ms"`, `"210ms"`))
			if !strings.Contains(test.name, "down") {
				test.fault(f)
			}
			want := f.applyRevision(changed)
			if strings.Contains(test.name, "down") {
				test.fault(f)
			}
			test.after(f)
			f.awaitRevision(want)
			f.setStoreFaults(`{}`)
			f.awaitRevision(want)
		})
	}
}
