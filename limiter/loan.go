package limiter

import (
	"sync/atomic"
	"time"

	"burdocklane/descriptor"
	"burdocklane/registrar"
	"burdocklane/tracker"
)

// SlotDemand signals that a call of a service is queued and would benefit from a
// slot lent by a peer.
type SlotDemand struct {
	service  descriptor.ServiceName
	deadline time.Time
}

// Service returns the service that needs a slot.
func (d SlotDemand) Service() descriptor.ServiceName { return d.service }

// Deadline returns when the queued call is abandoned.
func (d SlotDemand) Deadline() time.Time { return d.deadline }

// Loan is a worker's slot that a peer has lent to this instance.
type Loan struct {
	id      string
	lender  registrar.InstanceID
	worker  *tracker.Worker
	expires time.Time
	release func(*Loan)
	closed  atomic.Bool
}

// NewLoan returns a loan of a slot of the worker that expires at the given
// time. release is called once, when the slot is no longer needed.
func NewLoan(id string, lender registrar.InstanceID, worker *tracker.Worker, expires time.Time, release func(*Loan)) *Loan {
	return &Loan{id: id, lender: lender, worker: worker, expires: expires, release: release}
}

// ID returns the identifier that the lender assigned to the loan.
func (l *Loan) ID() string { return l.id }

// Lender returns the instance that owns the slot.
func (l *Loan) Lender() registrar.InstanceID { return l.lender }

func (l *Loan) finish() {
	if l.closed.CompareAndSwap(false, true) {
		l.release(l)
	}
}

// signalDemand signals that a call is queued. It never blocks: the signal is
// dropped while the channel is full.
func (p *Pool) signalDemand(w *waiter) {
	if p.demand == nil || w.req.lending {
		return
	}
	select {
	case p.demand <- SlotDemand{service: p.service, deadline: w.req.deadline}:
	default:
	}
}

// UseLoan uses a borrowed slot for the most urgent of the instance's own queued
// calls. The loan is finished at once if no call is queued, or the worker is
// leaving or must not get that call.
func (p *Pool) UseLoan(loan *Loan) {
	if loan.worker.LeavingFor(p.Now()) > 0 {
		loan.finish()
		return
	}
	p.mutex.Lock()
	head := p.ownHead()
	if head != nil && (!head.req.constraint.permits(loan.worker) || p.IsColdLimited(loan.worker)) {
		head = nil
	}
	if head != nil {
		p.deliver(head, Granted{pool: p, worker: loan.worker, loan: loan})
	}
	p.mutex.Unlock()
	if head == nil {
		loan.finish()
	}
}

func (p *Pool) ownHead() *waiter {
	head := p.queue.head()
	if head == nil || head.req.lending {
		return nil
	}
	return head
}

// releaseLoan reuses the slot for the next queued call until the loan expires.
func (p *Pool) releaseLoan(loan *Loan) {
	if time.Now().After(loan.expires) {
		loan.finish()
		return
	}
	p.UseLoan(loan)
}
