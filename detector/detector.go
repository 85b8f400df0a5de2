// Package detector implements a SWIM failure detector without I/O: it decides
// which members are alive from the messages and times that the caller passes in.
package detector

import (
	"slices"
	"time"

	"burdocklane/registrar"
)

// State is an instance's view of a member.
type State uint8

// States of a member, from the best to the worst.
const (
	Alive State = iota
	Suspect
	Dead
	Leaving
)

// String returns the name of s in logs.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "leaving"}[s]
}

const (
	// suspicionTimeout is how long a suspect has to refute the suspicion before
	// it is declared dead.
	suspicionTimeout = 3 * time.Second
	// retransmitFactor times the logarithm of the fleet's size is how often an
	// instance sends the same update.
	retransmitFactor = 3
	// maxUpdatesPerMessage bounds the updates in one message.
	maxUpdatesPerMessage = 8
)

// Update is a membership update: one member's state as instances propagate it.
type Update struct {
	id          registrar.InstanceID
	state       State
	incarnation uint64
}

// NewUpdate returns an update about the member with the ID.
func NewUpdate(id registrar.InstanceID, state State, incarnation uint64) Update {
	return Update{id: id, state: state, incarnation: incarnation}
}

// ID returns the member that the update is about.
func (n Update) ID() registrar.InstanceID { return n.id }

// State returns the reported state of the member.
func (n Update) State() State { return n.state }

// Incarnation returns the incarnation of the member that the update refers to.
// Only the member itself raises it, to refute an update about itself.
func (n Update) Incarnation() uint64 { return n.incarnation }

type member struct {
	state       State
	incarnation uint64
	changedAt   time.Duration
	transmits   int
}

// Detector follows the SWIM protocol (Das, Gupta and Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002).
// A member that does not answer becomes suspect, and dead if it does not refute
// the suspicion in time. Updates are piggybacked on heartbeats, so the traffic
// of an instance does not grow with the fleet. Detector is not safe for
// concurrent use.
type Detector struct {
	self        registrar.InstanceID
	incarnation uint64
	leaving     bool
	members     map[registrar.InstanceID]*member
	epoch       uint64
}

// New returns a Detector for the instance self. The incarnation must be higher
// than that of any earlier process with the same ID; the wall clock serves.
func New(self registrar.InstanceID, incarnation uint64) *Detector {
	return &Detector{self: self, incarnation: incarnation, members: map[registrar.InstanceID]*member{}}
}

// Incarnation returns the instance's own incarnation.
func (d *Detector) Incarnation() uint64 { return d.incarnation }

// Epoch returns the number of changes to the membership view.
func (d *Detector) Epoch() uint64 { return d.epoch }

// Leave marks the instance itself as leaving.
func (d *Detector) Leave() { d.leaving = true }

// IsLeaving reports whether the instance itself is leaving.
func (d *Detector) IsLeaving() bool { return d.leaving }

// SetMembers applies the platform's list: new members start alive, and members that
// are no longer listed are removed.
func (d *Detector) SetMembers(listed []registrar.Instance, now time.Duration) {
	seen := map[registrar.InstanceID]bool{}
	for _, i := range listed {
		seen[i.ID()] = true
		if i.ID() != d.self && d.members[i.ID()] == nil {
			d.members[i.ID()] = &member{changedAt: now, transmits: retransmitFactor * 8}
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

// RecordMessage records a message from the member itself, either a request or a reply.
func (d *Detector) RecordMessage(id registrar.InstanceID, incarnation uint64, leaving bool, now time.Duration) {
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
	// For the same incarnation, a member's own report takes precedence over the
	// updates of others.
	d.set(m, state, incarnation, now)
}

// RecordProbeFailure records that neither a direct nor an indirect probe reached the member.
func (d *Detector) RecordProbeFailure(id registrar.InstanceID, now time.Duration) {
	if m := d.members[id]; m != nil && m.state == Alive {
		d.set(m, Suspect, m.incarnation, now)
	}
}

// ApplyUpdates applies updates from a peer. An update that declares the instance itself
// suspect or dead is refuted with a higher incarnation.
func (d *Detector) ApplyUpdates(updates []Update, now time.Duration) {
	for _, n := range updates {
		if n.id == d.self {
			d.refute(n)
			continue
		}
		m := d.members[n.id]
		if m == nil || !supersedes(n, m) {
			continue
		}
		d.set(m, n.state, n.incarnation, now)
	}
}

func (d *Detector) refute(n Update) {
	if !d.leaving && n.state != Alive && n.incarnation >= d.incarnation {
		d.incarnation = n.incarnation + 1
	}
}

// supersedes reports whether an update takes precedence over the known state. In
// SWIM's order a higher incarnation wins, and at the same one the worse state.
func supersedes(n Update, m *member) bool {
	if n.incarnation != m.incarnation {
		return n.incarnation > m.incarnation
	}
	return n.state > m.state
}

func (d *Detector) set(m *member, state State, incarnation uint64, now time.Duration) {
	if m.state != state {
		d.epoch++
	}
	m.state, m.incarnation, m.changedAt, m.transmits = state, incarnation, now, 0
}

// ExpireSuspects declares the suspects dead whose suspicion has timed out, and returns
// them.
func (d *Detector) ExpireSuspects(now time.Duration) []registrar.InstanceID {
	var dead []registrar.InstanceID
	for id, m := range d.members {
		if m.state == Suspect && now-m.changedAt >= suspicionTimeout {
			d.set(m, Dead, m.incarnation, now)
			dead = append(dead, id)
		}
	}
	return dead
}

// RestartSuspicionTimeouts restarts the suspicion timeouts after this process was paused: it cannot
// distinguish members that sent nothing from those whose messages it missed.
func (d *Detector) RestartSuspicionTimeouts(now time.Duration) {
	for _, m := range d.members {
		if m.state == Suspect {
			m.changedAt = now
		}
	}
}

// State returns the state of the member. An unknown member is alive, since the
// platform's list has only just added it.
func (d *Detector) State(id registrar.InstanceID) State {
	if m := d.members[id]; m != nil {
		return m.state
	}
	return Alive
}

// UpdatesFor returns the updates for a message to a member, at most
// maxUpdatesPerMessage, and counts them as sent. The first is the one that the
// member has to refute about itself; the others are those sent least often.
func (d *Detector) UpdatesFor(to registrar.InstanceID) []Update {
	updates := make([]Update, 0, maxUpdatesPerMessage)
	if m := d.members[to]; m != nil && m.state != Alive {
		updates = append(updates, NewUpdate(to, m.state, m.incarnation))
	}
	limit := retransmitFactor * bitLength(len(d.members)+1)
	ids := make([]registrar.InstanceID, 0, len(d.members))
	for id, m := range d.members {
		if m.transmits < limit && id != to {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b registrar.InstanceID) int { return d.members[a].transmits - d.members[b].transmits })
	for _, id := range ids[:min(len(ids), maxUpdatesPerMessage-len(updates))] {
		m := d.members[id]
		m.transmits++
		updates = append(updates, NewUpdate(id, m.state, m.incarnation))
	}
	return updates
}

func bitLength(n int) int {
	count := 1
	for n > 1 {
		n >>= 1
		count++
	}
	return count
}

// Filter applies the detector's view to the listed instances: dead ones are
// dropped and leaving ones are marked. Suspects stay, so that a slow peer keeps
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
