package limiter_test

import (
	"context"
	"testing"
	"time"

	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/registrar"

	qt "github.com/frankban/quicktest"
)

const (
	usualTimeout = 30 * time.Second
	shortTimeout = time.Second
	// lateWait is more than a call waits at most that cannot meet its target.
	lateWait = time.Second
)

// Load: a service is full, and a call comes that has far less time than others. Only where
// its caller may have come back it may be ranked as late.
func TestRepeatsAreRecognised(t *testing.T) {
	one, other := descriptor.NewTenant("one"), descriptor.NewTenant("other")
	tests := []struct {
		name    string
		learnt  *descriptor.Tenant // Whose calls have the usual timeout.
		refused limiter.Reason     // Of the call before.
		tenant  *descriptor.Tenant
		timeout time.Duration
		isLate  bool
	}{
		{"a repeat", &one, limiter.ReasonNoRoom, &one, shortTimeout, true},
		{"a repeat without a tenant", nil, limiter.ReasonNoRoom, nil, shortTimeout, true},
		{"the usual timeout", &one, limiter.ReasonNoRoom, &one, usualTimeout, false},
		{"other tenants have more time", &other, limiter.ReasonNoRoom, &one, shortTimeout, false},
		{"no call was refused", &one, "", &one, shortTimeout, false},
		{"a call beyond its rate limit was refused", &one, limiter.ReasonOverLimit, &one, shortTimeout, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newPoolThatHasLearnt(c, test.learnt, test.refused)
			reportAll(p, 3, 1)
			if test.refused == limiter.ReasonNoRoom {
				now := time.Now()
				hopeless := limiter.NewRequest(longTarget, now.Add(time.Millisecond)).WithTargetDeadline(now)
				refused, ok := p.Acquire(context.Background(), hopeless).(limiter.Refused)
				c.Assert(ok, qt.IsTrue)
				c.Assert(refused.Reason(), qt.Equals, limiter.ReasonNoRoom)
			}
			request := newRankedRequest(longTarget, longTarget, limiter.WithTenant(test.tenant, true), limiter.WithTimeout(test.timeout))
			wait, ok := p.Preview(request).Outlook().(limiter.WouldWait)
			c.Assert(ok, qt.IsTrue)
			c.Assert(wait.UpTo() < lateWait, qt.Equals, test.isLate, qt.Commentf("it would wait up to %v", wait.UpTo()))
		})
	}
}

// newPoolThatHasLearnt returns a pool of one worker that knows the usual timeouts of the
// tenant's calls. If refused is ReasonOverLimit, its last call was refused for that.
func newPoolThatHasLearnt(c *qt.C, tenant *descriptor.Tenant, refused limiter.Reason) *limiter.Pool {
	isOverLimit := false
	here := registrar.NewLocality("r", "z")
	p := limiter.New("s", registrar.NewInstance("i", "", "", here, false), limiter.WithPolicy(picker.ReportedLoad{}),
		limiter.WithAssigner(func(context.Context, *limiter.Pool, limiter.Request) limiter.Assignment {
			if isOverLimit {
				return limiter.NewOverLimit(time.Second)
			}
			return limiter.Undecided{}
		}))
	p.Update([]registrar.Worker{registrar.NewWorker("w", "s", "", here, 3, false)}, nil)
	p.SetRanksCalls(true)
	for range 30 {
		reportAll(p, 0, 1)
		request := newRankedRequest(longTarget, longTarget, limiter.WithTenant(tenant, true), limiter.WithTimeout(usualTimeout))
		granted, ok := p.Acquire(context.Background(), request).(limiter.Granted)
		c.Assert(ok, qt.IsTrue)
		p.RecordAnswer(granted, 50*time.Millisecond, false)
		granted.Release()
	}
	if isOverLimit = refused == limiter.ReasonOverLimit; isOverLimit {
		_, ok := p.Acquire(context.Background(), newRankedRequest(longTarget, longTarget)).(limiter.Refused)
		c.Assert(ok, qt.IsTrue)
	}
	return p
}
