package limiter

import (
	"sync/atomic"
	"time"

	"burdocklane/descriptor"
	"burdocklane/ranker"
)

// patienceKey is whose timeouts are learnt together: those of a tenant for a class, so that
// no tenant changes what is taken for a repeat of another one's call.
type patienceKey struct {
	tenant descriptor.TenantName // Or "".
	target time.Duration
}

func newPatienceKey(req *Request) patienceKey {
	key := patienceKey{target: req.target}
	if req.tenant != nil {
		key.tenant = req.tenant.Name()
	}
	return key
}

// patience holds what is known of the timeouts of a class.
type patience struct {
	known atomic.Pointer[ranker.Patience]
}

// aged returns the request with the time that its caller has been waiting already taken
// off the time until the target. A caller only comes back if it was refused in that time.
func (p *Pool) aged(req Request) Request {
	if !p.ranksCalls.Load() || req.timeout <= 0 {
		return req
	}
	found, ok := p.patience.Load(newPatienceKey(&req))
	if !ok {
		return req
	}
	elapsed := found.(*patience).known.Load().Elapsed(req.timeout)
	if !p.hasRefusedWithin(elapsed) {
		return req
	}
	return req.WithTargetDeadline(req.targetDeadline.Add(-elapsed))
}

// learnTimeout learns the timeout of a call, unless its caller may have come back: calls
// have been refused lately.
func (p *Pool) learnTimeout(req *Request) {
	if !p.ranksCalls.Load() || req.timeout <= 0 || p.hasRefusedWithin(req.timeout) {
		return
	}
	key := newPatienceKey(req)
	found, ok := p.patience.Load(key)
	if !ok {
		first := &patience{}
		first.known.Store(&ranker.Patience{})
		found, _ = p.patience.LoadOrStore(key, first)
	}
	learnt := found.(*patience)
	next := learnt.known.Load().With(req.timeout)
	learnt.known.Store(&next)
}

// hasRefusedWithin reports whether a call was refused for lack of room within the last d.
func (p *Pool) hasRefusedWithin(d time.Duration) bool {
	last := time.Duration(p.refusedAt.Load())
	return last != 0 && p.Now()-last <= d
}

// noteRefusal returns the admission, and records when a call was refused for lack of room.
// Refusals by the rate limit of one tenant say nothing of the calls of others.
func (p *Pool) noteRefusal(a Admission) Admission {
	refused, ok := a.(Refused)
	if !ok {
		return a
	}
	switch refused.reason {
	case ReasonOverLimit, ReasonLimitUnknown, ReasonCancelled:
	default:
		p.refusedAt.Store(int64(p.Now()))
	}
	return a
}
