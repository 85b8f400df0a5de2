// Package elector chooses the owner of the rate limits that a holder votes for. A holder
// votes for one owner at a time: before it turns to another, it waits until its last vote
// has run out. It prefers an owner that most coordinators have confirmed.
package elector

import (
	"slices"
	"time"

	"burdocklane/granter"
)

const (
	// interval is the time between two requests to the owner.
	interval = 200 * time.Millisecond
	// urgentInterval is the shortest time between two requests.
	urgentInterval = 50 * time.Millisecond
	// searchInterval is the time between two searches for owners. When nothing has been
	// found for searchPatience, it is slowSearchInterval.
	searchInterval     = 100 * time.Millisecond
	slowSearchInterval = 250 * time.Millisecond
	searchPatience     = 2 * time.Second
	// answerLife is how long after its last answer an instance may be chosen.
	answerLife = 2 * slowSearchInterval
	// searchTime is how long answers are waited for before an owner is chosen.
	searchTime = searchInterval / 2
	// unconfirmedTime is how long a holder stays with an owner that is not confirmed if
	// another one seems better.
	unconfirmedTime = 500 * time.Millisecond
)

// replyTimeouts are the waits for the reply to a request and its repetitions.
var replyTimeouts = [...]time.Duration{150 * time.Millisecond, 200 * time.Millisecond, 250 * time.Millisecond}

// Action is what a holder has to send: Vote or Search.
type Action interface{ action() }

// Vote is a request for tokens to the owner, which carries the holder's vote.
type Vote struct {
	owner   uint32
	number  uint32
	stamp   granter.Stamp
	inTouch bool
	settled bool
}

// Search asks an instance whether it is there.
type Search struct{ candidate uint32 }

func (Vote) action()   {}
func (Search) action() {}

// Owner returns the hash of the owner's ID.
func (v Vote) Owner() uint32 { return v.owner }

// Number returns the number of the request.
func (v Vote) Number() uint32 { return v.number }

// Epoch identifies the owner's process, as far as it is known.
func (v Vote) Epoch() uint32 { return v.stamp.Epoch() }

// Option returns the option that makes a request carry the vote.
func (v Vote) Option() granter.RequestOption {
	return granter.WithVote(v.stamp, v.inTouch, v.settled)
}

// Candidate returns the hash of the instance's ID.
func (s Search) Candidate() uint32 { return s.candidate }

// answer is the last answer of a candidate.
type answer struct {
	at        time.Duration
	confirmed bool
	stamp     granter.Stamp
}

// Elector holds the state of one holder's votes. Times are those of the process. It is not
// safe for concurrent use.
type Elector struct {
	window     time.Duration
	owner      uint32
	has        bool          // Whether owner is set.
	confirmed  bool          // Whether the owner was confirmed when it last answered.
	stamp      granter.Stamp // Of the owner's last reply.
	number     uint32        // Of the last request to an owner.
	sentAt     time.Duration // When that was sent.
	waiting    bool          // Whether its reply is awaited.
	misses     int           // Repetitions of the request.
	voteUntil  time.Duration // When the last vote runs out.
	touchedAt  time.Duration // When the last request that a confirmed owner answered was sent.
	touched    bool          // Whether touchedAt is set.
	chosenAt   time.Duration // When the owner, or the last one, was chosen.
	chosen     bool          // Whether chosenAt is set.
	settled    bool          // Whether the choice before that, if any, was at least a window earlier.
	searchedAt time.Duration
	searching  time.Duration // Since when no owner is chosen.
	answers    map[uint32]answer
}

// New returns the elector of a process that starts now. An earlier process of the holder
// may have voted just before. The window is that of the tolerance of rate limits.
func New(now, window time.Duration) *Elector {
	return &Elector{window: window, voteUntil: now + granter.VoteLife, searching: now, searchedAt: now - searchInterval, answers: map[uint32]answer{}}
}

// Owner returns the owner that the holder votes for, and false if there is none.
func (e *Elector) Owner() (id uint32, ok bool) { return e.owner, e.has }

// IsConfirmed reports whether the owner was confirmed when it last answered.
func (e *Elector) IsConfirmed() bool { return e.has && e.confirmed }

// Next returns what to send now. The candidates are ranked, the best first. If a call found
// no token, the request for tokens is urgent.
func (e *Elector) Next(now time.Duration, candidates []uint32, urgent bool) []Action {
	e.abandon(now, candidates)
	e.choose(now, candidates)
	var actions []Action
	if !e.IsConfirmed() && now-e.searchedAt >= e.searchPause(now) {
		e.searchedAt = now
		for _, c := range candidates {
			actions = append(actions, Search{candidate: c})
		}
	}
	if e.has && e.isDue(now, urgent) {
		actions = append(actions, e.vote(now))
	}
	return actions
}

// searchPause returns the time between two searches.
func (e *Elector) searchPause(now time.Duration) time.Duration {
	if now-e.searching < searchPatience {
		return searchInterval
	}
	return slowSearchInterval
}

