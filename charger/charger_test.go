package charger_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"burdocklane/charger"
	"burdocklane/granter"

	qt "github.com/frankban/quicktest"
)

const (
	tenant   = 7
	capacity = 100
)

// filled returns a charger with tokens of the tenant, granted at the time 0.
func filled(tokens int, exhausted bool) *charger.Charger {
	c := charger.New()
	c.SetTenants(map[uint32]float64{tenant: capacity})
	c.Collect(0, 1, 10, true)
	c.Apply(0, 0, granter.NewReply(1, 1, granter.NewStamp(1, 0), true, []granter.Grant{granter.NewGrant(tenant, tokens, exhausted)}))
	return c
}

type chargedVerdict = charger.Charged

func kindOf(v charger.Verdict) string {
	switch v.(type) {
	case charger.Charged:
		return "charged"
	case charger.OverLimit:
		return "over limit"
	case charger.Short:
		return "short"
	}
	return ""
}

func TestCharge(t *testing.T) {
	tests := []struct {
		name      string
		tokens    int
		exhausted bool
		before    int // Calls that are charged before.
		now       time.Duration
		want      string
	}{
		{"token", 1, false, 0, 0, "charged"},
		{"last token used", 1, false, 1, 0, "short"},
		{"limit used up", 1, true, 1, 0, "over limit"},
		{"just before the end of the tokens", 1, false, 0, granter.TokenLife - 1, "charged"},
		{"after the end of the tokens", 1, false, 0, granter.TokenLife, "short"},
		{"limit used up long ago", 0, true, 0, granter.TokenLife, "short"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := filled(test.tokens, test.exhausted)
			for range test.before {
				c.Charge(0, tenant)
			}
			qt.Assert(t, kindOf(c.Charge(test.now, tenant)), qt.Equals, test.want)
		})
	}
}

// Guards against a token that is counted twice: as used by the owner, and as unused by the
// holder.
func TestRefund(t *testing.T) {
	tests := []struct {
		name     string
		reported bool
		want     string
	}{
		{"before the owner knows", false, "charged"},
		{"after the owner was told", true, "short"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := filled(1, false)
			charged := c.Charge(0, tenant).(charger.Charged)
			if test.reported {
				c.Collect(0, 1, 10, true)
			}
			c.Refund(charged)
			qt.Assert(t, kindOf(c.Charge(0, tenant)), qt.Equals, test.want)
		})
	}
}

// Guards against a refund at the moment of a report: without grants, what a holder reports
// never grows.
func TestRefundsDuringReports(t *testing.T) {
	charger := filled(1<<14, false)
	for range 1 << 14 { // The holder wants to keep the tokens.
		charger.Refund(charger.Charge(0, tenant).(chargedVerdict))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	for range 4 {
		callers.Go(func() {
			for ctx.Err() == nil {
				if v, ok := charger.Charge(0, tenant).(chargedVerdict); ok {
					charger.Refund(v)
				}
			}
		})
	}
	held := 1 << 14
	for n := range 200_000 {
		for _, d := range charger.Collect(time.Duration(n)*time.Microsecond, 1, 10, true) {
			if d.Held() > held {
				t.Fatalf("%d tokens reported after %d", d.Held(), held)
			}
			held = d.Held()
		}
	}
}

// Guards against tokens of a larger limit that stay in use under a smaller one.
func TestSmallerLimitVoidsTokens(t *testing.T) {
	tests := []struct {
		name     string
		capacity float64
		want     string
	}{
		{"smaller", capacity - 1, "short"},
		{"equal", capacity, "charged"},
		{"larger", capacity + 1, "charged"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := filled(10, false)
			c.SetTenants(map[uint32]float64{tenant: test.capacity})
			qt.Assert(t, kindOf(c.Charge(0, tenant)), qt.Equals, test.want)
		})
	}
}

// Guards against a request that names tenants without calls again and again.
func TestRequestsNameOnlyWhatChanged(t *testing.T) {
	c := qt.New(t)
	charger := filled(10, false)
	c.Assert(charger.Collect(time.Millisecond, 1, 10, true), qt.HasLen, 1) // It gives tokens back.
	charger.Apply(time.Millisecond, time.Millisecond, granter.NewReply(1, 2, granter.NewStamp(1, 0), true, []granter.Grant{granter.NewGrant(tenant, 0, false)}))
	c.Assert(charger.Collect(2*time.Millisecond, 1, 10, true), qt.HasLen, 0)
	charger.Charge(3*time.Millisecond, tenant)
	c.Assert(charger.Collect(4*time.Millisecond, 1, 10, true), qt.HasLen, 1)
}

func TestLocalAdmitsInASlidingWindow(t *testing.T) {
	const window = 5 * time.Second
	tests := []struct {
		name  string
		calls int
		at    []time.Duration
		want  []bool
	}{
		{"none", 0, []time.Duration{0}, []bool{false}},
		{"one", 1, []time.Duration{0, window - 1, window}, []bool{true, false, true}},
		{"two", 2, []time.Duration{0, 1, 2, window, window, window + 1}, []bool{true, true, false, true, false, true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := charger.NewLocal(window)
			var got []bool
			for _, at := range test.at {
				got = append(got, l.Admit(at, tenant, test.calls))
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// Guards against an allowance that stays as large as it was under a higher limit, and against
// one that starts again when it changes.
func TestLocalAllowanceChanges(t *testing.T) {
	const window = 5 * time.Second
	tests := []struct {
		name          string
		before, after int
		at            time.Duration // Of the calls after the change.
		want          int           // Of them, how many are admitted.
	}{
		{"smaller, in the window", 8, 2, window / 2, 0},
		{"smaller, after the window", 8, 2, 2 * window, 2},
		{"larger, in the window", 2, 8, window / 2, 6},
		{"larger, after the window", 2, 8, 2 * window, 8},
		{"none any more", 2, 0, 2 * window, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := charger.NewLocal(window)
			for n := range test.before + 1 { // The last one is refused.
				l.Admit(time.Duration(n), tenant, test.before)
			}
			got := 0
			for range 20 {
				if l.Admit(test.at, tenant, test.after) {
					got++
				}
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// BenchmarkCharge measures what a call pays for the check.
func BenchmarkCharge(b *testing.B) {
	c := filled(1<<15, false)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			c.Charge(0, tenant)
		}
	})
}
