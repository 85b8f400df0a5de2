package soaker_test

import (
	"context"
	"net/http"
	"time"
)

const (
	// recoveryTime is how long after the last fault time limits hold again.
	recoveryTime = 3 * time.Second
	// activationTimeout is the longest time from the confirmation of a configuration
	// until it is active.
	activationTimeout = 2 * time.Second
)

// disturbance is a period in which a fault affected an instance or its connection to
// the store, or all instances if that is nil.
type disturbance struct {
	instance *instance
	from     time.Time
	to       time.Time
}

func (f *fleet) recordDisturbance(i *instance, from, to time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.disturbances = append(f.disturbances, disturbance{instance: i, from: from, to: to})
}

// overlaps reports whether the disturbance or the recovery from it falls between from
// and to.
func (d disturbance) overlaps(from, to time.Time) bool {
	return d.from.Before(to) && d.to.Add(recoveryTime).After(from)
}

// wasUndisturbed reports whether no fault affected instances or the store from
// recoveryTime before from until to.
func (f *fleet) wasUndisturbed(from, to time.Time) bool {
	for _, d := range f.disturbances {
		if d.overlaps(from, to) {
			return false
		}
	}
	return true
}

// wasInstanceUndisturbed is like wasUndisturbed, but disregards faults that affected
// other instances only.
func (f *fleet) wasInstanceUndisturbed(i *instance, from, to time.Time) bool {
	for _, d := range f.disturbances {
		if (d.instance == nil || d.instance == i) && d.overlaps(from, to) {
			return false
		}
	}
	return true
}

// lateActivation is an observation of a process that did not serve a version of the
// configuration that had been confirmed activationTimeout before.
type lateActivation struct {
	incarnation *incarnation
	version     int
	at          time.Time
}

// dueVersion returns the latest version of the configuration that has to be active,
// or 0 if there is none.
func (f *fleet) dueVersion(now time.Time) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	version := 0
	for n, confirmed := range f.confirmations {
		if now.Sub(confirmed) > activationTimeout {
			version = n + 1
		}
	}
	return version
}

// observeActivation records whether the process serves what has to be active.
func (f *fleet) observeActivation(ctx context.Context, i *incarnation) {
	now := time.Now()
	version := f.dueVersion(now)
	if version == 0 || f.probe(ctx, i, version) != http.StatusNotFound || i.replaced.Load() {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lateActivations = append(f.lateActivations, lateActivation{incarnation: i, version: version, at: now})
}

// checkActivations reports the first late activation of each process that no fault
// explains.
func (f *fleet) checkActivations() {
	reported := map[*incarnation]bool{}
	for _, late := range f.lateActivations {
		if reported[late.incarnation] || !f.wasInstanceUndisturbed(late.incarnation.instance, late.at.Add(-activationTimeout), late.at) {
			continue
		}
		reported[late.incarnation] = true
		f.c.Errorf("configuration %d is not active on %s %s after its confirmation", late.version, late.incarnation.process.Name(),
			late.at.Sub(f.confirmations[late.version-1]).Round(time.Millisecond))
	}
}
