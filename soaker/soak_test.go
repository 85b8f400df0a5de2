package soaker_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"burdocklane/platform/imitator"
	"burdocklane/sleeper"

	qt "github.com/frankban/quicktest"
)

// Environment variables for a manual run, which replaces the seeds of CI.
const (
	envSeed            = "SOAK_SEED"   // The first seed.
	envSeeds           = "SOAK_SEEDS"  // The number of seeds; unset means the seeds of CI.
	envDuration        = "SOAK_TIME"   // The duration of each seed's run.
	envCheckTimeLimits = "SOAK_TIMING" // Whether time limits are checked too.
	envInstances       = "SOAK_FLEET"  // The number of instances; four if unset.
	envFaults          = "SOAK_FAULTS" // The faults that are injected, separated by commas; all if unset.
)

// instanceCount returns the number of instances of a run.
func instanceCount(c *qt.C) int {
	count, err := strconv.Atoi(cmp.Or(os.Getenv(envInstances), strconv.Itoa(len(zones))))
	c.Assert(err, qt.IsNil)
	return count
}

// checkTimeLimits reports whether time limits are checked.
var checkTimeLimits = os.Getenv(envCheckTimeLimits) != ""

// selectedFaults returns the faults that are injected.
func selectedFaults(c *qt.C) []fault {
	names := os.Getenv(envFaults)
	if names == "" {
		return allFaults()
	}
	selected := slices.DeleteFunc(allFaults(), func(f fault) bool { return !slices.Contains(strings.Split(names, ","), f.name) })
	c.Assert(selected, qt.Not(qt.HasLen), 0)
	return selected
}

// manualRun returns the seeds and the duration of a manual run, and false if none
// was requested.
func manualRun(c *qt.C) (seeds []uint64, duration time.Duration, ok bool) {
	if os.Getenv(envSeeds) == "" {
		return nil, 0, false
	}
	count, err := strconv.ParseUint(os.Getenv(envSeeds), 10, 64)
	c.Assert(err, qt.IsNil)
	first, err := strconv.ParseUint(cmp.Or(os.Getenv(envSeed), "1"), 10, 64)
	c.Assert(err, qt.IsNil)
	duration, err = time.ParseDuration(cmp.Or(os.Getenv(envDuration), "10s"))
	c.Assert(err, qt.IsNil)
	for n := range count {
		seeds = append(seeds, first+n)
	}
	return seeds, duration, true
}

// ciSeeds are the seeds that CI runs: a plain one, and each seed that ever
// failed, with the cause of its failure.
var ciSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "none"},
	{13, "SIGHUP killed a process that had not installed its signal handlers yet"},
	{31, "so did SIGTERM, and nothing was logged"},
	{37, "same as 31"},
	{40, "same as 31"},
	{115, "the store went back to an older copy, whose revisions passed for old ones"},
	{518, "a call to a process that had ended reached the next one, which knew an older copy only"},
}

const (
	ciDuration    = 5 * time.Second
	injectorCount = 3
	// undisturbedTime is how long no fault is injected at the end of a run.
	undisturbedTime = 6 * time.Second
)

func build(c *qt.C) string {
	binary := filepath.Join(c.TempDir(), "instance")
	out, err := exec.Command("go", "build", "-o", binary, "burdocklane/cmd/burdocklane-instance").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

func TestSoak(t *testing.T) {
	c := qt.New(t)
	binary := build(c) // The directory is removed after the parallel runs.
	seeds, duration, manual := manualRun(c)
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soak(t, binary, seed, duration) })
	}
	if manual {
		return
	}
	for _, s := range ciSeeds {
		t.Run(fmt.Sprintf("seed-%d", s.seed), func(t *testing.T) {
			t.Parallel()
			soak(t, binary, s.seed, ciDuration)
		})
	}
}

// soak injects faults in an order that the seed determines, from several concurrent
// injectors.
func soak(t *testing.T, binary string, seed uint64, duration time.Duration) {
	f := newFleet(t, binary)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f.awaitVersion(ctx, f.latestVersion())
	cs := startCallers(ctx, f, seed)
	var watchers sync.WaitGroup
	watchers.Go(func() { f.watchRoutes(ctx) })
	faultCtx, stopFaults := context.WithTimeout(ctx, duration)
	defer stopFaults()
	var injectors sync.WaitGroup
	for injector := range uint64(injectorCount) {
		injectors.Go(func() { injectFaults(faultCtx, f, rand.New(rand.NewPCG(seed, 1000+injector))) })
	}
	injectors.Wait()
	f.putNextConfiguration()
	f.awaitVersion(ctx, f.latestVersion())
	for _, i := range f.currentIncarnations() {
		f.checkAllWithdrawnKeys(ctx, i, f.latestVersion())
	}
	stop()
	cs.running.Wait()
	watchers.Wait()
	f.checkOutcomes(cs.outcomes)
	f.checkLeavers(cs.outcomes)
	f.checkActivations()
}

