package drainer

import "time"

// Standing says whether a start of a worker may get calls: Open, Leaving, Unconfirmed or
// Outdated.
type Standing interface{ standing() }

// Open is the standing of a start that nothing speaks against.
type Open struct{}

// Leaving is the standing of a start that has announced that it is about to stop. Only a
// new start of the worker, or a new worker, ends that.
type Leaving struct{ since time.Time }

// Unconfirmed is the standing of a start that the list had lost and has again. Either the
// worker lives and has written again, or a write from before its end was late: it gets no
// calls before it has answered a health check, or has stayed listed until the given time.
type Unconfirmed struct{ until time.Time }

// Outdated is the standing of a registration from before what is known already. It says
// nothing of the worker as it is now.
type Outdated struct{}

func (Open) standing()        {}
func (Leaving) standing()     {}
func (Unconfirmed) standing() {}
func (Outdated) standing()    {}

// Since returns when the announcement arrived.
func (l Leaving) Since() time.Time { return l.since }

// Until returns when the worker gets calls without a confirmation.
func (u Unconfirmed) Until() time.Time { return u.until }
