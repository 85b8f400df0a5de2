package shedder

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Shedder counts what callers hold, and ends holdings if the limits are reached. It is
// safe for concurrent use.
type Shedder struct {
	limits      Limits
	held        atomic.Int64 // Bytes.
	connections atomic.Int64
	sockets     atomic.Int64
	calls       atomic.Int64
	uploads     atomic.Int64 // Calls whose bodies are sent while their workers wait.
	holdings    sync.Map     // From *Holding to nothing.
	shedding    sync.Mutex   // Serializes the choice of holdings to end.
	now         func() time.Time
	reporter    *reporter
}

// Option sets one property of a Shedder.
type Option func(*Shedder)

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option { return func(s *Shedder) { s.now = now } }

// WithLog sets the log for the moments at which the Shedder begins and ceases to refuse
// or end callers. The name says which port they are at.
func WithLog(log zerolog.Logger, port string) Option {
	return func(s *Shedder) { s.reporter = newReporter(log, port) }
}

// New returns a Shedder without holdings.
func New(limits Limits, opts ...Option) *Shedder {
	s := &Shedder{limits: limits, now: time.Now, reporter: newReporter(zerolog.Nop(), "")}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Close logs the end of a period in which callers are refused or ended.
func (s *Shedder) Close() { s.reporter.close() }

// Held returns the number of bytes that are held.
func (s *Shedder) Held() int64 { return s.held.Load() }

// Connections returns the number of connections that are held.
func (s *Shedder) Connections() int64 { return s.connections.Load() }

// Sockets returns the number of sockets that are held.
func (s *Shedder) Sockets() int64 { return s.sockets.Load() }

// Open adds a connection, which end closes. It reports false if there is no room for it.
func (s *Shedder) Open(end func()) (*Holding, bool) {
	if !s.take(ConnectionBytes, 1, 1) {
		return nil, false
	}
	return s.store(&Holding{shedder: s, end: end, isConnection: true}), true
}

// OpenStream adds a request on a connection that has several of them at a time. end ends
// the request. It reports false if there is no room for it.
func (s *Shedder) OpenStream(end func()) (*Holding, bool) {
	if !s.take(ConnectionBytes, 0, 0) {
		return nil, false
	}
	return s.store(&Holding{shedder: s, end: end}), true
}

func (s *Shedder) store(h *Holding) *Holding {
	h.bytes.Store(ConnectionBytes)
	if h.isConnection {
		h.sockets.Store(1)
	}
	h.Begin(s.now())
	s.holdings.Store(h, nil)
	return h
}

// take adds to what is held, and reports whether there is room for it.
func (s *Shedder) take(bytes, connections, sockets int64) bool {
	s.add(bytes, connections, sockets)
	return s.keep(bytes, connections, sockets, s.limits.bytes)
}

// grow adds to the memory for heads, bodies and answers.
func (s *Shedder) grow(bytes int64) bool {
	s.held.Add(bytes)
	return s.keep(bytes, 0, 0, share(s.limits.bytes, growthShare))
}

// growAlways adds to the memory, and ends holdings if there is no room.
func (s *Shedder) growAlways(bytes int64) {
	s.held.Add(bytes)
	if limit := share(s.limits.bytes, growthShare); s.excess(limit).isPositive() {
		s.shed(limit)
	}
}

// countCall counts a call, and reports whether there is room for it.
func (s *Shedder) countCall(isUpload bool) bool {
	hasRoom := above(s.calls.Add(1), s.limits.maxCalls()) <= 0
	if isUpload {
		hasRoom = above(s.uploads.Add(1), s.limits.maxUploads()) <= 0 && hasRoom
	}
	if !hasRoom {
		s.uncountCall(isUpload)
		s.reporter.refuse()
	}
	return hasRoom
}

func (s *Shedder) uncountCall(isUpload bool) {
	s.calls.Add(-1)
	if isUpload {
		s.uploads.Add(-1)
	}
}

// keep ends holdings until what was added is within the limits. Otherwise it takes back
// what was added.
func (s *Shedder) keep(bytes, connections, sockets, maxBytes int64) bool {
	if !s.excess(maxBytes).isPositive() {
		return true
	}
	s.shed(maxBytes)
	if !s.excess(maxBytes).isPositive() {
		return true
	}
	s.giveBack(bytes, connections, sockets)
	s.reporter.refuse()
	return false
}

func (s *Shedder) add(bytes, connections, sockets int64) {
	s.held.Add(bytes)
	if connections != 0 {
		s.connections.Add(connections)
	}
	if sockets != 0 {
		s.sockets.Add(sockets)
	}
}

func (s *Shedder) giveBack(bytes, connections, sockets int64) { s.add(-bytes, -connections, -sockets) }

// excess returns by how much the limits are exceeded.
func (s *Shedder) excess(maxBytes int64) Excess {
	return NewExcess(above(s.held.Load(), maxBytes),
		max(above(s.connections.Load(), s.limits.connections), above(s.sockets.Load(), s.limits.sockets)))
}

// above returns by how much a count exceeds a limit, of which 0 stands for none.
func above(count, limit int64) int64 {
	if limit <= 0 {
		return 0
	}
	return count - limit
}

// aboveLow returns by how much a count exceeds lowShare of a limit, or 0 if it is within the
// limit.
func aboveLow(count, limit int64) int64 {
	if above(count, limit) <= 0 {
		return 0
	}
	return count - share(limit, lowShare)
}

// shed ends holdings until each limit that is exceeded has some room again.
func (s *Shedder) shed(maxBytes int64) {
	s.shedding.Lock()
	defer s.shedding.Unlock()
	if !s.excess(maxBytes).isPositive() {
		return // Another thread has made room.
	}
	excess := NewExcess(aboveLow(s.held.Load(), maxBytes),
		max(aboveLow(s.connections.Load(), s.limits.connections), aboveLow(s.sockets.Load(), s.limits.sockets)))
	holdings, candidates := s.candidates()
	for _, i := range Choose(candidates, excess) {
		if holdings[i].End() {
			s.reporter.shed(candidates[i].bytes)
		}
	}
}

// candidates returns the holdings that may be ended.
func (s *Shedder) candidates() ([]*Holding, []Candidate) {
	var holdings []*Holding
	var candidates []Candidate
	now := s.now()
	s.holdings.Range(func(key, _ any) bool {
		h := key.(*Holding)
		if h.pins.Load() == 0 {
			holdings = append(holdings, h)
			candidates = append(candidates, NewCandidate(h.bytes.Load(), h.stalledFor(now), h.isConnection))
		}
		return true
	})
	return holdings, candidates
}