// awaitVersion waits until every instance serves the route that this version of the
// configuration added.
func (f *fleet) awaitVersion(ctx context.Context, version int) {
	deadline := time.Now().Add(time.Minute)
	for _, i := range f.currentIncarnations() {
		for f.probe(ctx, i, version) != http.StatusOK {
			if time.Now().After(deadline) {
				f.c.Fatalf("configuration %d is not active on %s", version, i.process.Name())
			}
			sleeper.Sleep(ctx, 50*time.Millisecond)
		}
	}
}

var probeClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}

// probe calls the route that this version of the configuration added, and returns
// the status, or 0 without a response.
func (f *fleet) probe(ctx context.Context, i *incarnation, version int) int {
	return f.probeWithKey(ctx, i, version, lastingKey)
}

// probeWithKey is like probe, with the API key.
func (f *fleet) probeWithKey(ctx context.Context, i *incarnation, version int, key string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/safe/%d/probe", i.callers, version), http.NoBody)
	if err != nil {
		return 0
	}
	request.Host = "h.example"
	request.Header.Set("X-Request-Id", "probe")
	setKey(request, key)
	response, err := probeClient.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// watchRoutes checks that no process reverts to an older configuration.
func (f *fleet) watchRoutes(ctx context.Context) {
	for sleeper.Sleep(ctx, 100*time.Millisecond) {
		for _, i := range f.currentIncarnations() {
			if checkTimeLimits {
				f.observeActivation(ctx, i)
			}
			latest := f.latestVersion()
			switch status := f.probe(ctx, i, latest); {
			case status == http.StatusOK:
				i.latestServed = max(i.latestServed, latest)
			case i.replaced.Load(): // The next process of the instance may have answered.
			case status == http.StatusNotFound && latest <= i.latestServed:
				f.c.Errorf("%s reverted to a configuration older than %d", i.process.Name(), latest)
			}
			f.checkWithdrawnKey(ctx, i, i.latestServed)
		}
	}
}

// checkOutcomes compares the outcomes that callers observed with the calls that
// workers ran.
func (f *fleet) checkOutcomes(outcomes []outcome) {
	runs := map[string][]imitator.Run{}
	for _, m := range f.workers {
		for _, r := range m.worker.Runs() {
			runs[r.ID()] = append(runs[r.ID()], r)
			f.checkTenant(m.worker.ID(), r)
			if checkTimeLimits && !m.drainingSince.IsZero() && f.wasUndisturbed(m.drainingSince, r.At()) && r.At().Sub(m.drainingSince) > drainTimeout {
				f.c.Errorf("%s ran at %s %s after the worker was listed as draining", r.ID(), m.worker.ID(), r.At().Sub(m.drainingSince))
			}
		}
	}
	good := 0
	for _, o := range outcomes {
		f.checkOutcome(o, len(runs[o.id]))
		if o.intact {
			good++
		}
	}
	f.c.Logf("%d calls, %d good", len(outcomes), good)
	if good < len(outcomes)/10 {
		f.c.Errorf("only %d of %d calls were good", good, len(outcomes))
	}
}

func (f *fleet) checkOutcome(o outcome, runs int) {
	switch {
	case o.err == nil && o.status == http.StatusOK && !o.intact:
		f.c.Errorf("%s got an answer that is not its own, or not whole", o.id)
	case o.atMostOnce && runs > 1:
		f.c.Errorf("%s must run at most once and ran %d times", o.id, runs)
	case o.atMostOnce && o.err == nil && o.isNotRun() && runs > 0:
		f.c.Errorf("%s was rejected as not run with status %d but ran", o.id, o.status)
	case o.err == nil && o.status == http.StatusNotFound && o.route == 1: // Every configuration has it.
		f.c.Errorf("%s got status 404 for route %d, which every configuration has", o.id, o.route)
	case o.err == nil && o.status == http.StatusUnauthorized: // Every configuration has the key.
		f.c.Errorf("%s got status 401 for a key that every configuration has", o.id)
	case o.err != nil && o.connected && runs > 0 && !o.incarnation.isDisturbed() && o.end.Sub(o.start) < callTimeout:
		f.c.Errorf("%s was aborted by %s, which was neither killed nor suspended: %v", o.id, o.incarnation.process.Name(), o.err)
	}
}
