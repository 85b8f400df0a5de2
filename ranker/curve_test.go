package ranker_test

import (
	"testing"
	"time"

	"burdocklane/descriptor"

	qt "github.com/frankban/quicktest"
)

// The shares of the room that the kinds ask for add up to 1.
var (
	shortTargetsFirst = []*kind{
		{name: "urgent", priority: 0, target: 250 * ms, deadline: 3 * time.Second, work: 80 * ms, share: 0.25},
		{name: "cheap", priority: 1, target: 300 * ms, deadline: 3 * time.Second, work: 40 * ms, share: 0.25},
		{name: "dear", priority: 1, target: 800 * ms, deadline: 4 * time.Second, work: 300 * ms, share: 0.25},
		{name: "low", priority: 2, target: 800 * ms, deadline: 4 * time.Second, work: 160 * ms, share: 0.25},
	}
	longTargetsFirst = []*kind{
		{name: "payment", priority: 0, target: 800 * ms, deadline: 5 * time.Second, work: 160 * ms, share: 0.4},
		{name: "lookup", priority: 2, target: 300 * ms, deadline: 3 * time.Second, work: 100 * ms, share: 0.6},
	}
	oneKind = []*kind{{name: "only", priority: 0, target: 800 * ms, deadline: 4 * time.Second, work: 160 * ms, share: 1}}
)

// keptShare is the share of the peak that must be left beyond it.
const keptShare = 0.9

// Load: kinds of calls that differ in priority, work and target at 0.5 to 3 times the room
// of the service, with callers that come back. The order by rank must be worth as much as
// that by target, unless the latter starves a kind; it must lose nothing beyond the knee,
// keep the highest priority on time as long as it fits, and starve no kind.
func TestCurves(t *testing.T) {
	tests := []struct {
		name  string
		kinds []*kind
	}{
		{"short targets have the higher priority", shortTargetsFirst},
		{"long targets have the higher priority", longTargetsFirst},
		{"one kind", oneKind},
	}
	loads := []float64{0.5, 0.8, 1, 1.25, 1.5, 2, 2.5, 3}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			best := 0.0
			for _, load := range loads {
				constant := func(*kind, time.Duration) float64 { return load }
				before, after := run(byTarget{}, test.kinds, 0, constant), run(byRank{}, test.kinds, 0, constant)
				worthBefore, worthAfter := payoff(test.kinds, before), payoff(test.kinds, after)
				logCurve(t, load, test.kinds, before, after)
				c.Check(worthAfter >= keptShare*worthBefore || starves(test.kinds, before), qt.IsTrue, qt.Commentf("load %v", load))
				c.Check(worthAfter >= keptShare*best, qt.IsTrue, qt.Commentf("load %v", load))
				c.Check(starves(test.kinds, after), qt.IsFalse, qt.Commentf("load %v", load))
				if first := test.kinds[0]; len(test.kinds) > 1 && load*first.share < 0.7 {
					c.Check(after[first.name].onTimeShare() > 0.95, qt.IsTrue, qt.Commentf("load %v", load))
				}
				best = max(best, worthAfter)
			}
		})
	}
}

func logCurve(t *testing.T, load float64, kinds []*kind, before, after map[string]*result) {
	t.Helper()
	t.Logf("load %.2f: payoff a second %.0f -> %.0f", load, payoff(kinds, before)/playTime.Seconds(), payoff(kinds, after)/playTime.Seconds())
	for _, k := range kinds {
		b, a := before[k.name], after[k.name]
		t.Logf("  %-7s on time %.2f -> %.2f, served %.2f -> %.2f", k.name, b.onTimeShare(), a.onTimeShare(), b.servedShare(), a.servedShare())
	}
}

// starves reports whether a kind is served less than a quarter as often as all.
func starves(kinds []*kind, results map[string]*result) bool {
	var all result
	for _, r := range results {
		all.asked, all.onTime, all.late = all.asked+r.asked, all.onTime+r.onTime, all.late+r.late
	}
	for _, k := range kinds {
		if results[k.name].servedShare() < all.servedShare()/4 {
			return true
		}
	}
	return false
}

// Load: one of ten tenants sends up to ten times its usual for six seconds. The others keep
// nine tenths of what was on time for them, and the tenant gets what they leave.
func TestBurstOfOneTenant(t *testing.T) {
	var kinds []*kind
	for _, name := range []string{"hot", "a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		tenant := descriptor.NewTenant(descriptor.TenantName(name))
		kinds = append(kinds, &kind{name: name, priority: 1, target: 300 * ms, deadline: 3 * time.Second, work: 100 * ms, share: 0.1, tenant: &tenant})
	}
	for _, factor := range []float64{1, 3, 10} {
		load := func(k *kind, at time.Duration) float64 {
			if k.name == "hot" && at > 3*time.Second && at < 9*time.Second {
				return 0.8 * factor
			}
			return 0.8
		}
		c := qt.New(t)
		for _, o := range []order{byTarget{}, byRank{}} {
			results := run(o, kinds, 0, load)
			others := 0.0
			for _, k := range kinds[1:] {
				others += results[k.name].onTimeShare() / float64(len(kinds)-1)
			}
			t.Logf("%v times its usual, %T: on time %.2f, the others %.2f", factor, o, results["hot"].onTimeShare(), others)
			if _, ranked := o.(byRank); ranked {
				c.Check(others > 0.9, qt.IsTrue)
				c.Check(starves(kinds, results) && factor < 10, qt.IsFalse)
			}
		}
	}
}

// Load: for a second, ten times as many calls as there is room for; their callers come back
// later. The calls that are first sent three seconds later must be on time again.
func TestCrowdThatComesBack(t *testing.T) {
	c := qt.New(t)
	load := func(_ *kind, at time.Duration) float64 {
		if at > 2*time.Second && at < 3*time.Second {
			return 10
		}
		return 0.8
	}
	for _, kinds := range [][]*kind{oneKind, shortTargetsFirst, longTargetsFirst} {
		for _, o := range []order{byTarget{}, byRank{}} {
			whole, afterwards := run(o, kinds, 0, load), run(o, kinds, 6*time.Second, load)
			for _, k := range kinds {
				t.Logf("%T %-8s on time %.2f, served %.2f; from three seconds later on %.2f", o, k.name,
					whole[k.name].onTimeShare(), whole[k.name].servedShare(), afterwards[k.name].onTimeShare())
				if _, ranked := o.(byRank); ranked {
					c.Check(afterwards[k.name].onTimeShare() > 0.9, qt.IsTrue, qt.Commentf("%s", k.name))
				}
			}
		}
	}
}
