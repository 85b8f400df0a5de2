package sharer

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// halfLife is the age at which a call counts half.
	halfLife = 5 * time.Second
	// starvedShare is how often, compared with all calls, a kind of call is served that is
	// starved.
	starvedShare = 0.3
	// minAsked is the number of calls of a kind from which on it may be starved.
	minAsked = 8
)

// Kinds counts for each kind of call how many were asked for and served lately. It is safe
// for concurrent use. The zero value is ready to use.
type Kinds struct {
	kinds    sync.Map // Maps a Kind to its *tally.
	all      tally
	halvedAt atomic.Int64
}

// Kind is what the calls of a kind have in common.
type Kind struct {
	priority int
	target   time.Duration
}

// NewKind returns the kind of the calls of a priority and target.
func NewKind(priority int, target time.Duration) Kind {
	return Kind{priority: priority, target: target}
}

type tally struct{ asked, served atomic.Int64 }

func (t *tally) halve() {
	t.asked.Store(t.asked.Load() / 2)
	t.served.Store(t.served.Load() / 2)
}

// Ask records that a call of the kind asks for a slot.
func (k *Kinds) Ask(kind Kind, now time.Duration) {
	k.halve(now)
	k.tallyOf(kind).asked.Add(1)
	k.all.asked.Add(1)
}

// Serve records that a call of the kind gets a slot.
func (k *Kinds) Serve(kind Kind) {
	k.tallyOf(kind).served.Add(1)
	k.all.served.Add(1)
}

// IsStarved reports whether the kind has lately been served far less often than all calls.
// It changes nothing.
func (k *Kinds) IsStarved(kind Kind) bool {
	found, ok := k.kinds.Load(kind)
	if !ok {
		return false
	}
	t := found.(*tally)
	asked := t.asked.Load()
	if asked < minAsked {
		return false
	}
	return float64(t.served.Load())*float64(k.all.asked.Load()) < starvedShare*float64(k.all.served.Load())*float64(asked)
}

func (k *Kinds) tallyOf(kind Kind) *tally {
	found, ok := k.kinds.Load(kind)
	if !ok {
		found, _ = k.kinds.LoadOrStore(kind, &tally{})
	}
	return found.(*tally)
}

// halve halves all counts once per half-life, and forgets the kinds without calls.
func (k *Kinds) halve(now time.Duration) {
	last := k.halvedAt.Load()
	if now-time.Duration(last) < halfLife || !k.halvedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	k.all.halve()
	k.kinds.Range(func(kind, found any) bool {
		t := found.(*tally)
		t.halve()
		if t.asked.Load() == 0 {
			k.kinds.Delete(kind)
		}
		return true
	})
}
