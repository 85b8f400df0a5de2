package limiter_test

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/registrar"
	"burdocklane/tracker"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// drawPool returns a pool of workers in two regions, some of them cold, evacuated, leaving,
// paused, busy or without a report.
func drawPool(t *rapid.T, policy picker.Policy) *limiter.Pool {
	p := limiter.New("s", registrar.NewInstance("i", "", "", registrar.NewLocality("r", "z"), false), limiter.WithPolicy(policy))
	p.SetWarmup(descriptor.NewWarmup(time.Minute, float64(rapid.IntRange(0, 2).Draw(t, "cold-rate"))))
	var members []registrar.Worker
	for i := range rapid.IntRange(0, 6).Draw(t, "workers") {
		region := rapid.SampledFrom([]string{"r", "q"}).Draw(t, "region")
		w := registrar.NewWorker(registrar.WorkerID(strconv.Itoa(i)), "s", "", registrar.NewLocality(region, "z"), 3, rapid.IntRange(0, 5).Draw(t, "leaves") == 0)
		if rapid.IntRange(0, 3).Draw(t, "cold") == 0 {
			w = w.WithStart(1, time.Minute)
		}
		if rapid.IntRange(0, 5).Draw(t, "evacuated") == 0 {
			w = w.AsEvacuated()
		}
		members = append(members, w)
	}
	p.Update(members, []registrar.Instance{registrar.NewInstance("i", "", "", registrar.NewLocality("r", "z"), false)})
	for _, w := range p.Workers() {
		for range rapid.IntRange(0, 3).Draw(t, "in-flight") {
			w.Acquire(p.Now())
		}
		if rapid.Bool().Draw(t, "reports") {
			p.RecordReport(w, tracker.NewReport(int32(rapid.IntRange(0, 4).Draw(t, "running")), 0, 3, rapid.Float64Range(1, 8).Draw(t, "slowdown"), p.Now()))
		}
		if rapid.IntRange(0, 4).Draw(t, "paused") == 0 {
			w.Pause(time.Minute, p.Now())
		}
	}
	return p
}

// stateOf is what a call would change: calls, the queue and counters.
func stateOf(p *limiter.Pool) string {
	var b bytes.Buffer
	for _, w := range p.Workers() {
		fmt.Fprintln(&b, w.ID(), w.InFlight(), w.OwnInFlight(), w.Load(0).SentSinceReport())
	}
	var counters bytes.Buffer
	metrics.WritePrometheus(&counters, false)
	return fmt.Sprintf("%s %d %s", b.String(), p.Waiting(), counters.String())
}

