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

// watch reads each instance's revision, which must never go back.
func (r *soakRun) watch(ctx context.Context) {
	for sleeper.Sleep(ctx, watchEvery) {
		r.mutex.Lock()
		instances := append([]*soakInstance(nil), r.instances...)
		r.mutex.Unlock()
		for _, i := range instances {
			r.watchRevision(ctx, i)
		}
	}
}

func (r *soakRun) watchRevision(ctx context.Context, i *soakInstance) bool {
	ctx, cancel := context.WithTimeout(ctx, watchEvery)
	defer cancel()
	have, err := inspector.FetchRevision(ctx, i.Member().Admin())
	if err != nil {
		return false
	}
	if have < i.revision {
		r.violate("%s went from revision %d back to %d", i.Name(), i.revision, have)
	}
	i.revision = have
	return have >= r.accepted
}

// settle checks, after the load, that the last accepted configuration is in
// force everywhere, that no invariant ended an instance, and that what callers
// saw agrees with the journals.
func (r *soakRun) settle(ctx context.Context) {
	deadline := time.Now().Add(inForceTarget)
	for _, i := range r.instances {
		for !r.watchRevision(ctx, i) {
			if time.Now().After(deadline) {
				r.violate("revision %d is not in force on %s after %s", r.accepted, i.Name(), inForceTarget)
				break
			}
			sleeper.Sleep(ctx, watchEvery)
		}
	}
	for _, i := range r.instances {
		if err := i.Stop(); err != nil {
			r.violate("%s ended with %v: see its log", i.Name(), err)
		}
	}
	r.compare()
}

func (r *soakRun) compare() {
	runs, err := r.runs()
	if err != nil {
		r.violate("journals: %v", err)
	}
	undisturbed := map[string]bool{}
	for _, i := range r.all {
		undisturbed[i.Callers()] = !i.disturbed
	}
	for _, o := range r.outcomes {
		count := runs[o.ID()]
		switch {
		case o.Kind() == loader.Wrong:
			r.violate("%s got an answer that is not its own, or not whole", o.ID())
		case o.Method() == http.MethodPost && count > 1:
			r.violate("%s must run at most once and ran %d times", o.ID(), count)
		case o.Kind() == loader.NotRun && count > 0:
			r.violate("%s was refused as not run and ran %d times", o.ID(), count)
		case o.Kind() == loader.Good && count == 0:
			r.violate("%s was answered and no journal has it", o.ID())
		case o.Status() == 0 && undisturbed[o.Entry()] && !strings.Contains(o.Err().Error(), "refused"):
			r.violate("%s was cut by an instance that was not disturbed: %v", o.ID(), o.Err())
		}
	}
}

// runs returns how often each request ID began to run at any worker.
func (r *soakRun) runs() (map[string]int, error) {
	runs := map[string]int{}
	paths, err := filepath.Glob(r.journal("*"))
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
