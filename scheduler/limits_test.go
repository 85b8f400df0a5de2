package scheduler_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/registrar"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// limited starts a region whose only tenant has the limit, and returns the tenant.
func limited(c *qt.C, instances int, l descriptor.RateLimit) (*region, *descriptor.Tenant) {
	tenant := descriptor.NewTenant("t", descriptor.WithRateLimit(l))
	r := newRegionOf(c, instances, 20, []descriptor.Tenant{tenant})
	return r, &tenant
}

// call requests an assignment for a call of the tenant and ends it at once. It returns
// whether the call was admitted.
func (r *region) call(instance int, tenant *descriptor.Tenant) bool {
	now := time.Now()
	request := limiter.NewRequest(time.Second, now.Add(10*time.Second), limiter.WithTenant(tenant, true)).WithTargetDeadline(now.Add(time.Second))
	switch a := r.schedulers[instance].Assign(context.Background(), r.pools[instance], request).(type) {
	case limiter.Assigned:
		a.ReportOutcome(limiter.OutcomeSuccess)
	case limiter.HeldSlot:
		a.Granted().Release()
	case limiter.Undecided:
	default:
		return false
	}
	return true
}

// Pattern: a tenant sends far more than its limit at every instance. Guards against limits
// that each instance applies by itself, and against ones that admit nothing.
func TestLimitHoldsForAllInstancesTogether(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	limit := descriptor.NewRateLimit(50, 10)
	r, tenant := limited(c, 4, limit)
	const span = 3 * time.Second
	admitted := 0
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for i := range r.schedulers {
			if r.call(i, tenant) {
				admitted++
			}
		}
	}
	c.Assert(float64(admitted) <= limit.PerSecond()*span.Seconds()+limit.Burst()+1, qt.IsTrue, qt.Commentf("%d admitted", admitted))
	c.Assert(admitted > 0, qt.IsTrue)
}

// Guards against calls that pass without a limit because the instance that charges them does
// not answer.
func TestCallIsNotAdmittedWithoutAScheduler(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	r, tenant := limited(c, 2, descriptor.NewRateLimit(1000, 1000))
	r.awaitTokens(c, tenant)
	r.schedulers[0].Close()
	r.schedulers[1].Close()
	for range 20 {
		c.Assert(r.call(0, tenant) && r.call(1, tenant), qt.IsFalse)
	}
	c.Assert(r.call(0, &descriptor.Tenant{}), qt.IsTrue)
}

// awaitTokens waits until calls of the tenant find tokens.
func (r *region) awaitTokens(c *qt.C, tenant *descriptor.Tenant) {
	for end := time.Now().Add(5 * time.Second); !r.call(0, tenant); time.Sleep(10 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("no tokens after 5 s"))
	}
}

// Guards against a service that is down for tenants with a limit while its scheduler does
// not answer: the scheduler's successor charges the calls.
func TestSuccessorChargesCalls(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	r, tenant := limited(c, 3, descriptor.NewRateLimit(1000, 1000))
	r.awaitTokens(c, tenant)
	lost := r.schedulerIndex("s")
	r.schedulers[lost].Close()
	other := (lost + 1) % len(r.schedulers)
	for end := time.Now().Add(5 * time.Second); !r.call(other, tenant); {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("no call was admitted"))
	}
}

// schedulerIndex returns the index of the service's scheduler.
func (r *region) schedulerIndex(service string) int {
	owner, _ := registrar.RendezvousOwner(r.instances, service, "")
	return slices.IndexFunc(r.instances, func(i registrar.Instance) bool { return i.ID() == owner.ID() })
}

// Guards against a preview that shows a limit of which the instance knows nothing, or uses it.
func TestLimitLeft(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := qt.New(t)
	r, tenant := limited(c, 1, descriptor.NewRateLimit(1000, 1000))
	_, known := r.schedulers[0].LimitLeft(&descriptor.Tenant{})
	c.Assert(known, qt.IsFalse)
	r.awaitTokens(c, tenant)
	left, known := r.schedulers[0].LimitLeft(tenant)
	c.Assert(known && left > 0, qt.IsTrue)
}
