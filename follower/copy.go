package follower

import (
	"cmp"
	"slices"
	"time"

	"burdocklane/storer"
)

// Copy is what is known of the store's keys. It is a plain value without a
// clock: until a time that it is told, keys that have gone are kept as missing.
type Copy struct {
	pairs   map[string]storer.Pair
	missing map[string]struct{}
	until   time.Time
}

// NewCopy returns a copy without keys.
func NewCopy() *Copy {
	return &Copy{pairs: map[string]storer.Pair{}, missing: map[string]struct{}{}}
}

// Forgive keeps keys that go before the time until then: they may come back.
func (c *Copy) Forgive(until time.Time) { c.until = until }

// Replace takes over a whole reading. Keys that it lacks are gone, or missing
// while they are forgiven.
func (c *Copy) Replace(pairs []storer.Pair) {
	present := make(map[string]struct{}, len(pairs))
	for _, pair := range pairs {
		present[pair.Key()] = struct{}{}
		c.put(pair)
	}
	for key := range c.pairs {
		if _, ok := present[key]; !ok {
			c.remove(key)
		}
	}
}

// Apply takes over changes, and tells whether there were any.
func (c *Copy) Apply(events []storer.Event) bool {
	for _, event := range events {
		if event.Deleted() {
			if event.Pair().Revision() > c.pairs[event.Pair().Key()].Revision() {
				c.remove(event.Pair().Key())
			}
			continue
		}
		c.put(event.Pair())
	}
	return len(events) > 0
}

func (c *Copy) put(pair storer.Pair) {
	if pair.Revision() >= c.pairs[pair.Key()].Revision() {
		c.pairs[pair.Key()] = pair
		delete(c.missing, pair.Key())
	}
}

func (c *Copy) remove(key string) {
	if _, ok := c.pairs[key]; !ok {
		return
	}
	if !c.until.IsZero() {
		c.missing[key] = struct{}{}
		return
	}
	delete(c.pairs, key)
}

// Due returns when missing keys are gone, and false if none may be missing.
func (c *Copy) Due() (time.Time, bool) { return c.until, !c.until.IsZero() }

// Expire drops the missing keys if their time is up, and tells whether it is.
func (c *Copy) Expire(now time.Time) bool {
	if c.until.IsZero() || now.Before(c.until) {
		return false
	}
	c.until = time.Time{}
	for key := range c.missing {
		delete(c.pairs, key)
	}
	clear(c.missing)
	return true
}

// Pairs returns all keys, the missing ones too, in their order.
func (c *Copy) Pairs() []storer.Pair {
	pairs := make([]storer.Pair, 0, len(c.pairs))
	for _, pair := range c.pairs {
		pairs = append(pairs, pair)
	}
	slices.SortFunc(pairs, func(a, b storer.Pair) int { return cmp.Compare(a.Key(), b.Key()) })
	return pairs
}

// Page returns the keys that the store holds at the revision, without the missing
// ones: others may know that these have gone for good.
func (c *Copy) Page(revision int64) storer.Page {
	pairs := slices.DeleteFunc(c.Pairs(), func(p storer.Pair) bool {
		_, missing := c.missing[p.Key()]
		return missing
	})
	return storer.NewPage(pairs, revision).Recovering(!c.until.IsZero())
}
