package lender

import (
	"context"
	"strconv"
	"sync"
	"time"

	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/messenger"
)

// ledger holds the slots that are lent out.
type ledger struct {
	mutex sync.Mutex
	next  uint64
	lent  map[string]entry
}

type entry struct {
	granted limiter.Granted
	timer   *time.Timer
}

func newLedger() *ledger { return &ledger{lent: map[string]entry{}} }

// add notes a loan, which ends by itself after the time.
func (l *ledger) add(granted limiter.Granted, lasts time.Duration) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.next++
	id := strconv.FormatUint(l.next, 36)
	l.lent[id] = entry{granted: granted, timer: time.AfterFunc(lasts, func() { l.end(id) })}
	return id
}

// end gives the slot of a loan back to the pool, once.
func (l *ledger) end(id string) {
	l.mutex.Lock()
	lent, ok := l.lent[id]
	delete(l.lent, id)
	l.mutex.Unlock()
	if ok {
		lent.timer.Stop()
		lent.granted.Release()
	}
}

func (l *ledger) close() {
	l.mutex.Lock()
	ids := make([]string, 0, len(l.lent))
	for id := range l.lent {
		ids = append(ids, id)
	}
	l.mutex.Unlock()
	for _, id := range ids {
		l.end(id)
	}
}

// Lent returns how many slots are lent out.
func (l *Lender) Lent() int {
	l.ledger.mutex.Lock()
	defer l.ledger.mutex.Unlock()
	return len(l.ledger.lent)
}

// Grant serves a peer's borrow request: it waits for an idle slot behind all
// own calls.
func (l *Lender) Grant(ctx context.Context, r *messenger.BorrowRequest) *messenger.BorrowReply {
	lane := l.publisher.Current().Lane(descriptor.ServiceName(r.GetService()))
	if lane == nil || lane.Pool().Slots() == 0 {
		return &messenger.BorrowReply{}
	}
	wait := min(time.Duration(r.GetWaitMilliseconds())*time.Millisecond, longestAsk)
	ask := limiter.NewAsk(0, time.Now().Add(wait), limiter.ForPeer())
	granted, ok := lane.Pool().Acquire(ctx, ask).(limiter.Granted)
	if !ok {
		return &messenger.BorrowReply{}
	}
	id := l.ledger.add(granted, loanLasts+loanGrace)
	return &messenger.BorrowReply{
		Loan:              id,
		Worker:            string(granted.Worker().ID()),
		LastsMilliseconds: uint32(loanLasts.Milliseconds()),
	}
}

// GiveBack serves a peer's message that it no longer needs slots.
func (l *Lender) GiveBack(r *messenger.GiveBackRequest) {
	for _, id := range r.GetLoans() {
		l.ledger.end(id)
	}
}
