package shedder

import (
	"slices"
	"time"
)

// Candidate is a connection or a stream that may be ended.
type Candidate struct {
	bytes        int64
	stalled      time.Duration
	isConnection bool
}

// NewCandidate returns a candidate that holds so many bytes, and has been stalled for so
// long.
func NewCandidate(bytes int64, stalled time.Duration, isConnection bool) Candidate {
	return Candidate{bytes: bytes, stalled: stalled, isConnection: isConnection}
}

// Excess is what has to be given back: memory, and a number of connections.
type Excess struct {
	bytes       int64
	connections int64
}

// NewExcess returns an Excess.
func NewExcess(bytes, connections int64) Excess {
	return Excess{bytes: bytes, connections: connections}
}

func (e Excess) isPositive() bool { return e.bytes > 0 || e.connections > 0 }

// minStalled is the least time for which a candidate counts as stalled, so that those that
// arrived at the same moment are told apart by their size.
const minStalled = time.Millisecond

// weight is the product of what a candidate holds and how long it has been stalled.
func (c Candidate) weight() float64 {
	return float64(c.bytes) * max(c.stalled, minStalled).Seconds()
}

// Choose returns the indexes of the candidates to end until the excess is given back, those
// first that hold most for longest. The requests of ordinary callers are short and end
// soon, so they come last.
func Choose(candidates []Candidate, excess Excess) []int {
	order := make([]int, len(candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		switch wa, wb := candidates[a].weight(), candidates[b].weight(); {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return a - b
	})
	var chosen []int
	for _, i := range order {
		if !excess.isPositive() {
			break
		}
		c := candidates[i]
		if excess.bytes <= 0 && !c.isConnection {
			continue
		}
		excess.bytes -= c.bytes
		if c.isConnection {
			excess.connections--
		}
		chosen = append(chosen, i)
	}
	return chosen
}
