package limiter

import (
	"sync/atomic"
	"time"

	"burdocklane/ranker"
)

// patience holds what is known of the timeouts of a class.
type patience struct {
	known atomic.Pointer[ranker.Patience]
}

// aged returns the request with the time that its caller has been waiting already taken
// off the time until the target. Timeouts are learnt only while no call is refused: then
// none of the callers has come back.
func (p *Pool) aged(req Request) Request {
	if !p.ranksCalls.Load() || req.timeout <= 0 {
		return req
	}
	found, ok := p.patience.Load(req.target)
	if !ok {
		found, _ = p.patience.LoadOrStore(req.target, &patience{})
	}
	learnt := found.(*patience)
	known := learnt.known.Load()
	if known == nil {
		known = &ranker.Patience{}
	}
	if p.refusedAt.Load() == 0 || p.Now()-time.Duration(p.refusedAt.Load()) > req.timeout {
		next := known.With(req.timeout)
		learnt.known.Store(&next)
	}
	return req.WithTargetDeadline(req.targetDeadline.Add(-known.Elapsed(req.timeout)))
}

// noteRefusal records when a call was refused.
func (p *Pool) noteRefusal(a Admission) Admission {
	if _, ok := a.(Refused); ok {
		p.refusedAt.Store(int64(p.Now()))
	}
	return a
}
