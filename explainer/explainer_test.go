package explainer_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"burdocklane/explainer"
	"burdocklane/recorder"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

var start = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func atMilliseconds(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

// logLines returns the log lines that an instance writes for the decisions.
func logLines(instance string, decisions ...recorder.Decision) string {
	var out bytes.Buffer
	log := recorder.NewLogger(&out, zerolog.InfoLevel, "")
	r := recorder.New(log.With().Str("instance", instance).Logger())
	for _, d := range decisions {
		r.Record(d)
	}
	r.Close()
	return out.String()
}

func decision(id string, at int, choice, reason string, opts ...recorder.DecisionOption) recorder.Decision {
	return recorder.NewDecision(id, atMilliseconds(at), choice, reason, append(opts, recorder.WithClass("s", "c"))...)
}

func TestCause(t *testing.T) {
	target := recorder.WithTarget(200 * time.Millisecond)
	took := func(ms int) recorder.DecisionOption { return recorder.WithTimes(0, time.Duration(ms)*time.Millisecond) }
	inForce := recorder.WithConfiguration(12, 1500*time.Millisecond)
	send := decision("x", 0, "send", "assigned", recorder.WithAttempt(1, "w1"), target)
	tests := []struct {
		name      string
		decisions []recorder.Decision
		want      string
	}{
		{"on time", []recorder.Decision{send, decision("x", 100, "pass", "answered", target, took(100))}, "answered on time"},
		{
			"a slow worker",
			[]recorder.Decision{send, decision("x", 300, "pass", "answered", recorder.WithAttempt(1, "w1"), target, took(300))},
			"answered late: worker w1 took 300.0 ms",
		},
		{
			"a long wait for a slot",
			[]recorder.Decision{
				decision("x", 180, "send", "waited-for-slot", recorder.WithAttempt(1, "w1"), recorder.WithTimes(180*time.Millisecond, 0)),
				decision("x", 230, "pass", "answered", target, took(230)),
			},
			"answered late: the call waited 180.0 ms for a worker",
		},
		{
			"a second attempt",
			[]recorder.Decision{
				send, decision("x", 150, "send", "hedge", recorder.WithAttempt(2, "w2")),
				decision("x", 250, "pass", "answered", recorder.WithAttempt(2, "w2"), target, took(250)),
			},
			"answered late: 2 attempts were made; the last one was at worker w2",
		},
		{
			"no capacity",
			[]recorder.Decision{decision("x", 25, "refuse", "overload", recorder.WithTimes(25*time.Millisecond, 25*time.Millisecond))},
			"rejected, not run: no worker of s had capacity to answer in time, after waiting 25.0 ms",
		},
		{
			"no room for its rank",
			[]recorder.Decision{decision("x", 25, "refuse", "no-room-in-time", recorder.WithCandidates(bytes.NewBufferString("total=3 priority=2 target-left=783ms ahead=40 verdict=refuse")))},
			"s had no room in time, and was not expected to have before the target (total=3 priority=2 target-left=783ms ahead=40 verdict=refuse)",
		},
		{
			"no room for its rank at another instance",
			[]recorder.Decision{decision("x", 25, "refuse", "overload", recorder.WithCandidates(bytes.NewBufferString("total=0 priority=2 verdict=refuse")))},
			"after waiting 0.0 ms (priority=2 verdict=refuse)",
		},
		{
			"callers hold too much",
			[]recorder.Decision{decision("x", 0, "refuse", "callers-hold-too-much")},
			"rejected, not run: callers held as much of the instance as they may",
		},
		{
			"a lost response",
			[]recorder.Decision{send, decision("x", 90, "unknown", "attempt-lost", recorder.WithAttempt(1, "w1"), recorder.WithError(errors.New("EOF")), took(90))},
			"outcome unknown, may have run: attempt 1 at worker w1 ended after 90.0 ms: EOF",
		},
		{
			"a worker that had become slow, and another slow one",
			[]recorder.Decision{
				decision("x", 0, "pass-over", "slow", recorder.WithAttempt(1, "w0"), target), send,
				decision("x", 300, "pass", "answered", recorder.WithAttempt(1, "w1"), target, took(300)),
			},
			"; worker w0 was passed over (slow)",
		},
		{
			"a planned stop",
			[]recorder.Decision{decision("x", 5, "refuse", "instance-stops", target)},
			"rejected, not run: the instance was stopping",
		},
		{
			"a tenant beyond its limit",
			[]recorder.Decision{decision("x", 5, "refuse", "over-limit", target)},
			"rejected, not run: its tenant had used up the rate limit",
		},
		{
			"a limit that nobody knows",
			[]recorder.Decision{decision("x", 25, "refuse", "limit-unknown", recorder.WithTimes(25*time.Millisecond, 25*time.Millisecond))},
			"rejected, not run: no token of its tenant's rate limit was to be had, after waiting 25.0 ms",
		},
		{
			"no region in common",
			[]recorder.Decision{decision("x", 5, "refuse", "no-allowed-region", target)},
			"rejected, not run: the class and the tenant have no region in common",
		},
		{
			"no worker that it may reach",
			[]recorder.Decision{decision("x", 5, "refuse", "no-allowed-worker", target)},
			"rejected, not run: no worker of s is left in the regions",
		},
		{
			"an evacuated zone",
			[]recorder.Decision{
				decision("x", 0, "pass-over", "evacuated", recorder.WithAttempt(1, "w0"), target), send,
				decision("x", 300, "pass", "answered", recorder.WithAttempt(1, "w1"), target, took(300)),
			},
			"; worker w0 was passed over (evacuated)",
		},
		{
			"a worker that had turned cold",
			[]recorder.Decision{
				decision("x", 0, "pass-over", "cold", recorder.WithAttempt(1, "w0"), target), send,
				decision("x", 300, "pass", "answered", recorder.WithAttempt(1, "w1"), target, took(300)),
			},
			"; worker w0 was passed over (cold)",
		},
		{
			"no API key",
			[]recorder.Decision{decision("x", 1, "refuse", "key-missing", inForce)},
			"rejected, not run: it carried no API key, which configuration 12 (active for 1500 ms) requires",
		},
		{
			"an unreadable API key",
			[]recorder.Decision{decision("x", 1, "refuse", "key-malformed", inForce)},
			"rejected, not run: its Authorization was not one bearer token, which configuration 12 (active for 1500 ms) requires",
		},
		{
			"an API key that nobody holds",
			[]recorder.Decision{decision("x", 1, "refuse", "key-unknown", inForce)},
			"rejected, not run: no tenant of configuration 12 (active for 1500 ms) holds its API key",
		},
		{"interrupted response", []recorder.Decision{send, decision("x", 9, "broken", "transfer-broken")}, "the response was interrupted"},
		{"no final line", []recorder.Decision{send}, "no log line records how the call ended"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			lines, err := explainer.Read(strings.NewReader(logLines("i", test.decisions...)))
			c.Assert(err, qt.IsNil)
			timeline, ok := explainer.NewTimeline(lines, "x")
			c.Assert(ok, qt.IsTrue)
			c.Assert(explainer.CauseText(timeline.Cause()), qt.Contains, test.want)
		})
	}
}

