package tracker

import "time"

// peerCallsTTL is how long the number of calls that a peer reported stays valid.
const peerCallsTTL = 400 * time.Millisecond

// peerCalls is the number of calls that a peer has in flight at a worker. It is
// immutable.
type peerCalls struct {
	peer  uint32
	calls int32
	at    time.Duration
}

// SetPeerCalls stores the number of calls that a peer has in flight at the worker.
func (w *Worker) SetPeerCalls(peer uint32, calls int32, now time.Duration) {
	for {
		old := w.peers.Load()
		next := replacePeerCalls(old, peerCalls{peer: peer, calls: calls, at: now})
		if w.peers.CompareAndSwap(old, &next) {
			return
		}
	}
}

// replacePeerCalls returns a copy of old with the latest entry in place of the peer's
// former one, and without expired entries.
func replacePeerCalls(old *[]peerCalls, latest peerCalls) []peerCalls {
	next := []peerCalls{latest}
	if old == nil {
		return next
	}
	for _, p := range *old {
		if p.peer != latest.peer && latest.at-p.at < peerCallsTTL {
			next = append(next, p)
		}
	}
	return next
}

// peerCallsSum returns the number of calls that the peers have in flight at the worker.
func (w *Worker) peerCallsSum(now time.Duration) int32 {
	all := w.peers.Load()
	if all == nil {
		return 0
	}
	sum := int32(0)
	for _, p := range *all {
		if now-p.at < peerCallsTTL {
			sum += p.calls
		}
	}
	return sum
}
