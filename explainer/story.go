package explainer

import (
	"fmt"
	"io"
	"strings"
)

// Cause is why a call ended as it did: Served, Late, Refused, Lost, Broken or
// Unfinished.
type Cause interface{ cause() }

// Served says that the call was answered on time.
type Served struct{}

// Late says that the call was answered after its target.
type Late struct{ why string }

// Refused says that the call was refused as not run.
type Refused struct{ why string }

// Lost says that the outcome is unknown.
type Lost struct{ why string }

// Broken says that the answer broke off on its way to the caller.
type Broken struct{}

// Unfinished says that no line tells how the call ended.
type Unfinished struct{}

func (Served) cause()     {}
func (Late) cause()       {}
func (Refused) cause()    {}
func (Lost) cause()       {}
func (Broken) cause()     {}
func (Unfinished) cause() {}

// Text returns the cause in words.
func Text(c Cause) string {
	switch c := c.(type) {
	case Served:
		return "answered on time"
	case Late:
		return "answered late: " + c.why
	case Refused:
		return "refused, it has not run: " + c.why
	case Lost:
		return "outcome unknown, it may have run: " + c.why
	case Broken:
		return "the answer broke off on its way to the caller"
	case Unfinished:
		return "no line tells how it ended: the instance ended, or the line was dropped"
	}
	return ""
}

// Story is what the lines tell of one call.
type Story struct {
	id    string
	lines []Line
}

// Tell returns the story of the call with the ID, and false if no line has it.
func Tell(lines []Line, id string) (Story, bool) {
	s := Story{id: id}
	for _, l := range lines {
		if l.message == decisionMessage && l.fields.ID == id {
			s.lines = append(s.lines, l)
		}
	}
	inOrder(s.lines)
	return s, len(s.lines) > 0
}

// Lines returns the story's lines in the order of their time.
func (s Story) Lines() []Line { return s.lines }

// Cause returns why the call ended as it did.
func (s Story) Cause() Cause {
	last := s.lines[len(s.lines)-1].fields
	switch last.Choice {
	case "pass":
		if last.TargetMs == 0 || last.TookMs <= last.TargetMs {
			return Served{}
		}
		return Late{why: s.delay(last)}
	case "refuse":
		return Refused{why: refusal(last)}
	case "unknown":
		return Lost{why: loss(last)}
	case "broken":
		return Broken{}
	}
	return Unfinished{}
}

// delay tells what most of a late call's time went to.
func (s Story) delay(last fields) string {
	sends, waited := 0, 0.0
	var expected string
	for _, l := range s.lines {
		if l.fields.Choice == "send" {
			sends++
			waited += l.fields.WaitedMs
			expected = l.fields.Candidates
		}
	}
	switch {
	case sends > 1:
		return fmt.Sprintf("%d attempts were made; the last was at %s (%s)", sends, last.Worker, expected)
	case waited > last.TookMs/2:
		return fmt.Sprintf("it waited %.1f ms for a worker", waited)
	}
	return fmt.Sprintf("worker %s took %.1f ms; what was known when it was chosen: %s", last.Worker, last.TookMs-waited, expected)
}

func refusal(f fields) string {
	switch f.Reason {
	case "overload", "queue-full":
		return fmt.Sprintf("no worker of %s had room that would answer in time, for %.1f ms", f.Service, f.WaitedMs)
	case "no-worker":
		return fmt.Sprintf("no worker of %s could be used (%s)", f.Service, f.Candidates)
	}
	return f.Reason
}

func loss(f fields) string {
	why := fmt.Sprintf("attempt %d at %s ended after %.1f ms", f.Attempt, f.Worker, f.TookMs)
	if f.Error != "" {
		return why + ": " + f.Error
	}
	return why + " (" + f.Reason + ")"
}

// Write writes the story for people.
func (s Story) Write(w io.Writer) error {
	var text strings.Builder
	start := s.lines[0].at
	fmt.Fprintf(&text, "%s\n", s.id)
	for _, l := range s.lines {
		f := l.fields
		fmt.Fprintf(&text, "%8.1f ms  %s  %s (%s)", float64(l.at.Sub(start).Microseconds())/1000, l.instance, f.Choice, f.Reason)
		if f.Worker != "" {
			fmt.Fprintf(&text, " attempt %d at %s", f.Attempt, f.Worker)
		}
		if f.Error != "" {
			fmt.Fprintf(&text, ", error: %s", f.Error)
		}
		if f.Candidates != "" {
			fmt.Fprintf(&text, "; known: %s", f.Candidates)
		}
		text.WriteByte('\n')
	}
	fmt.Fprintf(&text, "cause: %s\n", Text(s.Cause()))
	_, err := io.WriteString(w, text.String())
	return err
}
