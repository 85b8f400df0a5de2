package granter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"burdocklane/apportioner"
	"burdocklane/charger"
	"burdocklane/descriptor"
	"burdocklane/elector"
	"burdocklane/granter"

	"pgregory.net/rapid"
)

const (
	modelStep    = 10 * time.Millisecond
	modelWindow  = 5 * time.Second
	modelTenant  = 7
	maxDemands   = 100
	modelMembers = 7
	modelWait    = 30 * time.Millisecond
)

// fleet is a model of coordinators with a network between them, for one tenant.
type fleet struct {
	rng       *rand.Rand
	now       time.Duration
	limit     descriptor.RateLimit
	tolerance apportioner.Tolerance
	nodes     []*node
	mail      []mail
	cut       map[[2]int]bool
	loss      float64
	admitted  []time.Duration // Of all calls that were let through.
	local     int
	asked     int
	refused   int
	overLimit int  // Of the refused ones.
	double    bool // Deliver each reply twice to the tokens: a deliberate double grant.
}

// node is a coordinator: an owner and a holder, and the instances behind it that may admit
// a few calls without a token.
type node struct {
	id      uint32
	started time.Duration
	process uint32
	frozen  bool
	down    bool
	members []uint32
	owner   *granter.Owner
	elector *elector.Elector
	charger *charger.Charger
	local   *charger.Local
	rate    float64 // Calls a second.
	urgent  bool
	waiting []time.Duration // When calls that wait for a token are made again.
	idle    bool            // It schedules no service.
}

// mail is a message on its way.
type mail struct {
	from, to int
	at       time.Duration
	request  *granter.Request
	reply    *granter.Reply
}

func newFleet(rng *rand.Rand, members int, limit descriptor.RateLimit, tolerance apportioner.Tolerance) *fleet {
	f := &fleet{rng: rng, limit: limit, tolerance: tolerance, cut: map[[2]int]bool{}}
	var ids []uint32
	for n := range members {
		ids = append(ids, uint32(n+1))
	}
	for n := range members {
		f.nodes = append(f.nodes, &node{id: ids[n], members: ids, local: charger.NewLocal(modelWindow)})
		f.start(n)
	}
	return f
}

func (f *fleet) parts() apportioner.Parts { return apportioner.Divide(f.limit, f.tolerance) }

// start starts a node's process, which knows nothing of an earlier one.
func (f *fleet) start(n int) {
	i := f.nodes[n]
	i.down, i.frozen, i.started = false, false, f.now
	i.process++
	i.waiting = nil
	i.owner = granter.New(i.id, i.id<<16|i.process)
	i.elector = elector.New(0, modelWindow)
	i.charger = charger.New()
	i.charger.SetTenants(map[uint32]float64{modelTenant: f.parts().Capacity()})
}

func (f *fleet) setLimit(l descriptor.RateLimit) {
	f.limit = l
	for _, i := range f.nodes {
		i.charger.SetTenants(map[uint32]float64{modelTenant: f.parts().Capacity()})
	}
}

func (f *fleet) send(m mail) {
	if m.from != m.to && (f.cut[[2]int{min(m.from, m.to), max(m.from, m.to)}] || f.rng.Float64() < f.loss) {
		return
	}
	m.at = f.now
	if m.from != m.to {
		m.at += time.Duration(1+f.rng.IntN(20)) * time.Millisecond
	}
	f.mail = append(f.mail, m)
}

// step lets the time pass by modelStep.
func (f *fleet) step() {
	f.now += modelStep
	due := f.mail
	f.mail = nil
	for _, m := range due {
		if to := f.nodes[m.to]; m.at > f.now || to.frozen && !to.down {
			f.mail = append(f.mail, m)
			continue
		}
		f.deliver(m)
	}
	for n, i := range f.nodes {
		if i.down || i.frozen {
			continue
		}
		f.retry(n)
		f.offer(n)
		f.act(n)
	}
}

func (f *fleet) deliver(m mail) {
	i := f.nodes[m.to]
	now := f.now - i.started
	switch {
	case i.down:
	case m.request != nil:
		terms := granter.NewTerms(i.members, func(uint32) (apportioner.Parts, bool) { return f.parts(), true })
		if reply, ok := i.owner.Handle(now, *m.request, terms); ok {
			f.send(mail{from: m.to, to: m.from, reply: &reply})
		}
	default:
		if sentAt, ok := i.elector.Receive(now, *m.reply); ok {
			i.charger.Apply(now, sentAt, *m.reply)
			if f.double {
				i.charger.Apply(now, sentAt, *m.reply)
			}
		}
	}
}

// act sends what the node's elector says.
func (f *fleet) act(n int) {
	i := f.nodes[n]
	now := f.now - i.started
	select {
	case <-i.charger.Urgent():
		i.urgent = true
	default:
	}
	for _, action := range i.elector.Next(now, i.members, i.urgent) {
		switch a := action.(type) {
		case elector.Search:
			request := granter.NewRequest(i.id, i.process, 0)
			f.send(mail{from: n, to: int(a.Candidate()) - 1, request: &request})
		case elector.Vote:
			i.urgent = false
			demands := i.charger.Collect(now, a.Epoch(), maxDemands, !i.idle)
			request := granter.NewRequest(i.id, i.process, a.Number(), a.Option(), granter.WithDemands(demands))
			f.send(mail{from: n, to: int(a.Owner()) - 1, request: &request})
		}
	}
}