// Wait returns how long nothing has to be sent unless a reply or an urgent call comes.
func (e *Elector) Wait(now time.Duration, urgent bool) time.Duration {
	switch {
	case !e.IsConfirmed():
		return searchTime
	case e.waiting:
		return max(e.sentAt+replyTimeouts[e.misses]-now, 0)
	case urgent:
		return max(e.sentAt+urgentInterval-now, 0)
	}
	return max(e.sentAt+interval-now, 0)
}

// isDue reports whether a request to the owner is due.
func (e *Elector) isDue(now time.Duration, urgent bool) bool {
	elapsed := now - e.sentAt
	switch {
	case e.waiting:
		return elapsed >= replyTimeouts[e.misses]
	case urgent || !e.confirmed:
		return elapsed >= urgentInterval
	}
	return elapsed >= interval
}

// vote returns the next request to the owner, or the repetition of one without a reply.
func (e *Elector) vote(now time.Duration) Vote {
	if e.waiting {
		e.misses++
	}
	e.number++
	e.sentAt, e.waiting, e.voteUntil = now, true, now+granter.VoteLife
	inTouch := e.touched && now-e.touchedAt < granter.TouchLife
	return Vote{owner: e.owner, number: e.number, stamp: e.stamp, inTouch: inTouch, settled: e.settled}
}

// abandon gives up an owner that does not answer, or that is not confirmed while another
// candidate is, or ranks before it.
func (e *Elector) abandon(now time.Duration, candidates []uint32) {
	if !e.has {
		return
	}
	silent := e.waiting && e.misses == len(replyTimeouts)-1 && now-e.sentAt >= replyTimeouts[e.misses]
	if !silent {
		if e.confirmed || now-e.chosenAt < unconfirmedTime {
			return
		}
		if best, ok := e.best(now, candidates); !ok || best == e.owner {
			return
		}
	}
	e.has, e.confirmed, e.waiting, e.misses, e.searching = false, false, false, 0, now
	delete(e.answers, e.owner)
}

// choose chooses an owner once the last vote has run out.
func (e *Elector) choose(now time.Duration, candidates []uint32) {
	if e.has || now-e.searching < searchTime || now < e.voteUntil && !e.mayVoteEarly(now, candidates) {
		return
	}
	best, ok := e.best(now, candidates)
	if !ok {
		return
	}
	e.settled = !e.chosen || now-e.chosenAt >= e.window
	e.owner, e.has, e.confirmed = best, true, false
	e.stamp = e.answers[best].stamp
	e.chosenAt, e.chosen = now, true
	e.sentAt = now - interval
}

// mayVoteEarly reports whether a process that has not voted yet need not wait until a vote
// of an earlier one has run out: an owner is confirmed without that vote, or most candidates
// have answered and none is. The early vote can make a second confirmed owner only if most
// coordinators restart while another owner runs on that they don't reach.
func (e *Elector) mayVoteEarly(now time.Duration, candidates []uint32) bool {
	if e.number > 0 {
		return false
	}
	there, confirmed := 0, false
	for _, c := range candidates {
		if e.hasAnswered(now, c) {
			there++
			confirmed = confirmed || e.answers[c].confirmed
		}
	}
	return confirmed || 2*there > len(candidates)
}

// hasAnswered reports whether the candidate has answered lately.
func (e *Elector) hasAnswered(now time.Duration, candidate uint32) bool {
	a, ok := e.answers[candidate]
	return ok && now-a.at < answerLife
}

// best returns the best candidate that has answered lately.
func (e *Elector) best(now time.Duration, candidates []uint32) (id uint32, ok bool) {
	hasAnswered := func(c uint32) bool { return e.hasAnswered(now, c) }
	at := slices.IndexFunc(candidates, func(c uint32) bool { return hasAnswered(c) && e.answers[c].confirmed })
	if at < 0 {
		at = slices.IndexFunc(candidates, hasAnswered)
	}
	if at < 0 {
		return 0, false
	}
	return candidates[at], true
}

// Receive takes a reply. It returns when the request was sent if the reply is the owner's
// to the last one, whose grants count, and false otherwise.
func (e *Elector) Receive(now time.Duration, r granter.Reply) (sentAt time.Duration, ok bool) {
	if r.Number() == 0 {
		e.answers[r.Owner()] = answer{at: now, confirmed: r.Confirmed(), stamp: r.Stamp()}
		return 0, false
	}
	if !e.has || r.Owner() != e.owner || r.Number() != e.number || !e.waiting {
		return 0, false
	}
	e.waiting, e.misses = false, 0
	e.stamp, e.confirmed = r.Stamp(), r.Confirmed()
	e.answers[e.owner] = answer{at: now, confirmed: e.confirmed, stamp: e.stamp}
	if e.confirmed {
		e.touchedAt, e.touched = e.sentAt, true
	}
	return e.sentAt, true
}
