package limiter

import (
	"math"
	"time"

	"burdocklane/descriptor"
	"burdocklane/registrar"
	"burdocklane/tracker"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// coldHolders is the number of instances that may use the allowance of a cold worker at
	// the same time without exceeding the tolerance: the old and the new one, while their
	// lists differ.
	coldHolders = 2
	// coldBurst is the number of calls that may follow each other at once.
	coldBurst = 2
	// coldDelay is how much later one call may arrive at the worker than the next: the time
	// for verification and network.
	coldDelay = 250 * time.Millisecond
	// peerColdLife is how long a worker counts as cold after a peer has said so.
	peerColdLife = 500 * time.Millisecond
)

var (
	coldWorkersTotal   = metrics.NewCounter("burdocklane_workers_turned_cold_total")
	coldCallsTotal     = metrics.NewCounter("burdocklane_cold_calls_total")
	coldPassOversTotal = metrics.NewCounter("burdocklane_cold_pass_overs_total")
)

// ColdTolerance is how many calls a cold worker may get in any second from all instances
// together: a multiple of what it takes, and a number of calls.
type ColdTolerance struct {
	factor float64
	calls  float64
}

// NewColdTolerance returns the tolerance of factor times the calls that a cold worker takes,
// and a number of calls more.
func NewColdTolerance(factor, calls float64) ColdTolerance {
	return ColdTolerance{factor: factor, calls: calls}
}

// WithColdTolerance sets how many calls cold workers may get. By default, as many as they take.
func WithColdTolerance(t ColdTolerance) Option { return func(p *Pool) { p.coldTolerance = t } }

// allowance returns the allowance of one instance for each cold worker. The allowances of
// coldHolders instances remain within the tolerance in any second.
func (t ColdTolerance) allowance(w descriptor.Warmup) tracker.Allowance {
	each := (w.PerSecond()*t.factor + t.calls) / coldHolders
	burst := max(min(coldBurst, each-w.PerSecond()), 1)
	window := (time.Second + coldDelay).Seconds()
	return tracker.NewAllowance(min(w.PerSecond(), (each-burst)/window), burst)
}

// coldLimit limits the calls to cold workers of a service. It is immutable.
type coldLimit struct{ allowance tracker.Allowance }

// SetWarmup sets how the workers warm up. Without a rate, cold workers are not limited. The
// next Update applies it.
func (p *Pool) SetWarmup(w descriptor.Warmup) {
	if w.PerSecond() <= 0 {
		p.coldLimit.Store(nil)
		return
	}
	p.coldLimit.Store(&coldLimit{allowance: p.coldTolerance.allowance(w)})
}

// holding says since when this instance may send calls to the cold workers of its region.
type holding struct {
	isHolder bool // Whether this instance holds the allowances.
	since    time.Duration
}

// nextHolding returns the holding by a list of instances. One instance of each region holds
// the allowances, by the list alone: which instances are alive is seen differently by
// different instances while links fail, which would add up.
func (p *Pool) nextHolding(old holding, instances []registrar.Instance) holding {
	if p.coldLimit.Load() == nil {
		return holding{}
	}
	coordinators := registrar.Coordinators(instances, p.self.Locality().Region())
	owner, ok := registrar.RendezvousOwner(coordinators, string(p.service), "")
	switch {
	case !ok || owner.ID() != p.self.ID():
		return holding{}
	case old.isHolder:
		return old
	}
	return holding{isHolder: true, since: p.Now()}
}

// coldAccess is how this instance may use a worker.
type coldAccess uint8

const (
	accessFree    coldAccess = iota // The worker is not cold, or not limited.
	accessLimited                   // By the allowance of a cold worker, of which a call is left.
	accessSpent                     // The allowance has no call left now.
	accessClosed                    // Another instance holds the allowance of the cold worker.
)

// hasCall reports whether a call may be sent now.
func (a coldAccess) hasCall() bool { return a == accessFree || a == accessLimited }

// coldAccessTo returns how this instance may use the worker now.
func (p *Pool) coldAccessTo(w *tracker.Worker, h holding, now time.Duration) coldAccess {
	limit := p.coldLimit.Load()
	switch {
	case limit == nil || !w.IsCold(now):
		return accessFree
	case !h.isHolder || w.Locality().Region() != p.self.Locality().Region():
		return accessClosed
	case !w.MayCall(limit.allowance, h.since, now):
		return accessSpent
	}
	return accessLimited
}

// takeColdCall takes a call from the allowance of the worker if it is cold. It returns false
// if none is left.
func (p *Pool) takeColdCall(w *tracker.Worker, h holding, now time.Duration) (isCold, ok bool) {
	switch p.coldAccessTo(w, h, now) {
	case accessFree:
		return false, true
	case accessLimited:
		if limit := p.coldLimit.Load(); limit == nil || !w.TakeCall(limit.allowance, h.since, now) {
			return true, false
		}
		coldCallsTotal.Inc()
		return true, true
	case accessSpent, accessClosed:
	}
	return true, false
}

// coldSlots returns how many slots of the worker the calls of its allowance fill that occupy
// one for so long, or infinity if the worker is not limited.
func (p *Pool) coldSlots(w *tracker.Worker, h holding, held, now time.Duration) float64 {
	limit := p.coldLimit.Load()
	switch p.coldAccessTo(w, h, now) {
	case accessClosed:
		return 0
	case accessLimited, accessSpent:
		if limit != nil {
			return limit.allowance.CallsIn(held)
		}
	case accessFree:
	}
	return math.Inf(1)
}

// IsColdLimited reports whether the worker gets calls only from the allowance of a cold one.
func (p *Pool) IsColdLimited(w *tracker.Worker) bool {
	return p.coldLimit.Load() != nil && w.IsCold(p.Now())
}

// RecordWarmup records for how much longer a worker is cold, as its health check says.
func (p *Pool) RecordWarmup(w *tracker.Worker, left time.Duration) {
	if p.coldLimit.Load() == nil {
		return
	}
	if left <= 0 {
		w.EndCold()
		return
	}
	p.markCold(w, left)
}

// RecordPeerCold records that a worker is cold, as a peer has said.
func (p *Pool) RecordPeerCold(w *tracker.Worker) {
	if p.coldLimit.Load() != nil {
		p.markCold(w, peerColdLife)
	}
}

// applyEntry applies the warm-up time in a new entry of a known worker. An entry may have
// been written before a health check was answered, and so never ends the warm-up.
func (p *Pool) applyEntry(w *tracker.Worker, member registrar.Worker) {
	if p.coldLimit.Load() != nil && member.Sequence() > w.Member().Sequence() {
		p.markCold(w, member.ColdFor())
	}
}

// markCold records that the worker is cold for so long at least.
func (p *Pool) markCold(w *tracker.Worker, left time.Duration) {
	now := p.Now()
	if w.ExtendCold(now+left, now) {
		coldWorkersTotal.Inc()
	}
}