// offer lets the node's calls arrive, at random times.
func (f *fleet) offer(n int) {
	i := f.nodes[n]
	if i.rate == 0 {
		return
	}
	for at := f.rng.ExpFloat64() / i.rate; at < modelStep.Seconds(); at += f.rng.ExpFloat64() / i.rate {
		f.call(n)
	}
}

// call makes a call, which waits once for a token that may be on its way.
func (f *fleet) call(n int) {
	f.asked++
	if short, ok := f.charge(n); ok && short.IsPending() {
		f.nodes[n].waiting = append(f.nodes[n].waiting, f.now+modelWait)
	} else if ok {
		f.admitLocally(n)
	}
}

// retry makes the calls again that have waited.
func (f *fleet) retry(n int) {
	i := f.nodes[n]
	for len(i.waiting) > 0 && i.waiting[0] <= f.now {
		i.waiting = i.waiting[1:]
		if _, ok := f.charge(n); ok {
			f.admitLocally(n)
		}
	}
}

// charge counts a call that is admitted or beyond the limit, and returns any other verdict.
func (f *fleet) charge(n int) (charger.Short, bool) {
	i := f.nodes[n]
	switch v := i.charger.Charge(f.now-i.started, modelTenant).(type) {
	case charger.Charged:
		f.admitted = append(f.admitted, f.now)
	case charger.OverLimit:
		f.refused++
		f.overLimit++
	case charger.Short:
		return v, true
	}
	return charger.Short{}, false
}

func (f *fleet) admitLocally(n int) {
	if !f.nodes[n].local.Admit(f.now, modelTenant, f.parts().LocalOf(n, len(f.nodes))) {
		f.refused++
		return
	}
	f.local++
	f.admitted = append(f.admitted, f.now)
}

// run lets the time pass and checks the bound at each step.
func (f *fleet) run(d time.Duration) error {
	for end := f.now + d; f.now < end; {
		f.step()
		from, _ := slices.BinarySearch(f.admitted, f.now-modelWindow+1)
		if calls, bound := len(f.admitted)-from, f.tolerance.Bound(f.limit); float64(calls) > bound && calls > 1 {
			return &boundError{at: f.now, calls: calls, bound: bound}
		}
	}
	return nil
}

// boundError reports a window with too many calls.
type boundError struct {
	at    time.Duration
	calls int
	bound float64
}

func (e *boundError) Error() string {
	return fmt.Sprintf("%d calls in the window to %s, the bound is %g", e.calls, e.at, e.bound)
}

func pageTolerance() apportioner.Tolerance { return apportioner.NewTolerance(modelWindow, 0.1, 20) }

// Guards against more calls than the bound while coordinators are cut off, freeze, restart
// and take over from each other, and the demand jumps.
func TestAllInstancesKeepToTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		limit := descriptor.NewRateLimit(rapid.SampledFrom([]float64{1.4, 20, 200}).Draw(rt, "rate"), rapid.SampledFrom([]float64{1, 15, 200, 800}).Draw(rt, "burst"))
		tolerance := rapid.SampledFrom([]apportioner.Tolerance{{}, pageTolerance()}).Draw(rt, "tolerance")
		members := rapid.IntRange(modelMembers-1, modelMembers).Draw(rt, "members") // Halves are no majority.
		f := newFleet(rng, members, limit, tolerance)
		for range rapid.IntRange(1, 40).Draw(rt, "events") {
			f.disturb(rapid.IntRange(0, 8).Draw(rt, "event"), rapid.IntRange(0, members-1).Draw(rt, "node"))
			if err := f.run(time.Duration(rapid.IntRange(1, 300).Draw(rt, "steps")) * modelStep); err != nil {
				rt.Fatal(err)
			}
		}
	})
}

// disturb changes the state of a node, of its links or of the demand.
func (f *fleet) disturb(event, n int) {
	i := f.nodes[n]
	switch event {
	case 0:
		i.frozen = !i.frozen
	case 1:
		i.down = true
	case 2:
		f.start(n)
	case 3: // Split the fleet in two.
		for a := range f.nodes {
			for b := range a {
				f.cut[[2]int{b, a}] = (a < n) != (b < n)
			}
		}
	case 4: // Cut one off.
		for other := range f.nodes {
			f.cut[[2]int{min(n, other), max(n, other)}] = true
		}
	case 5:
		clear(f.cut)
	case 6:
		i.rate = 0
	case 7:
		i.rate = f.limit.PerSecond()
	case 8:
		for _, i := range f.nodes {
			i.rate = f.limit.PerSecond() / 2
		}
	}
}

// Guards against a model that would not see a fault: tokens that are granted twice break
// the bound.
func TestDoubleGrantIsSeen(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 1)), modelMembers, descriptor.NewRateLimit(200, 200), pageTolerance())
	f.double = true
	f.disturb(8, 0)
	if err := f.run(20 * time.Second); err == nil {
		t.Fatal("a double grant was not seen")
	}
}
