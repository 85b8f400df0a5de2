package sender

import (
	"sync/atomic"
	"time"
)

// connStack holds the idle connections to a worker, the most recently used one
// on top. It is a lock-free Treiber stack ("Systems Programming: Coping with
// Parallelism", 1986). Each push allocates a new node, so that garbage
// collection rules out the ABA problem.
type connStack struct {
	head  atomic.Pointer[node]
	size  atomic.Int32
	total *atomic.Int64 // The size of all stacks of the Sender together.
}

type node struct {
	conn *conn
	next *node
}

func (s *connStack) push(c *conn) {
	n := &node{conn: c}
	for {
		n.next = s.head.Load()
		if s.head.CompareAndSwap(n.next, n) {
			s.size.Add(1)
			s.total.Add(1)
			return
		}
	}
}

func (s *connStack) pop() *conn {
	for {
		top := s.head.Load()
		if top == nil {
			return nil
		}
		if s.head.CompareAndSwap(top, top.next) {
			s.size.Add(-1)
			s.total.Add(-1)
			return top.conn
		}
	}
}

// popHealthy returns a reusable connection, or nil, and closes those that are
// expired or broken.
func (s *connStack) popHealthy(now time.Time) *conn {
	for c := s.pop(); c != nil; c = s.pop() {
		if now.Before(c.idleUntil) && c.isHealthy() {
			return c
		}
		c.Close()
	}
	return nil
}

// closeExpired closes the connections that are expired or broken.
func (s *connStack) closeExpired(now time.Time) {
	var kept []*conn
	for c := s.pop(); c != nil; c = s.pop() {
		if now.Before(c.idleUntil) && c.isHealthy() {
			kept = append(kept, c)
			continue
		}
		c.Close()
	}
	for i := len(kept) - 1; i >= 0; i-- {
		s.push(kept[i])
	}
}

func (s *connStack) closeAll() {
	for c := s.pop(); c != nil; c = s.pop() {
		c.Close()
	}
}
