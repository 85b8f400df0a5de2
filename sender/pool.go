package sender

import (
	"sync/atomic"
	"time"
)

// stack holds the unused connections to one worker, the last used on top. It
// is lock-free (Treiber, "Systems Programming: Coping with Parallelism", 1986);
// each push makes a new node, so that the collector rules out the ABA problem.
type stack struct {
	head atomic.Pointer[node]
	size atomic.Int32
}

type node struct {
	conn *conn
	next *node
}

func (s *stack) push(c *conn) {
	n := &node{conn: c}
	for {
		n.next = s.head.Load()
		if s.head.CompareAndSwap(n.next, n) {
			s.size.Add(1)
			return
		}
	}
}

func (s *stack) pop() *conn {
	for {
		top := s.head.Load()
		if top == nil {
			return nil
		}
		if s.head.CompareAndSwap(top, top.next) {
			s.size.Add(-1)
			return top.conn
		}
	}
}

// take returns a connection that can be used again, or nil.
func (s *stack) take(now time.Time) *conn {
	for c := s.pop(); c != nil; c = s.pop() {
		if now.Before(c.idleUntil) && c.quiet() {
			return c
		}
		c.Close()
	}
	return nil
}

// sweep closes the connections that are too old to be used again.
func (s *stack) sweep(now time.Time) {
	var young []*conn
	for c := s.pop(); c != nil; c = s.pop() {
		if now.Before(c.idleUntil) && c.quiet() {
			young = append(young, c)
			continue
		}
		c.Close()
	}
	for i := len(young) - 1; i >= 0; i-- {
		s.push(young[i])
	}
}

func (s *stack) closeAll() {
	for c := s.pop(); c != nil; c = s.pop() {
		c.Close()
	}
}
