package integrator_test

import (
	"context"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"burdocklane/descriptor"
	"burdocklane/emulator"
	"burdocklane/inspector"
	"burdocklane/registrar"

	qt "github.com/frankban/quicktest"
)

// activationTarget is the required time from the acceptance of a configuration
// until it is active on all instances.
const activationTarget = 13 * time.Second

// applyRevision applies a configuration file and returns the revision that the
// store accepted it as.
func (f *fleet) applyRevision(file string) descriptor.Revision {
	match := regexp.MustCompile(`revision (\d+)`).FindStringSubmatch(f.applyConfig(file))
	f.c.Assert(match, qt.HasLen, 2)
	n, err := strconv.ParseInt(match[1], 10, 64)
	f.c.Assert(err, qt.IsNil)
	return descriptor.Revision(n)
}

// awaitRevision waits until the revision is active on each instance. It fails if
// that takes longer than the target or if an instance goes back to an older
// revision.
func (f *fleet) awaitRevision(want descriptor.Revision) {
	ctx, cancel := context.WithTimeout(context.Background(), activationTarget)
	defer cancel()
	for _, i := range f.instances {
		last := descriptor.Revision(0)
		for last < want {
			revision, err := inspector.FetchRevision(ctx, i.Member().AdminAddress())
			f.c.Assert(ctx.Err(), qt.IsNil, qt.Commentf("%s has revision %d active, not %d", i.Name(), last, want))
			if err == nil {
				f.c.Assert(revision >= last, qt.IsTrue, qt.Commentf("%s went from revision %d to %d", i.Name(), last, revision))
				last = revision
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// setStoreFaults sets the faults that the platform emulator injects into its store.
func (f *fleet) setStoreFaults(faults string) {
	f.c.Assert(emulator.SendControlRequest(context.Background(), http.MethodPut, f.launcher.PlatformURL()+"/faults", []byte(faults)), qt.IsNil)
}

// addThirdInstance starts a third instance, which discovers its peers from the
// platform's list.
func (f *fleet) addThirdInstance() {
	f.addInstance("instance-3")
	f.awaitReady()
}

func leavingWorker(m registrar.Worker) []registrar.Worker {
	return []registrar.Worker{registrar.NewWorker(m.ID(), m.Service(), m.Address(), m.Locality(), m.Slots(), true)}
}

func replaceIn(c *qt.C, file, from, to string) string {
	data, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Contains, from)
	return strings.ReplaceAll(string(data), from, to)
}
