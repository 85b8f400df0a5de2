package bencher

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"burdocklane/emulator"
	"burdocklane/inspector"
	"burdocklane/loader"
	"burdocklane/sleeper"
)

// watchRevisions polls the active revision of each instance, which must never
// decrease.
func (r *soakRun) watchRevisions(ctx context.Context) {
	for sleeper.Sleep(ctx, revisionPollInterval) {
		r.mutex.Lock()
		instances := append([]*soakInstance(nil), r.instances...)
		r.mutex.Unlock()
		for _, i := range instances {
			r.checkRevision(ctx, i)
		}
	}
}

// checkRevision reads an instance's active revision, records a violation if it
// went back, and reports whether the last accepted revision is active.
func (r *soakRun) checkRevision(ctx context.Context, i *soakInstance) bool {
	ctx, cancel := context.WithTimeout(ctx, revisionPollInterval)
	defer cancel()
	revision, err := inspector.FetchRevision(ctx, i.Member().AdminAddress())
	if err != nil {
		return false
	}
	if revision < i.lastRevision {
		r.addViolation("%s went from revision %d back to %d", i.Name(), i.lastRevision, revision)
	}
	i.lastRevision = revision
	return revision >= r.lastAccepted
}

// checkFinalState checks, after the load, that the last accepted configuration is
// active on all instances, that all of them stop without an error (a failed
// invariant ends an instance), and that the callers' records agree with the
// workers' journals.
func (r *soakRun) checkFinalState(ctx context.Context) {
	deadline := time.Now().Add(activationTarget)
	for _, i := range r.instances {
		for !r.checkRevision(ctx, i) {
			if time.Now().After(deadline) {
				r.addViolation("revision %d is not active on %s after %s", r.lastAccepted, i.Name(), activationTarget)
				break
			}
			sleeper.Sleep(ctx, revisionPollInterval)
		}
	}
	for _, i := range r.instances {
		if err := i.Stop(); err != nil {
			r.addViolation("%s exited with %v: see its log", i.Name(), err)
		}
	}
	r.compareWithJournals()
}

// compareWithJournals checks each outcome that a caller recorded against the
// workers' journals.
func (r *soakRun) compareWithJournals() {
	runs, err := r.countRuns()
	if err != nil {
		r.addViolation("could not read the journals: %v", err)
	}
	undisturbed := map[string]bool{}
	for _, i := range r.allInstances {
		undisturbed[i.Callers()] = !i.disturbed
	}
	for _, o := range r.outcomes {
		count := runs[o.ID()]
		switch {
		case o.Kind() == loader.Wrong:
			r.addViolation("%s got an answer that is not its own, or not whole", o.ID())
		case o.Method() == http.MethodPost && count > 1:
			r.addViolation("%s must run at most once and ran %d times", o.ID(), count)
		case o.Kind() == loader.NotRun && count > 0:
			r.addViolation("%s was rejected as not run but ran %d times", o.ID(), count)
		case o.Kind() == loader.Good && count == 0:
			r.addViolation("%s was answered but is in no worker's journal", o.ID())
		case o.Status() == 0 && undisturbed[o.Address()] && !strings.Contains(o.Err().Error(), "refused"):
			r.addViolation("%s was aborted by an instance that was neither killed nor suspended: %v", o.ID(), o.Err())
		}
	}
}

// countRuns returns, by request ID, how often workers started to run the call.
func (r *soakRun) countRuns() (map[string]int, error) {
	runs := map[string]int{}
	paths, err := filepath.Glob(r.journalPath("*"))
	if err != nil {
		return nil, err
	}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		entries, err := emulator.ReadJournal(file)
		file.Close()
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			runs[e.ID()]++
		}
	}
	return runs, nil
}
