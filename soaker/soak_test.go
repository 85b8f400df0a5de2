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
	"strconv"
	"sync"
	"testing"
	"time"

	"burdocklane/platform/imitator"
	"burdocklane/sleeper"

	qt "github.com/frankban/quicktest"
)

// Variables of the environment for a run by hand, in place of the seeds of CI.
const (
	variableSeed   = "SOAK_SEED"   // The first seed.
	variableSeeds  = "SOAK_SEEDS"  // How many seeds are run.
	variableTime   = "SOAK_TIME"   // How long each is run.
	variableTiming = "SOAK_TIMING" // Whether bounds of time are checked too.
	variableFleet  = "SOAK_FLEET"  // How many instances there are; four if it is not set.
)

// instances returns how many instances a run has.
func instances(c *qt.C) int {
	count, err := strconv.Atoi(cmp.Or(os.Getenv(variableFleet), strconv.Itoa(len(zones))))
	c.Assert(err, qt.IsNil)
	return count
}

// timing tells whether bounds of time are checked.
var timing = os.Getenv(variableTiming) != ""

// byHand returns the seeds and the length of a run by hand, and false if there is
// to be none.
func byHand(c *qt.C) (seeds []uint64, length time.Duration, ok bool) {
	if os.Getenv(variableSeeds) == "" {
		return nil, 0, false
	}
	count, err := strconv.ParseUint(os.Getenv(variableSeeds), 10, 64)
	c.Assert(err, qt.IsNil)
	first, err := strconv.ParseUint(cmp.Or(os.Getenv(variableSeed), "1"), 10, 64)
	c.Assert(err, qt.IsNil)
	length, err = time.ParseDuration(cmp.Or(os.Getenv(variableTime), "10s"))
	c.Assert(err, qt.IsNil)
	for n := range count {
		seeds = append(seeds, first+n)
	}
	return seeds, length, true
}

// seedsOfCI are run in CI: some, and each that ever failed, with the cause.
var seedsOfCI = []struct {
	seed  uint64
	cause string
}{
	{1, "none"},
	{13, "a signal to reload ended a process that had not taken up signals yet"},
	{31, "so did a signal to stop, without a word in the log"},
	{37, "as 31"},
	{40, "as 31"},
}

const (
	timeInCI = 5 * time.Second
	lanes    = 3
	// calmTime is how long everything is well at the end.
	calmTime = 6 * time.Second
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
	seeds, length, ok := byHand(c)
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soak(t, binary, seed, length) })
	}
	if ok {
		return
	}
	for _, s := range seedsOfCI {
		t.Run(fmt.Sprintf("seed-%d", s.seed), func(t *testing.T) {
			t.Parallel()
			soak(t, binary, s.seed, timeInCI)
		})
	}
}

// soak plays faults in an order drawn from the seed, in several lanes at once.
func soak(t *testing.T, binary string, seed uint64, length time.Duration) {
	f := newFleet(t, binary)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f.awaitServing(ctx, f.latest())
	cs := startCallers(ctx, f, seed)
	var watching sync.WaitGroup
	watching.Go(func() { f.watchRoutes(ctx) })
	disturbing, calm := context.WithTimeout(ctx, length)
	defer calm()
	var playing sync.WaitGroup
	for lane := range uint64(lanes) {
		playing.Go(func() { disturb(disturbing, f, rand.New(rand.NewPCG(seed, 1000+lane))) })
	}
	playing.Wait()
	f.configure()
	f.awaitServing(ctx, f.latest())
	stop()
	cs.running.Wait()
	watching.Wait()
	f.check(cs.outcomes)
}

// awaitServing waits until every instance serves a route of a configuration.
func (f *fleet) awaitServing(ctx context.Context, version int) {
	deadline := time.Now().Add(time.Minute)
	for _, l := range f.living() {
		for f.probe(ctx, l, version) != http.StatusOK {
			if time.Now().After(deadline) {
				f.c.Fatalf("configuration %d is not in force at %s", version, l.process.Name())
			}
			sleeper.Sleep(ctx, 50*time.Millisecond)
		}
	}
}

var probeClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTime}

// probe asks for a route of a configuration, and returns the status or 0.
func (f *fleet) probe(ctx context.Context, l *life, version int) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/safe/%d/probe", l.callers, version), http.NoBody)
	if err != nil {
		return 0
	}
	request.Host = "h.example"
	request.Header.Set("X-Request-Id", "probe")
	response, err := probeClient.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// watchRoutes checks that no process goes back to an older configuration.
func (f *fleet) watchRoutes(ctx context.Context) {
	for sleeper.Sleep(ctx, 100*time.Millisecond) {
		for _, l := range f.living() {
			latest := f.latest()
			switch status := f.probe(ctx, l, latest); {
			case status == http.StatusOK:
				l.served = max(l.served, latest)
			case status == http.StatusNotFound && latest <= l.served:
				f.c.Errorf("%s went back behind configuration %d", l.process.Name(), latest)
			}
		}
	}
}

// check compares what callers saw with what workers ran.
func (f *fleet) check(outcomes []outcome) {
	runs := map[string][]imitator.Run{}
	for _, m := range f.workers {
		for _, r := range m.worker.Runs() {
			runs[r.ID()] = append(runs[r.ID()], r)
			if timing && !m.leftAt.IsZero() && f.wasCalm(m.leftAt, r.At()) && r.At().Sub(m.leftAt) > drainTime {
				f.c.Errorf("%s ran at %s %s after it left", r.ID(), m.worker.ID(), r.At().Sub(m.leftAt))
			}
		}
	}
	good := 0
	for _, o := range outcomes {
		f.checkOne(o, len(runs[o.id]))
		if o.whole {
			good++
		}
	}
	f.c.Logf("%d calls, %d good", len(outcomes), good)
	if good < len(outcomes)/10 {
		f.c.Errorf("%d of %d calls were good", good, len(outcomes))
	}
}

func (f *fleet) checkOne(o outcome, ran int) {
	switch {
	case o.err == nil && o.status == http.StatusOK && !o.whole:
		f.c.Errorf("%s got an answer that is not its own, or not whole", o.id)
	case o.once && ran > 1:
		f.c.Errorf("%s must run at most once and ran %d times", o.id, ran)
	case o.once && o.err == nil && o.notRun() && ran > 0:
		f.c.Errorf("%s was refused as not run with %d and ran", o.id, o.status)
	case o.err == nil && o.status == http.StatusNotFound && o.route == 1: // In every configuration.
		f.c.Errorf("%s was told that route %d is not there", o.id, o.route)
	case o.err != nil && o.dialed && ran > 0 && !o.life.isDisturbed() && o.end.Sub(o.start) < callTime:
		f.c.Errorf("%s was cut by %s, which nothing disturbed: %v", o.id, o.life.process.Name(), o.err)
	}
}
