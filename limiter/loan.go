package limiter

import (
	"sync/atomic"
	"time"

	"burdocklane/descriptor"
	"burdocklane/registrar"
	"burdocklane/tracker"
)

// Want tells that a call of a service waits, and until when a slot lent by a
// peer would help it.
type Want struct {
	service  descriptor.ServiceName
	deadline time.Time
}

// Service returns the service whose slot is wanted.
func (w Want) Service() descriptor.ServiceName { return w.service }

// Deadline returns when the waiting call is given up.
func (w Want) Deadline() time.Time { return w.deadline }

// Loan is a worker's slot that a peer has lent to this instance.
type Loan struct {
	id      string
	lender  registrar.InstanceID
	worker  *tracker.Worker
	expires time.Time
	giveUp  func(*Loan)
	closed  atomic.Bool
}

// NewLoan returns a loan of a slot at the worker that ends by itself at
// expires. The function giveUp is called once, when the slot is not needed.
func NewLoan(id string, lender registrar.InstanceID, worker *tracker.Worker, expires time.Time, giveUp func(*Loan)) *Loan {
	return &Loan{id: id, lender: lender, worker: worker, expires: expires, giveUp: giveUp}
}

// ID returns the lender's name of the loan.
func (l *Loan) ID() string { return l.id }

// Lender returns the instance that the slot belongs to.
func (l *Loan) Lender() registrar.InstanceID { return l.lender }

func (l *Loan) end() {
	if l.closed.CompareAndSwap(false, true) {
		l.giveUp(l)
	}
}

// want tells the lending side of a waiting call, and never blocks.
func (p *Pool) want(w *waiter) {
	if p.wants == nil || w.ask.lending {
		return
	}
	select {
	case p.wants <- Want{service: p.service, deadline: w.ask.deadline}:
	default:
	}
}

// Lend hands a borrowed slot to the most urgent own call that waits. If none
// does, or the worker is leaving, the loan ends at once.
func (p *Pool) Lend(loan *Loan) {
	if loan.worker.LeavingFor(p.Now()) > 0 {
		loan.end()
		return
	}
	p.mutex.Lock()
	head := p.ownHead()
	if head != nil {
		p.hand(head, Granted{pool: p, worker: loan.worker, loan: loan})
	}
	p.mutex.Unlock()
	if head == nil {
		loan.end()
	}
}

func (p *Pool) ownHead() *waiter {
	head := p.queue.head()
	if head == nil || head.ask.lending {
		return nil
	}
	return head
}

// releaseLoan uses the slot for the next waiting call while the loan lasts.
func (p *Pool) releaseLoan(loan *Loan) {
	if time.Now().After(loan.expires) {
		loan.end()
		return
	}
	p.Lend(loan)
}
