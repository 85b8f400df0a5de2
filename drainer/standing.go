package drainer

import "time"

// Standing says whether a start of a worker may get calls: Open or Leaving.
type Standing interface{ standing() }

// Open is the standing of a start that nothing speaks against.
type Open struct{}

// Leaving is the standing of a start that has announced that it is about to stop. Only a
// new start of the worker, or a new worker, ends that.
type Leaving struct{ since time.Time }

func (Open) standing()    {}
func (Leaving) standing() {}

// Since returns when the announcement arrived.
func (l Leaving) Since() time.Time { return l.since }
