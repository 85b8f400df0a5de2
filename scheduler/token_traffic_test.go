package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"burdocklane/apportioner"
	"burdocklane/charger"
	"burdocklane/descriptor"
	"burdocklane/elector"
	"burdocklane/granter"

	qt "github.com/frankban/quicktest"
)

// datagramOverhead is what IPv4 and UDP add to a datagram.
const datagramOverhead = 28

// trafficHolder is a coordinator that holds tokens.
type trafficHolder struct {
	elector *elector.Elector
	charger *charger.Charger
	urgent  bool
}

// traffic is a fleet whose first coordinator owns the limits. Messages arrive at once.
type traffic struct {
	c          *qt.C
	rng        *rand.Rand
	owner      *granter.Owner
	holders    []*trafficHolder
	candidates []uint32
	terms      granter.Terms
	sent       map[uint32]int // Bytes to the owner, by holder.
	received   map[uint32]int // Bytes from the owner.
	datagrams  int
	calls      int
	waiting    int // Calls that wait for a token.
}

// newTraffic returns a fleet of holders in which tenants have the limit.
func newTraffic(c *qt.C, holders, tenants int, l descriptor.RateLimit) *traffic {
	parts := apportioner.Divide(l, apportioner.NewTolerance(5*time.Second, 0.1, 20))
	capacities := map[uint32]float64{}
	for n := range tenants {
		capacities[uint32(n)] = parts.Capacity()
	}
	t := &traffic{c: c, rng: rand.New(rand.NewPCG(1, 2)), owner: granter.New(1, 1), sent: map[uint32]int{}, received: map[uint32]int{}}
	for n := range holders {
		h := &trafficHolder{elector: elector.New(0, 5*time.Second), charger: charger.New()}
		h.charger.SetTenants(capacities)
		t.holders, t.candidates = append(t.holders, h), append(t.candidates, uint32(n+1))
	}
	t.terms = granter.NewTerms(t.candidates, func(uint32) (apportioner.Parts, bool) { return parts, true })
	return t
}

// run lets the time pass, while each of the active tenants makes calls at random holders.
func (t *traffic) run(from, to time.Duration, active int, perSecond float64) {
	const step = 10 * time.Millisecond
	for now := from; now < to; now += step {
		for n, h := range t.holders {
			t.act(now, uint32(n+1), h)
		}
		for tenant := range active {
			for at := t.rng.ExpFloat64() / perSecond; at < step.Seconds(); at += t.rng.ExpFloat64() / perSecond {
				h := t.holders[t.rng.IntN(len(t.holders))]
				t.calls++
				if _, ok := h.charger.Charge(now, uint32(tenant)).(charger.Charged); !ok {
					t.waiting++
				}
			}
		}
	}
}

// act sends what is due of a holder.
func (t *traffic) act(now time.Duration, id uint32, h *trafficHolder) {
	select {
	case <-h.charger.Urgent():
		h.urgent = true
	default:
	}
	for _, action := range h.elector.Next(now, t.candidates, h.urgent) {
		switch a := action.(type) {
		case elector.Search:
			if a.Candidate() == t.candidates[0] {
				t.exchange(now, id, h, granter.NewRequest(id, 1, 0))
			}
		case elector.Vote:
			h.urgent = false
			demands := h.charger.Collect(now, a.Epoch(), maxDemands, true)
			t.exchange(now, id, h, granter.NewRequest(id, 1, a.Number(), a.Option(), granter.WithDemands(demands)))
		}
	}
}

// exchange counts a request and its reply.
func (t *traffic) exchange(now time.Duration, id uint32, h *trafficHolder, r granter.Request) {
	reply, ok := t.owner.Handle(now, r, t.terms)
	t.c.Assert(ok, qt.IsTrue)
	request, err := encodeTokenRequest(r)
	t.c.Assert(err, qt.IsNil)
	answer, err := encodeTokenReply(reply)
	t.c.Assert(err, qt.IsNil)
	t.sent[id] += len(request) + datagramOverhead
	t.received[id] += len(answer) + datagramOverhead
	t.datagrams++
	if sentAt, ok := h.elector.Receive(now, reply); ok {
		h.charger.Apply(now, sentAt, reply)
	}
}

// Pattern: twelve coordinators; 72 tenants make calls at five eighths of their limits, beside
// many that make none. Guards against tenants without calls that cost messages, and against
// an owner whose traffic grows with them.
func TestTrafficOfRateLimits(t *testing.T) {
	const (
		holders, active = 12, 72
		// 10,000 tenants are named ten times, 200 in a datagram, five datagrams a second.
		warmup, span = 120 * time.Second, 30 * time.Second
	)
	tests := []struct {
		name      string
		tenants   int
		limit     float64 // Calls a second, and the burst.
		active    int
		perSecond float64
		max       float64 // Bytes a second from a holder.
	}{
		{"no calls", active, 32, 0, 0, 300},
		{"10,000 small tenants, no calls", 10_000, 1.4, 0, 0, 300},
		{"active tenants only", active, 32, active, 20, 2000},
		{"10,000 tenants", 10_000, 32, active, 20, 2000},
		{"small active tenants only", active, 1.4, active, 0.875, 1000},
		{"10,000 small tenants", 10_000, 1.4, active, 0.875, 1000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newTraffic(c, holders, test.tenants, descriptor.NewRateLimit(test.limit, test.limit))
			f.run(0, warmup, test.active, test.perSecond)
			clear(f.sent)
			clear(f.received)
			f.calls, f.waiting, f.datagrams = 0, 0, 0
			f.run(warmup, warmup+span, test.active, test.perSecond)
			to, from := 0, 0
			for n := 2; n <= holders; n++ { // The owner's own requests cross no link.
				to, from = to+f.sent[uint32(n)], from+f.received[uint32(n)]
			}
			seconds := span.Seconds()
			t.Logf("owner: %.0f B/s in, %.0f B/s out; another holder: %.0f B/s out, %.0f B/s in; %.0f requests/s; %d of %d calls wait for a token",
				float64(to)/seconds, float64(from)/seconds, float64(to)/seconds/(holders-1), float64(from)/seconds/(holders-1), float64(f.datagrams)/seconds, f.waiting, f.calls)
			c.Assert(float64(to)/seconds/(holders-1) < test.max, qt.IsTrue)
		})
	}
}