// The lines of a call that was sent to several instances must form one timeline in the
// order of time, even if other text stands between them.
func TestTimelineMergesInstances(t *testing.T) {
	c := qt.New(t)
	second := logLines("two", decision("x", 60, "send", "assigned"), decision("y", 61, "send", "assigned"))
	first := logLines("one", decision("x", 10, "refuse", "overload"))
	log := "  33.48 two " + second + "no JSON\n{\"half\n" + first
	lines, err := explainer.Read(strings.NewReader(log))
	c.Assert(err, qt.IsNil)
	timeline, ok := explainer.NewTimeline(lines, "x")
	c.Assert(ok, qt.IsTrue)
	var out strings.Builder
	c.Assert(timeline.Write(&out), qt.IsNil)
	c.Assert(out.String(), qt.Contains, "0.0 ms  one  refuse (overload)")
	c.Assert(out.String(), qt.Contains, "50.0 ms  two  send (assigned)")
	_, ok = explainer.NewTimeline(lines, "z")
	c.Assert(ok, qt.IsFalse)
}

func TestInstanceState(t *testing.T) {
	line := func(second int, instance, message string) string {
		return fmt.Sprintf(`{"time":"2026-12-04T10:00:%02d.000Z","instance":%q,"message":%q}`+"\n", second, instance, message)
	}
	log := line(1, "i", "instance starts") + line(2, "i", "configuration is in force") + line(3, "i", "lost the store") +
		line(4, "j", "lost the store") + line(5, "i", "regained the store") + line(6, "i", "configuration is in force") +
		line(8, "i", "instance starts")
	tests := []struct {
		name     string
		instance string
		second   int
		want     []string
	}{
		{"before its start", "i", 0, nil},
		{"without the store", "i", 4, []string{"instance starts", "configuration is in force", "lost the store"}},
		{"with the store again", "i", 7, []string{"instance starts", "regained the store", "configuration is in force"}},
		{"after another start", "i", 9, []string{"instance starts"}},
		{"another instance", "j", 9, []string{"lost the store"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			lines, err := explainer.Read(strings.NewReader(log))
			c.Assert(err, qt.IsNil)
			var got []string
			for _, l := range explainer.StateAt(lines, test.instance, atMilliseconds(1000*test.second)) {
				got = append(got, l.Message())
			}
			c.Assert(got, qt.DeepEquals, test.want)
		})
	}
}
