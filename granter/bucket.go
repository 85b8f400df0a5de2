package granter

import (
	"math"
	"time"

	"burdocklane/apportioner"
)

// bucket is a tenant's token bucket. Tokens that holders have not used yet count as tokens
// of the bucket: it fills up only as far as its capacity leaves room beside them.
type bucket struct {
	level   float64
	minted  time.Duration // The owner's minted time up to which tokens were added.
	entries map[uint32]*entry
	isNew   bool // No demand was answered since the owner was confirmed.
}

// entry is what a holder was last known to have and to want.
type entry struct {
	held   int
	wanted int
}

// refill adds the tokens for the time that the owner has minted since the last refill.
func (b *bucket) refill(minted time.Duration, p apportioner.Parts, capacity float64) {
	b.level += p.PerSecond() * (minted - b.minted).Seconds()
	b.minted = minted
	b.level = max(min(b.level, capacity-float64(b.held())), 0)
}

// held returns the number of tokens that the holders have.
func (b *bucket) held() int {
	held := 0
	for _, e := range b.entries {
		held += e.held
	}
	return held
}

// wanted returns the number of tokens that the holders would have.
func (b *bucket) wanted() int {
	wanted := 0
	for _, e := range b.entries {
		wanted += e.wanted
	}
	return wanted
}

// record stores what a holder has and wants.
func (b *bucket) record(holder uint32, d Demand) {
	e := b.entries[holder]
	if e == nil {
		e = &entry{}
		b.entries[holder] = e
	}
	e.held, e.wanted = d.Held(), d.Wanted()
}

// grant gives the holder tokens up to what it wants. Where there are too few for all, each
// holder gets a part by what it wants, and none gets a second token while another one that
// wants tokens has none. It also returns whether the tenant has used up its limit.
func (b *bucket) grant(holder uint32, maxHeld, maxPart float64) (tokens int, exhausted bool) {
	e := b.entries[holder]
	if e.wanted == 0 {
		return 0, false
	}
	part := float64(e.wanted) / float64(b.wanted())
	limit := min(e.wanted, int(math.Ceil(maxHeld*part)), max(int(maxPart), 1))
	room := int(maxHeld) - b.held()
	if e.held > 0 { // One token is left for each holder without any.
		room -= b.countWithoutTokens()
	}
	available := min(int(b.level), int(math.Ceil(b.level*part)))
	tokens = max(min(limit-e.held, room, available), 0)
	if e.held == 0 && tokens > 1 { // The others without tokens come before its second one.
		tokens = max(min(tokens, room-b.countWithoutTokens()+1), 1)
	}
	e.held += tokens
	b.level -= float64(tokens)
	// Holders with half of the tokens that they may have show a tenant within its limit.
	return tokens, available < limit-e.held+tokens && float64(b.held()) < maxHeld/2
}

// countWithoutTokens returns the number of holders that want tokens and have none.
func (b *bucket) countWithoutTokens() int {
	count := 0
	for _, e := range b.entries {
		if e.held == 0 && e.wanted > 0 {
			count++
		}
	}
	return count
}
