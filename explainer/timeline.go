package explainer

import (
	"fmt"
	"io"
	"strings"
)

// Cause is why a call ended as it did: [OnTime], [Late], [Rejected],
// [UnknownOutcome], [Interrupted] or [Unfinished].
type Cause interface{ cause() }

// OnTime means that the call was answered within its latency target.
type OnTime struct{}

// Late means that the call was answered after its latency target.
type Late struct{ reason string }

// Rejected means that the call was rejected and has not run.
type Rejected struct{ reason string }

// UnknownOutcome means that the call may have run and its outcome is not known.
type UnknownOutcome struct{ reason string }

// Interrupted means that the transfer of the response to the caller failed.
type Interrupted struct{}

// Unfinished means that no line records how the call ended.
type Unfinished struct{}

func (OnTime) cause()         {}
func (Late) cause()           {}
func (Rejected) cause()       {}
func (UnknownOutcome) cause() {}
func (Interrupted) cause()    {}
func (Unfinished) cause()     {}

// CauseText returns the description of a cause.
func CauseText(c Cause) string {
	switch c := c.(type) {
	case OnTime:
		return "answered on time"
	case Late:
		return "answered late: " + c.reason
	case Rejected:
		return "rejected, not run: " + c.reason
	case UnknownOutcome:
		return "outcome unknown, may have run: " + c.reason
	case Interrupted:
		return "the response was interrupted on its way to the caller"
	case Unfinished:
		return "no log line records how the call ended: the instance stopped, or the line was dropped"
	}
	return ""
}

// Timeline is the sequence of decision log lines of one call.
type Timeline struct {
	id    string
	lines []Line
}

// NewTimeline returns the timeline of the call with the request ID, and false if no line has
// that ID.
func NewTimeline(lines []Line, id string) (Timeline, bool) {
	t := Timeline{id: id}
	for _, l := range lines {
		if l.message == decisionMessage && l.fields.ID == id {
			t.lines = append(t.lines, l)
		}
	}
	sortByTime(t.lines)
	return t, len(t.lines) > 0
}

// Lines returns the lines in the order of time.
func (t Timeline) Lines() []Line { return t.lines }

// Cause returns why the call ended as it did.
func (t Timeline) Cause() Cause {
	last := t.lines[len(t.lines)-1].fields
	switch last.Choice {
	case "pass":
		if last.TargetMs == 0 || last.TookMs <= last.TargetMs {
			return OnTime{}
		}
		return Late{reason: t.lateReason(last)}
	case "refuse":
		return Rejected{reason: rejectionReason(last)}
	case "unknown":
		return UnknownOutcome{reason: lostReason(last)}
	case "broken":
		return Interrupted{}
	}
	return Unfinished{}
}

// lateReason returns the main reason why a call was late.
func (t Timeline) lateReason(last lineFields) string {
	attempts, waited := 0, 0.0
	var candidates, passedOver string
	for _, l := range t.lines {
		switch l.fields.Choice {
		case "send":
			attempts++
			waited += l.fields.WaitedMs
			candidates = l.fields.Candidates
		case "pass-over":
			passedOver = fmt.Sprintf("; worker %s was passed over (%s)", l.fields.Worker, l.fields.Reason)
		}
	}
	candidates += passedOver
	switch {
	case attempts > 1:
		return fmt.Sprintf("%d attempts were made; the last one was at worker %s (%s)", attempts, last.Worker, candidates)
	case waited > last.TookMs/2:
		return fmt.Sprintf("the call waited %.1f ms for a worker", waited)
	}
	return fmt.Sprintf("worker %s took %.1f ms; candidates when it was chosen: %s", last.Worker, last.TookMs-waited, candidates)
}

// rejectionReason returns why a call was rejected.
func rejectionReason(f lineFields) string {
	switch f.Reason {
	case "overload", "queue-full":
		reason := fmt.Sprintf("no worker of %s had capacity to answer in time, after waiting %.1f ms", f.Service, f.WaitedMs)
		if _, ranking, ranked := strings.Cut(f.Candidates, "priority="); ranked {
			reason += " (priority=" + ranking + ")"
		}
		return reason
	case "no-room-in-time":
		return fmt.Sprintf("%s had no room in time, and was not expected to have before the target (%s)", f.Service, f.Candidates)
	case "no-worker":
		return fmt.Sprintf("no usable worker of %s (%s)", f.Service, f.Candidates)
	case "no-allowed-region":
		return fmt.Sprintf("the class and the tenant have no region in common in which a call of %s may be processed", f.Service)
	case "no-allowed-worker":
		return fmt.Sprintf("no worker of %s is left in the regions in which the call may be processed, outside evacuated zones", f.Service)
	case "callers-hold-too-much":
		return "callers held as much of the instance as they may"
	case "over-limit":
		return "its tenant had used up the rate limit, which all instances share"
	case "limit-unknown":
		return fmt.Sprintf("no token of its tenant's rate limit was to be had, after waiting %.1f ms, though the limit may not be used up: the scheduler or the owner of the limits was not reached, or it had none left", f.WaitedMs)
	case "instance-stops":
		return "the instance was stopping, and the call could not have ended before that"
	case "key-missing":
		return "it carried no API key, which " + f.configuration() + " requires"
	case "key-malformed":
		return "its Authorization was not one bearer token, which " + f.configuration() + " requires"
	case "key-unknown":
		return "no tenant of " + f.configuration() + " holds its API key"
	}
	return f.Reason
}

// configuration names the configuration that a decision was based on.
func (f lineFields) configuration() string {
	return fmt.Sprintf("configuration %d (active for %.0f ms)", f.Revision, f.ActiveMs)
}

// lostReason returns why the outcome of a call is unknown.
func lostReason(f lineFields) string {
	reason := fmt.Sprintf("attempt %d at worker %s ended after %.1f ms", f.Attempt, f.Worker, f.TookMs)
	if f.Error != "" {
		return reason + ": " + f.Error
	}
	return reason + " (" + f.Reason + ")"
}

// Write writes the timeline and its cause as readable text.
func (t Timeline) Write(w io.Writer) error {
	var text strings.Builder
	start := t.lines[0].at
	fmt.Fprintf(&text, "%s\n", t.id)
	for _, l := range t.lines {
		f := l.fields
		fmt.Fprintf(&text, "%8.1f ms  %s  %s (%s)", float64(l.at.Sub(start).Microseconds())/1000, l.instance, f.Choice, f.Reason)
		if f.Worker != "" {
			fmt.Fprintf(&text, " attempt %d at worker %s", f.Attempt, f.Worker)
		}
		if f.Error != "" {
			fmt.Fprintf(&text, ", error: %s", f.Error)
		}
		if f.Candidates != "" {
			fmt.Fprintf(&text, "; candidates: %s", f.Candidates)
		}
		text.WriteByte('\n')
	}
	fmt.Fprintf(&text, "cause: %s\n", CauseText(t.Cause()))
	_, err := io.WriteString(w, text.String())
	return err
}
