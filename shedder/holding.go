package shedder

import (
	"sync/atomic"
	"time"
)

// minBytesPerSecond is the slowest transfer that does not count as stalled. The slower a
// transfer is below it, the more of its time counts as stalled.
const minBytesPerSecond = 16 << 10

// ended is the number of pins of a holding that has ended.
const ended = -1

// Holding is what one connection, or one stream on a connection, holds.
type Holding struct {
	shedder      *Shedder
	end          func()
	isConnection bool
	pins         atomic.Int32 // While there are any, it is not ended; or the constant ended.
	bytes        atomic.Int64
	sockets      atomic.Int64
	since        atomic.Int64 // In nanoseconds: when it began to stall. Progress moves it.
	waitSince    atomic.Int64 // In nanoseconds: when it began to wait for a worker, or 0.
}

// Shedder returns the Shedder of the holding.
func (h *Holding) Shedder() *Shedder { return h.shedder }

// Begin says that a new phase begins: waiting for a request, reading a head or a body, or
// writing an answer.
func (h *Holding) Begin(now time.Time) { h.since.Store(now.UnixNano()) }

// Progress says that so many bytes were transferred. Their time at minBytesPerSecond does
// not count as stalled.
func (h *Holding) Progress(bytes int, now time.Time) {
	credit := int64(bytes) * int64(time.Second) / minBytesPerSecond
	h.since.Store(min(now.UnixNano(), h.since.Load()+credit))
}

// BeginWait says that the process waits for a worker to go on with an answer: until
// EndWait, the holding does not count as stalled.
func (h *Holding) BeginWait(now time.Time) { h.waitSince.Store(now.UnixNano()) }

// EndWait ends a wait.
func (h *Holding) EndWait(now time.Time) {
	h.since.Add(now.UnixNano() - h.waitSince.Load())
	h.waitSince.Store(0)
}

// stalledFor returns how long the holding has been stalled.
func (h *Holding) stalledFor(now time.Time) time.Duration {
	until := h.waitSince.Load()
	if until == 0 {
		until = now.UnixNano()
	}
	return time.Duration(until - h.since.Load())
}

// Grow adds to the memory that is held, and reports whether there is room for it. It may
// end other holdings.
func (h *Holding) Grow(bytes int64) bool {
	if bytes <= 0 {
		return !h.hasEnded()
	}
	if !h.shedder.grow(bytes) {
		return false
	}
	return h.add(bytes, 0)
}

// GrowAlways adds to the memory that is held, also if there is no room for it: an answer
// that is ready is delivered. It may end other holdings.
func (h *Holding) GrowAlways(bytes int64) bool {
	h.shedder.growAlways(bytes)
	return h.add(bytes, 0)
}

// Shrink gives memory back.
func (h *Holding) Shrink(bytes int64) {
	if h.hasEnded() {
		return // All was given back.
	}
	h.bytes.Add(-bytes)
	h.shedder.held.Add(-bytes)
	h.giveBackIfEnded()
}

// BeginCall says that the request is about to be dispatched, while its body is still being
// sent if it is an upload. From then on the holding is not ended, until BeginAnswer. It
// reports false if it was ended already, or if there is no room for a call.
func (h *Holding) BeginCall(isUpload bool) bool {
	s := h.shedder
	if !s.countCall(isUpload) {
		return false
	}
	if s.take(CallBytes, 0, 1) && h.add(CallBytes, 1) && h.Pin() {
		return true
	}
	s.uncountCall(isUpload)
	return false
}

// BeginAnswer says that the answer to a call is about to be written. From then on the
// holding may be ended again.
func (h *Holding) BeginAnswer(isUpload bool, now time.Time) {
	h.shedder.uncountCall(isUpload)
	h.Unpin(now)
}

// EndCall gives back what a call held, after BeginAnswer.
func (h *Holding) EndCall() {
	if h.hasEnded() {
		return // All was given back.
	}
	h.bytes.Add(-CallBytes)
	h.sockets.Add(-1)
	h.shedder.giveBack(CallBytes, 0, 1)
	h.giveBackIfEnded()
}

// Pin keeps the holding from being ended until Unpin. It reports false if it was ended
// already.
func (h *Holding) Pin() bool {
	for {
		pins := h.pins.Load()
		if pins == ended {
			return false
		}
		if h.pins.CompareAndSwap(pins, pins+1) {
			return true
		}
	}
}

// Unpin ends a Pin that has succeeded.
func (h *Holding) Unpin(now time.Time) {
	h.Begin(now)
	for {
		pins := h.pins.Load()
		if pins == ended || h.pins.CompareAndSwap(pins, pins-1) {
			return
		}
	}
}

func (h *Holding) hasEnded() bool { return h.pins.Load() == ended }

// Close gives back all that is held.
func (h *Holding) Close() {
	if h.pins.Swap(ended) == ended {
		return
	}
	h.shedder.holdings.Delete(h)
	h.giveBackAll()
}

// add counts what the shedder has granted. It reports false if the holding has ended.
func (h *Holding) add(bytes, sockets int64) bool {
	h.bytes.Add(bytes)
	h.sockets.Add(sockets)
	return !h.giveBackIfEnded()
}

// giveBackIfEnded gives back what was counted after the holding had ended.
func (h *Holding) giveBackIfEnded() bool {
	if !h.hasEnded() {
		return false
	}
	h.shedder.giveBack(h.bytes.Swap(0), 0, h.sockets.Swap(0))
	return true
}

func (h *Holding) giveBackAll() {
	connections := int64(0)
	if h.isConnection {
		connections = 1
	}
	h.shedder.giveBack(h.bytes.Swap(0), connections, h.sockets.Swap(0))
}

// End ends the holding unless it is pinned, and reports whether it did.
func (h *Holding) End() bool {
	if !h.pins.CompareAndSwap(0, ended) {
		return false
	}
	h.shedder.holdings.Delete(h)
	h.giveBackAll()
	h.end()
	return true
}
