package ranker_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"burdocklane/descriptor"
	"burdocklane/ranker"
	"burdocklane/sharer"
)

// kind is a kind of call. Callers repeat a refused call twice.
type kind struct {
	name     string
	priority int
	target   time.Duration
	deadline time.Duration
	work     time.Duration
	share    float64 // Of the room, at a load of 1.
	tenant   *descriptor.Tenant
}

// worth is what an answer on time is worth. A late one is worth an eighth of that.
func (k *kind) worth() float64 { return math.Pow(0.25, float64(k.priority)) }

// result is what became of the calls of a kind.
type result struct{ asked, onTime, late int }

func (r result) onTimeShare() float64 { return float64(r.onTime) / float64(max(r.asked, 1)) }

func (r result) servedShare() float64 { return float64(r.onTime+r.late) / float64(max(r.asked, 1)) }

// call is a call that waits for a slot.
type call struct {
	kind    *kind
	first   time.Duration // When its caller sent it for the first time.
	at      time.Duration
	timeout time.Duration // What its caller has left.
	tries   int
	limit   time.Duration // When it stops waiting.
	rank    ranker.Rank
	arrival int
}

// order decides which of the waiting calls gets a slot, and when a call is refused.
type order interface{ order() }

// byTarget is the order without ranks: the earliest target first, and a short wait.
type byTarget struct{}

// byRank is the order by rank.
type byRank struct{}

func (byTarget) order() {}
func (byRank) order()   {}

// play is a service with a number of slots, in virtual time.
type play struct {
	order    order
	from     time.Duration
	rng      *rand.Rand
	arriving *rand.Rand // Of the first requests, so that they are the same in each order.
	now      time.Duration
	waiting  []*call
	busy     []time.Duration // Until when each slot is taken.
	coming   []*call         // Callers that return, in order of time.
	results  map[string]*result
	patience map[string]ranker.Patience
	shares   sharer.Shares
	kinds    sharer.Kinds
	meanWork time.Duration
	arrivals int
}

const (
	playTime = 12 * time.Second
	tick     = time.Millisecond
	slots    = 20
)

// run plays the kinds at the load, which may differ in time, and returns the results of the
// calls that were first sent after the given time.
func run(o order, kinds []*kind, from time.Duration, load func(k *kind, at time.Duration) float64) map[string]*result {
	p := &play{
		order: o, from: from, meanWork: kinds[0].work, rng: rand.New(rand.NewPCG(7, 11)), arriving: rand.New(rand.NewPCG(3, 5)), busy: make([]time.Duration, slots),
		results: map[string]*result{}, patience: map[string]ranker.Patience{},
	}
	for _, k := range kinds {
		p.results[k.name] = &result{}
	}
	for ; p.now < playTime; p.now += tick {
		for _, k := range kinds {
			perSecond := load(k, p.now) * k.share * slots / k.work.Seconds()
			if p.arriving.Float64() < perSecond*tick.Seconds() {
				timeout := time.Duration((0.85 + 0.15*p.arriving.Float64()) * float64(k.deadline))
				if p.now >= from {
					p.results[k.name].asked++
				}
				p.arrive(&call{kind: k, first: p.now, timeout: timeout})
			}
		}
		for len(p.coming) > 0 && p.coming[0].at <= p.now {
			back := p.coming[0]
			p.coming = p.coming[1:]
			p.arrive(back)
		}
		p.expire()
		p.grant()
	}
	return p.results
}

func (p *play) arrive(c *call) {
	p.arrivals++
	c.at, c.arrival = p.now, p.arrivals
	switch p.order.(type) {
	case byTarget:
		c.limit = p.now + ranker.LateWait(c.kind.target)
	case byRank:
		if !p.rank(c) {
			p.refuse(c)
			return
		}
	}
	at, _ := slices.BinarySearchFunc(p.waiting, c, p.compare)
	p.waiting = slices.Insert(p.waiting, at, c)
}

// rank ranks the call and reports whether it may wait.
func (p *play) rank(c *call) bool {
	known := p.patience[c.kind.name]
	used := known.Elapsed(c.timeout)
	if c.tries == 0 {
		p.patience[c.kind.name] = known.With(c.timeout)
	}
	ranked := ranker.NewCall(c.kind.priority, c.kind.target-used, c.timeout, c.kind.work).
		WithLead(p.shares.Lead(c.kind.tenant, p.now))
	kind := sharer.NewKind(c.kind.priority, c.kind.target)
	if used == 0 {
		p.kinds.Ask(kind, p.now)
	}
	if p.kinds.IsStarved(kind) {
		ranked = ranked.AsStarved()
	}
	p.meanWork += time.Duration(0.05 * float64(c.kind.work-p.meanWork))
	c.rank = ranked.RankAt(p.now, p.meanWork)
	c.limit = p.now + ranked.MaxWait(c.kind.target)
	_, refuse := ranker.Decide(ranked, p.room(c)).(ranker.Refuse)
	return !refuse
}

func (p *play) room(c *call) ranker.Room {
	ahead, _ := slices.BinarySearchFunc(p.waiting, c, p.compare)
	return ranker.NewRoom(ahead, p.meanWork/slots)
}

func (p *play) compare(a, b *call) int {
	switch p.order.(type) {
	case byTarget:
		return int(a.at + a.kind.target - b.at - b.kind.target)
	case byRank:
		if b.rank.Before(a.rank) {
			return 1
		}
	}
	return -1
}

func (p *play) expire() {
	p.waiting = slices.DeleteFunc(p.waiting, func(c *call) bool {
		expired := c.limit < p.now
		if expired {
			p.refuse(c)
		}
		return expired
	})
}

// refuse sends the caller away. It comes back if it has time and patience.
func (p *play) refuse(c *call) {
	after := 50*time.Millisecond + time.Duration(p.rng.Int64N(int64(150*time.Millisecond)))
	left := c.timeout - (p.now - c.at)
	if _, ranked := p.order.(byRank); ranked {
		after = ranker.ReturnAfter(p.room(c).Wait(), left, p.rng.Float64())
	}
	const retries = 2
	if c.tries == retries || left <= after {
		return
	}
	back := &call{kind: c.kind, first: c.first, at: p.now + after, timeout: left - after, tries: c.tries + 1}
	at, _ := slices.BinarySearchFunc(p.coming, back, func(a, b *call) int { return int(a.at - b.at) })
	p.coming = slices.Insert(p.coming, at, back)
}

func (p *play) grant() {
	for i := range p.busy {
		if p.busy[i] > p.now || len(p.waiting) == 0 {
			continue
		}
		c := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.busy[i] = p.now + time.Duration((0.7+0.6*p.rng.Float64())*float64(c.kind.work))
		p.kinds.Serve(sharer.NewKind(c.kind.priority, c.kind.target))
		p.shares.Charge(c.kind.tenant, c.kind.work, slots, p.now)
		p.answer(c, p.busy[i])
	}
}

func (p *play) answer(c *call, at time.Duration) {
	r := p.results[c.kind.name]
	switch {
	case c.first < p.from:
	case at-c.first <= c.kind.target:
		r.onTime++
	case at-c.at <= c.timeout:
		r.late++
	}
}

// payoff returns what the answers are worth.
func payoff(kinds []*kind, results map[string]*result) float64 {
	sum := 0.0
	for _, k := range kinds {
		sum += k.worth() * (float64(results[k.name].onTime) + float64(results[k.name].late)/8)
	}
	return sum
}
