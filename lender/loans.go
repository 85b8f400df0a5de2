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

// loanTable tracks the slots that are lent to peers.
type loanTable struct {
	mutex sync.Mutex
	next  uint64
	lent  map[string]loan
}

type loan struct {
	granted limiter.Granted
	timer   *time.Timer
}

func newLoanTable() *loanTable { return &loanTable{lent: map[string]loan{}} }

// add records a loan that is released after ttl unless it is returned earlier.
func (l *loanTable) add(granted limiter.Granted, ttl time.Duration) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.next++
	id := strconv.FormatUint(l.next, 36)
	l.lent[id] = loan{granted: granted, timer: time.AfterFunc(ttl, func() { l.release(id) })}
	return id
}

// release returns the slot of a loan to the pool. Only the first call for an ID
// has an effect.
func (l *loanTable) release(id string) {
	l.mutex.Lock()
	lent, ok := l.lent[id]
	delete(l.lent, id)
	l.mutex.Unlock()
	if ok {
		lent.timer.Stop()
		lent.granted.Release()
	}
}

func (l *loanTable) close() {
	l.mutex.Lock()
	ids := make([]string, 0, len(l.lent))
	for id := range l.lent {
		ids = append(ids, id)
	}
	l.mutex.Unlock()
	for _, id := range ids {
		l.release(id)
	}
}

// LentSlots returns the number of slots that are lent to peers.
func (l *Lender) LentSlots() int {
	l.loanTable.mutex.Lock()
	defer l.loanTable.mutex.Unlock()
	return len(l.loanTable.lent)
}

// Grant handles a peer's borrow request. It waits for an idle slot with lower
// priority than all local calls.
func (l *Lender) Grant(ctx context.Context, r *messenger.BorrowRequest) *messenger.BorrowReply {
	service := l.publisher.Current().ServiceState(descriptor.ServiceName(r.GetService()))
	if service == nil || service.Pool().Slots() == 0 {
		return &messenger.BorrowReply{}
	}
	wait := min(time.Duration(r.GetWaitMilliseconds())*time.Millisecond, maxBorrowWait)
	request := limiter.NewRequest(0, time.Now().Add(wait), limiter.ForLoan())
	granted, ok := service.Pool().Acquire(ctx, request).(limiter.Granted)
	if !ok {
		return &messenger.BorrowReply{}
	}
	id := l.loanTable.add(granted, loanTTL+loanGracePeriod)
	return &messenger.BorrowReply{
		Loan:              id,
		Worker:            string(granted.Worker().ID()),
		LastsMilliseconds: uint32(loanTTL.Milliseconds()),
	}
}

// GiveBack handles a peer's request to return borrowed slots.
func (l *Lender) GiveBack(r *messenger.GiveBackRequest) {
	for _, id := range r.GetLoans() {
		l.loanTable.release(id)
	}
}
