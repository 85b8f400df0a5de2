// Package detector decides which members are alive from what was heard of
// them. It is given the time and sends nothing itself.
package detector

import (
	"slices"
	"time"

	"burdocklane/registrar"
)

// State is what an instance believes of a member.
type State uint8

// States of a member, from the best to the worst.
const (
	Alive State = iota
	Suspect
	Dead
	Leaving
)

// String returns the word for s in logs.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "leaving"}[s]
}

const (
	// suspicionTimeout is how long a suspect has to refute before it is dead.
	suspicionTimeout = 3 * time.Second
	// newsSpread times the logarithm of the fleet's size is how often one piece
	// of news is passed on.
	newsSpread = 3
	// newsMost bounds the news in one message.
	newsMost = 8
)

// News is one member's state as it is passed on between instances.
type News struct {
	id          registrar.InstanceID
	state       State
	incarnation uint64
}

// NewNews returns a piece of news.
func NewNews(id registrar.InstanceID, state State, incarnation uint64) News {
	return News{id: id, state: state, incarnation: incarnation}
}

// ID returns the member that the news is of.
func (n News) ID() registrar.InstanceID { return n.id }

// State returns what is said of the member.
func (n News) State() State { return n.state }

// Incarnation returns the member's own counter of its refutations.
func (n News) Incarnation() uint64 { return n.incarnation }

type member struct {
	state       State
	incarnation uint64
	since       time.Duration
	told        int
}

// Detector follows the SWIM protocol (Das, Gupta and Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002):
// a member that does not answer is suspect first and dead when it does not
// refute in time; news travels with the heartbeats, so that the traffic of an
// instance does not grow with the fleet. It is not safe for concurrent use.
type Detector struct {
	self        registrar.InstanceID
	incarnation uint64
	leaving     bool
	members     map[registrar.InstanceID]*member
	epoch       uint64
}

// New returns a Detector for the instance self. The incarnation must be larger
// than that of an earlier process with the same ID, such as the wall clock.
func New(self registrar.InstanceID, incarnation uint64) *Detector {
	return &Detector{self: self, incarnation: incarnation, members: map[registrar.InstanceID]*member{}}
}

// Incarnation returns the instance's own incarnation.
func (d *Detector) Incarnation() uint64 { return d.incarnation }

// Epoch counts the changes of the view.
func (d *Detector) Epoch() uint64 { return d.epoch }

// Leave makes the instance tell that it is leaving.
func (d *Detector) Leave() { d.leaving = true }

// IsLeaving tells whether the instance itself is leaving.
func (d *Detector) IsLeaving() bool { return d.leaving }

// Sync takes over the platform's list: new members start alive, and those that
// are off the list are forgotten.
func (d *Detector) Sync(listed []registrar.Instance, now time.Duration) {
	seen := map[registrar.InstanceID]bool{}
	for _, i := range listed {
		seen[i.ID()] = true
		if i.ID() != d.self && d.members[i.ID()] == nil {
			d.members[i.ID()] = &member{since: now, told: newsSpread * 8}
			d.epoch++
		}
	}
	for id := range d.members {
		if !seen[id] {
			delete(d.members, id)
			d.epoch++
		}
	}
}

// Heard notes that a member answered, or sent a message, itself.
func (d *Detector) Heard(id registrar.InstanceID, incarnation uint64, leaving bool, now time.Duration) {
	state := Alive
	if leaving {
		state = Leaving
	}
	m := d.members[id]
	if m == nil || incarnation < m.incarnation {
		return
	}
	if incarnation == m.incarnation && (m.state == state || m.state == Leaving) {
		return
	}
	// What a member says itself beats what others say of the same incarnation.
	d.set(m, state, incarnation, now)
}

// Missed notes that neither the member nor those who were asked to reach it
// answered.
func (d *Detector) Missed(id registrar.InstanceID, now time.Duration) {
	if m := d.members[id]; m != nil && m.state == Alive {
		d.set(m, Suspect, m.incarnation, now)
	}
}

// Learn takes over news from a peer. News that the instance itself is suspect
// or dead is refuted with a higher incarnation.
func (d *Detector) Learn(news []News, now time.Duration) {
	for _, n := range news {
		if n.id == d.self {
			d.refute(n)
			continue
		}
		m := d.members[n.id]
		if m == nil || !overrides(n, m) {
			continue
		}
		d.set(m, n.state, n.incarnation, now)
	}
}

func (d *Detector) refute(n News) {
	if !d.leaving && n.state != Alive && n.incarnation >= d.incarnation {
		d.incarnation = n.incarnation + 1
	}
}

// overrides holds SWIM's order: a higher incarnation wins, and at the same one
// the worse state.
func overrides(n News, m *member) bool {
	if n.incarnation != m.incarnation {
		return n.incarnation > m.incarnation
	}
	return n.state > m.state
}

func (d *Detector) set(m *member, state State, incarnation uint64, now time.Duration) {
	if m.state != state {
		d.epoch++
	}
	m.state, m.incarnation, m.since, m.told = state, incarnation, now, 0
}

// Expire declares suspects dead whose time has run out, and returns them.
func (d *Detector) Expire(now time.Duration) []registrar.InstanceID {
	var dead []registrar.InstanceID
	for id, m := range d.members {
		if m.state == Suspect && now-m.since >= suspicionTimeout {
			d.set(m, Dead, m.incarnation, now)
			dead = append(dead, id)
		}
	}
	return dead
}

// Froze forgives the suspects after the process itself stood still: it cannot
// tell who was silent and whom it did not hear.
func (d *Detector) Froze(now time.Duration) {
	for _, m := range d.members {
		if m.state == Suspect {
			m.since = now
		}
	}
}

// State returns what is believed of the member. An unknown one is alive, since
// the platform's list has just named it.
func (d *Detector) State(id registrar.InstanceID) State {
	if m := d.members[id]; m != nil {
		return m.state
	}
	return Alive
}

// Gossip returns the news for a message to a member: what it has to refute
// about itself, then the news that have been passed on least often, at most as
// many as one message takes. They count as passed on.
func (d *Detector) Gossip(to registrar.InstanceID) []News {
	news := make([]News, 0, newsMost)
	if m := d.members[to]; m != nil && m.state != Alive {
		news = append(news, NewNews(to, m.state, m.incarnation))
	}
	limit := newsSpread * bits(len(d.members)+1)
	ids := make([]registrar.InstanceID, 0, len(d.members))
	for id, m := range d.members {
		if m.told < limit && id != to {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b registrar.InstanceID) int { return d.members[a].told - d.members[b].told })
	for _, id := range ids[:min(len(ids), newsMost-len(news))] {
		m := d.members[id]
		m.told++
		news = append(news, NewNews(id, m.state, m.incarnation))
	}
	return news
}

func bits(n int) int {
	count := 1
	for n > 1 {
		n >>= 1
		count++
	}
	return count
}

// Filter returns the listed instances as the detector believes them to be:
// dead ones are dropped, leaving ones marked. Suspects stay: a slow peer keeps
// its slots.
func (d *Detector) Filter(listed []registrar.Instance) []registrar.Instance {
	view := make([]registrar.Instance, 0, len(listed))
	for _, i := range listed {
		switch d.State(i.ID()) {
		case Dead:
		case Leaving:
			view = append(view, i.AsLeaving())
		case Alive, Suspect:
			view = append(view, i)
		}
	}
	return view
}
