package granter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"burdocklane/descriptor"

	qt "github.com/frankban/quicktest"
)

// Pattern: tenants within their limits, at five eighths of the rate, with calls at random
// schedulers. Guards against refused calls although the limit would admit them.
func TestTenantsWithinTheirLimitsAreServed(t *testing.T) {
	const use = 0.625
	tests := []struct {
		name       string
		limit      descriptor.RateLimit
		schedulers int
		loss       float64
		span       time.Duration
		disturb    func(f *fleet)
		maxRefused float64
	}{
		{"small tenant", descriptor.NewRateLimit(1.4, 1.4), 9, 0, 30_000 * time.Second, nil, 0.001},
		{"medium tenant", descriptor.NewRateLimit(20, 20), 9, 0, 600 * time.Second, nil, 0.001},
		{"large tenant", descriptor.NewRateLimit(230, 230), 9, 0, 600 * time.Second, nil, 0.001},
		{"large tenant with a small burst", descriptor.NewRateLimit(230, 20), 9, 0, 600 * time.Second, nil, 0.001},
		{"one scheduler", descriptor.NewRateLimit(230, 20), 1, 0, 600 * time.Second, nil, 0.001},
		{"lossy links", descriptor.NewRateLimit(50, 50), 9, 0.025, 600 * time.Second, nil, 0.001},
		{"a third of the coordinators cut off", descriptor.NewRateLimit(50, 50), 9, 0, 600 * time.Second, func(f *fleet) { f.disturb(3, len(f.nodes)/3) }, 0.01},
		{"half of the coordinators cut off", descriptor.NewRateLimit(50, 50), 9, 0, 600 * time.Second, func(f *fleet) { f.disturb(3, len(f.nodes)/2) }, 0.01},
		{"the owner is lost", descriptor.NewRateLimit(50, 50), 9, 0, 600 * time.Second, func(f *fleet) { f.nodes[0].down = true }, 0.01},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(rand.New(rand.NewPCG(1, 2)), 12, test.limit, pageTolerance())
			f.loss = test.loss
			for n, i := range f.nodes {
				i.idle = n < 2 || n >= 2+test.schedulers
			}
			c.Assert(f.run(6*time.Second), qt.IsNil)
			for n := range test.schedulers {
				f.nodes[n+2].rate = use * test.limit.PerSecond() / float64(test.schedulers)
			}
			if test.disturb != nil {
				test.disturb(f)
				for n := range 4 {
					f.nodes[n].rate = 0
				}
			}
			c.Assert(f.run(test.span), qt.IsNil)
			share := float64(f.refused) / float64(f.asked)
			t.Logf("%d of %d refused, %d without a token", f.refused, f.asked, f.local)
			c.Assert(share < test.maxRefused, qt.IsTrue, qt.Commentf("%d of %d refused", f.refused, f.asked))
		})
	}
}

// Pattern: a tenant sends several times its limit at every scheduler. Guards against a
// limit that admits much less than it promises, and against refusals that don't say that it
// is used up: such a call waits and comes back soon.
func TestTenantBeyondItsLimitGetsIt(t *testing.T) {
	tests := []struct {
		name   string
		limit  descriptor.RateLimit
		demand float64
	}{
		{"small", descriptor.NewRateLimit(2, 2), 10},
		{"large", descriptor.NewRateLimit(230, 50), 4.5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(rand.New(rand.NewPCG(1, 2)), 12, test.limit, pageTolerance())
			c.Assert(f.run(6*time.Second), qt.IsNil)
			for n := range f.nodes {
				f.nodes[n].rate = test.demand * test.limit.PerSecond() / float64(n+1) / 3.1
			}
			const span = 60 * time.Second
			c.Assert(f.run(span), qt.IsNil)
			t.Logf("%d of %d admitted, limit %.0f", len(f.admitted), f.asked, test.limit.PerSecond()*span.Seconds())
			c.Assert(float64(len(f.admitted)) > 0.95*test.limit.PerSecond()*span.Seconds(), qt.IsTrue)
			c.Assert(float64(f.overLimit) > 0.9*float64(f.refused), qt.IsTrue, qt.Commentf("%d of %d refused as over the limit", f.overLimit, f.refused))
		})
	}
}

// Pattern: the limit of a tenant that sends far more changes. Guards against tokens that
// outlast a lower limit by more than a window, and against a higher one that waits.
func TestChangedLimitTakesEffectWithinAWindow(t *testing.T) {
	tests := []struct {
		name     string
		from, to descriptor.RateLimit
	}{
		{"lower", descriptor.NewRateLimit(200, 200), descriptor.NewRateLimit(10, 10)},
		{"higher", descriptor.NewRateLimit(10, 10), descriptor.NewRateLimit(200, 200)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(rand.New(rand.NewPCG(1, 2)), 12, test.from, pageTolerance())
			for n := range f.nodes {
				f.nodes[n].rate = 100
			}
			c.Assert(f.run(10*time.Second), qt.IsNil)
			f.setLimit(test.to)
			for end := f.now + modelWindow; f.now < end; {
				f.step()
			}
			before := len(f.admitted)
			c.Assert(f.run(modelWindow), qt.IsNil)
			admitted := float64(len(f.admitted) - before)
			c.Assert(admitted > 0.9*test.to.PerSecond()*modelWindow.Seconds(), qt.IsTrue, qt.Commentf("%g admitted", admitted))
		})
	}
}
