package tracker

import "time"

// peersMemory is how long a peer's word of its calls at a worker counts.
const peersMemory = 400 * time.Millisecond

// peerCalls is how many calls a peer has at a worker. It never changes.
type peerCalls struct {
	peer  uint32
	calls int32
	at    time.Duration
}

// HearCalls takes over a peer's word of its calls at the worker.
func (w *Worker) HearCalls(peer uint32, calls int32, now time.Duration) {
	for {
		old := w.peers.Load()
		next := replaceCalls(old, peerCalls{peer: peer, calls: calls, at: now})
		if w.peers.CompareAndSwap(old, &next) {
			return
		}
	}
}

// replaceCalls returns a copy with a peer's word in place of its last one, and
// without those that no longer count.
func replaceCalls(old *[]peerCalls, latest peerCalls) []peerCalls {
	next := []peerCalls{latest}
	if old == nil {
		return next
	}
	for _, p := range *old {
		if p.peer != latest.peer && latest.at-p.at < peersMemory {
			next = append(next, p)
		}
	}
	return next
}

// peersCalls returns how many calls the peers have at the worker.
func (w *Worker) peersCalls(now time.Duration) int32 {
	all := w.peers.Load()
	if all == nil {
		return 0
	}
	sum := int32(0)
	for _, p := range *all {
		if now-p.at < peersMemory {
			sum += p.calls
		}
	}
	return sum
}
