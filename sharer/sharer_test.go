package sharer_test

import (
	"fmt"
	"testing"
	"time"

	"burdocklane/descriptor"
	"burdocklane/sharer"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	held  = 100 * time.Millisecond
	slots = 10
)

// tenant is a tenant with a rate limit, which gets so many calls a second.
type tenant struct {
	name   string
	limit  float64
	calls  int
	beyond bool // Whether it is given more than its share.
}

// Load: the tenants of a service with ten slots, each of which takes ten calls a second.
func TestLead(t *testing.T) {
	tests := []struct {
		name    string
		tenants []tenant
	}{
		{"all within their shares", []tenant{{"a", 0, 50, false}, {"b", 0, 50, false}}},
		{"one far above its share", []tenant{{"a", 0, 90, true}, {"b", 0, 10, false}}},
		{"one far above, in proportion to its limit", []tenant{{"a", 90, 90, false}, {"b", 10, 10, false}}},
		{"one without a limit beside limited ones", []tenant{{"a", 0, 30, false}, {"b", 50, 30, false}, {"c", 50, 30, false}}},
		{"one alone", []tenant{{"a", 0, 100, false}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var shares sharer.Shares
			const seconds = 3
			for now := time.Duration(0); now < seconds*time.Second; now += 10 * time.Millisecond {
				tick := int(now / (10 * time.Millisecond))
				for _, each := range test.tenants {
					d := each.descriptor()
					for range (tick+1)*each.calls/100 - tick*each.calls/100 {
						shares.Charge(&d, held, slots, now)
					}
				}
			}
			for _, each := range test.tenants {
				d := each.descriptor()
				lead := shares.Lead(&d, seconds*time.Second)
				c.Assert(lead > held, qt.Equals, each.beyond, qt.Commentf("%s leads by %v", each.name, lead))
			}
		})
	}
}

func (t tenant) descriptor() descriptor.Tenant {
	if t.limit == 0 {
		return descriptor.NewTenant(descriptor.TenantName(t.name))
	}
	return descriptor.NewTenant(descriptor.TenantName(t.name), descriptor.WithRateLimit(descriptor.NewRateLimit(t.limit, t.limit)))
}

// Guards against a burst that counts against a tenant for longer than it lasts, and against
// tenants that are never forgotten.
func TestLeadIsBoundedAndFades(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var shares sharer.Shares
		now := time.Duration(0)
		for range rapid.IntRange(1, 3000).Draw(t, "calls") {
			d := descriptor.NewTenant(descriptor.TenantName(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "tenant"))))
			shares.Charge(&d, held, slots, now)
			now += time.Duration(rapid.IntRange(0, 5).Draw(t, "pause")) * time.Millisecond
			if lead := shares.Lead(&d, now); lead < 0 || lead > time.Second {
				t.Fatalf("the lead is %v", lead)
			}
			if lead := shares.Lead(&d, now+time.Second); lead != 0 {
				t.Fatalf("the lead is still %v after a second", lead)
			}
		}
	})
}

// Load: more tenants than have a clock of their own. The others share one, and once the
// first have gone they get their own.
func TestTenantsAreBounded(t *testing.T) {
	c := qt.New(t)
	var shares sharer.Shares
	charge := func(first, last int, now time.Duration) {
		for n := first; n < last; n++ {
			d := descriptor.NewTenant(descriptor.TenantName(fmt.Sprint(n)))
			shares.Charge(&d, time.Microsecond, slots, now)
		}
	}
	charge(0, 5000, 0)
	c.Assert(shares.Tenants() <= 1024, qt.IsTrue)
	charge(5000, 5001, 10*time.Second)
	charge(5000, 5001, 11*time.Second)
	c.Assert(shares.Tenants(), qt.Equals, 1)
}

// Load: a kind of call that is hardly served while others are.
func TestStarvedKinds(t *testing.T) {
	kind, other := sharer.NewKind(2, time.Second), sharer.NewKind(0, time.Second)
	tests := []struct {
		name                 string
		asked, served        int
		otherAsked, otherHas int
		want                 bool
	}{
		{"as often as all", 100, 50, 100, 50, false},
		{"half as often", 100, 40, 100, 80, false},
		{"hardly ever", 100, 5, 100, 90, true},
		{"too few to say", 4, 0, 100, 90, false},
		{"nobody is served", 100, 0, 100, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var kinds sharer.Kinds
			record := func(k sharer.Kind, asked, served int) {
				for range asked {
					kinds.Ask(k, 0)
				}
				for range served {
					kinds.Serve(k)
				}
			}
			record(kind, test.asked, test.served)
			record(other, test.otherAsked, test.otherHas)
			c.Assert(kinds.IsStarved(kind), qt.Equals, test.want)
			for n := range 10 { // It is forgotten in time.
				kinds.Ask(other, time.Duration(n)*10*time.Second)
			}
			c.Assert(kinds.IsStarved(kind), qt.IsFalse)
		})
	}
}
