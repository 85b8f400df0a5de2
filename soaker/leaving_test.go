package soaker_test

import "time"

// passedOn is an instance's process that has passed on an answer of a worker.
type passedOn struct {
	incarnation *incarnation
	worker      string
}

// checkLeavers checks that no process sends a call to a worker if the call came later than
// the time for draining after the process had passed on an answer in which the worker
// announced that it is about to stop. That holds whatever the store does. A process that was
// suspended is excused.
func (f *fleet) checkLeavers(outcomes []outcome) {
	byID := map[string]outcome{}
	first := map[passedOn]time.Time{}
	for _, o := range outcomes {
		byID[o.id] = o
		answer := passedOn{o.incarnation, o.leaver}
		if at, known := first[answer]; o.leaver != "" && (!known || o.end.Before(at)) {
			first[answer] = o.end
		}
	}
	for _, m := range f.workers {
		for _, r := range m.worker.Runs() {
			o, known := byID[r.ID()]
			at, announced := first[passedOn{o.incarnation, m.worker.ID()}]
			if known && announced && !o.incarnation.isDisturbed() && o.start.After(at.Add(drainTimeout)) {
				f.c.Errorf("%s was sent by %s to %s, %s after that had passed on that the worker is about to stop",
					o.id, o.incarnation.process.Name(), m.worker.ID(), o.start.Sub(at))
			}
		}
	}
}