// Guards against an explanation that changes what it explains, or that differs from what a
// call gets at once.
func TestPreviewAgreesWithAcquire(t *testing.T) {
	tests := []struct {
		name   string
		policy picker.Policy
		ranks  bool
	}{
		{"reported load", picker.ReportedLoad{}, false},
		{"reported load, by rank", picker.ReportedLoad{}, true},
		{"shared slots", picker.SharedSlots{}, false},
		{"round robin", picker.RoundRobin{}, false},
		{"least in flight", picker.LeastInFlight{}, false},
	}
	for _, test := range tests {
		t.Run(test.name, rapid.MakeCheck(func(t *rapid.T) {
			p := drawPool(t, test.policy)
			p.SetRanksCalls(test.ranks)
			var regions []string
			if rapid.Bool().Draw(t, "confined") {
				regions = []string{rapid.SampledFrom([]string{"r", "q", "elsewhere"}).Draw(t, "allowed")}
			}
			now := time.Now()
			req := limiter.NewRequest(target, now.Add(time.Minute), limiter.WithConstraint(limiter.NewConstraint(descriptor.NewRegions(regions...)))).
				WithTargetDeadline(now.Add(target))
			before := stateOf(p)
			preview := p.Preview(req)
			for range 3 {
				p.Preview(req.LocalOnly())
			}
			if after := stateOf(p); after != before {
				t.Fatalf("the preview changed something: %s\n%s", before, after)
			}
			if len(preview.Candidates()) != len(p.Workers()) {
				t.Fatalf("%d candidates of %d workers", len(preview.Candidates()), len(p.Workers()))
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // A call that waits is refused as cancelled at once.
			checkAgrees(t, preview, p.Acquire(ctx, req))
		}))
	}
}

func checkAgrees(t *rapid.T, preview limiter.Preview, admission limiter.Admission) {
	switch o := preview.Outlook().(type) {
	case limiter.WouldSend:
		granted, ok := admission.(limiter.Granted)
		if !ok {
			t.Fatalf("would send, got %v", admission)
		}
		first := preview.Candidates()[0].Ranked()
		_, highest := first.Bounds()
		for _, c := range preview.Candidates() {
			low, _ := c.Ranked().Bounds()
			if c.Worker() == granted.Worker() && (low > highest || c.Ranked().Standing() != first.Standing()) {
				t.Fatalf("would send to %s, sent to %s", o.Worker().ID(), granted.Worker().ID())
			}
		}
	case limiter.WouldWait:
		if refused, ok := admission.(limiter.Refused); ok && refused.Reason() != limiter.ReasonCancelled {
			t.Fatalf("would wait, refused: %s", refused.Reason())
		}
	case limiter.Refused:
		if refused, ok := admission.(limiter.Refused); !ok || refused.Reason() != o.Reason() {
			t.Fatalf("would refuse: %s, got %v", o.Reason(), admission)
		}
	}
}

// A call of a request that stays in its region sees the others as elsewhere.
func TestPreviewOfALocalRequest(t *testing.T) {
	tests := []struct {
		name string
		free int32
		want string
	}{
		{"a free worker here", 0, "send"},
		{"all here are busy", 30, "wait"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newReportingPool(2)
			locals := len(p.Workers())
			members := []registrar.Worker{registrar.NewWorker("far", "s", "", registrar.NewLocality("q", "z"), 3, false)}
			for _, w := range p.Workers() {
				members = append(members, w.Member())
			}
			p.Update(members, nil)
			reportAll(p, test.free, 1)
			preview := p.Preview(newRequest().LocalOnly())
			last := preview.Candidates()[locals]
			if last.Worker().ID() != "far" || last.Ranked().Standing() != picker.Elsewhere {
				t.Fatalf("last is %s, %s", last.Worker().ID(), last.Ranked().Standing())
			}
			got := strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", preview.Outlook()), "limiter.Would"))
			if got != test.want {
				t.Fatalf("%s, want %s", got, test.want)
			}
		})
	}
}

// Guards against a preview that takes the call of a cold worker's allowance.
func TestPreviewTakesNoColdCall(t *testing.T) {
	tests := []struct {
		name     string
		rate     float64
		coldCall bool
	}{
		{"limited", 20, true},
		{"not limited", 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			here := registrar.NewLocality("r", "z")
			self := registrar.NewInstance("i", "", "", here, false)
			p := limiter.New("s", self, limiter.WithPolicy(picker.ReportedLoad{}), limiter.WithColdTolerance(limiter.NewColdTolerance(2, 0)))
			p.SetWarmup(descriptor.NewWarmup(time.Minute, test.rate))
			p.Update([]registrar.Worker{registrar.NewWorker("w", "s", "", here, 3, false).WithStart(1, time.Minute)}, []registrar.Instance{self})
			time.Sleep(100 * time.Millisecond) // The allowance begins empty, and fills in 66 ms.
			reportAll(p, 0, 1)
			for range 10 {
				_, sends := p.Preview(newRequest()).Outlook().(limiter.WouldSend)
				c.Assert(sends, qt.IsTrue)
			}
			granted, ok := p.Acquire(context.Background(), newRequest()).(limiter.Granted)
			c.Assert(ok, qt.IsTrue)
			c.Assert(granted.HasColdCall(), qt.Equals, test.coldCall)
			granted.Release()
		})
	}
}

// Guards against a preview that marks a tenant as active, which takes room from the others.
func TestPreviewDoesNotActivateTenants(t *testing.T) {
	c := qt.New(t)
	asked, previewed := descriptor.NewTenant("asked"), descriptor.NewTenant("previewed")
	p := newRankingPool(c, 50*time.Millisecond, &asked)
	reportAll(p, 3, 1)
	queueInOrder(c, p, []limiter.Request{newRankedRequest(longTarget, longTarget)})
	before := p.ActiveTenants()
	p.Preview(newRankedRequest(longTarget, longTarget, limiter.WithTenant(&previewed, true)))
	c.Assert(p.ActiveTenants(), qt.Equals, before)
	reportAll(p, 0, 1)
}
