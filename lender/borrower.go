// Package lender shares idle slots between the instances of a region: it
// borrows slots from peers when local calls wait, and lends idle ones to them.
package lender

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/asserter"
	"burdocklane/budgeter"
	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/messenger"
	"burdocklane/publisher"
	"burdocklane/registrar"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

const (
	// BorrowBytes is charged to the measurement budget for one borrow request, its
	// reply, and the message that returns the slot.
	BorrowBytes = 400

	// queueBuffer is the capacity of the channels for waiting calls and for loans
	// to be returned.
	queueBuffer = 256
	// maxInFlightRequests bounds the borrow requests in flight.
	maxInFlightRequests = 32
	// maxBorrowWait is how long a borrow request may wait for a slot at a peer.
	maxBorrowWait = 50 * time.Millisecond
	// loanTTL is how long a borrower may start calls on a slot.
	loanTTL = time.Second
	// loanGracePeriod is how long after loanTTL the lender waits for the slot to
	// be returned before it reclaims it.
	loanGracePeriod = 2 * time.Second
	// refusalBackoff is how long to wait before sending another borrow request to
	// a peer that granted no slot.
	refusalBackoff  = 20 * time.Millisecond
	giveBackTimeout = time.Second
)

var (
	requestsTotal       = metrics.NewCounter("burdocklane_borrow_requests_total")
	grantedTotal        = metrics.NewCounter("burdocklane_borrowed_slots_total")
	budgetRefusalsTotal = metrics.NewCounter("burdocklane_borrow_refused_by_budget_total")
)

// PeersFunc returns the peers to borrow from.
type PeersFunc func() []registrar.Instance

// Lender borrows slots from peers and lends its own.
type Lender struct {
	self         registrar.Instance
	publisher    *publisher.Publisher
	budget       *budgeter.ByteBudget
	asserter     *asserter.Asserter
	client       *http.Client
	scheme       string
	peers        PeersFunc
	waiting      chan limiter.SlotDemand
	returns      chan *limiter.Loan
	requestSlots chan struct{}
	inFlight     sync.Map // From descriptor.ServiceName to *atomic.Int64, the borrow requests in flight.
	backoffUntil sync.Map // From registrar.InstanceID to the end of its backoff, a time.Time.
	loanTable    *loanTable
	cancel       context.CancelFunc
	done         sync.WaitGroup
}

// NewWaitingCalls returns the channel on which pools announce waiting calls.
func NewWaitingCalls() chan limiter.SlotDemand { return make(chan limiter.SlotDemand, queueBuffer) }

// New returns a Lender that lends slots of p's pools. It borrows after Start.
func New(self registrar.Instance, waiting chan limiter.SlotDemand, p *publisher.Publisher, budget *budgeter.ByteBudget, a *asserter.Asserter) *Lender {
	return &Lender{
		self:         self,
		publisher:    p,
		budget:       budget,
		asserter:     a,
		waiting:      waiting,
		returns:      make(chan *limiter.Loan, queueBuffer),
		requestSlots: make(chan struct{}, maxInFlightRequests),
		loanTable:    newLoanTable(),
		cancel:       func() {},
	}
}

// Start begins to borrow slots from the peers, using the client.
func (l *Lender) Start(client *http.Client, scheme string, peers PeersFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	l.client, l.scheme, l.peers, l.cancel = client, scheme, peers, cancel
	l.done.Go(func() { l.run(ctx) })
}

// Close stops borrowing and releases the slots that are lent out.
func (l *Lender) Close() {
	l.cancel()
	l.done.Wait()
	l.loanTable.close()
}

func (l *Lender) run(ctx context.Context) {
	for {
		select {
		case call := <-l.waiting:
			l.startBorrowing(ctx, call)
		case loan := <-l.returns:
			l.giveBack(ctx, loan)
		case <-ctx.Done():
			return
		}
	}
}

// startBorrowing requests a slot from peers, unless there are already as many
// requests in flight as calls waiting.
func (l *Lender) startBorrowing(ctx context.Context, call limiter.SlotDemand) {
	service := l.publisher.Current().ServiceState(call.Service())
	if service == nil {
		return
	}
	inFlight := l.inFlightFor(call.Service())
	if inFlight.Load() >= int64(service.Pool().Waiting()) {
		return
	}
	select {
	case l.requestSlots <- struct{}{}:
	default:
		return
	}
	inFlight.Add(1)
	l.done.Go(func() {
		defer func() {
			inFlight.Add(-1)
			<-l.requestSlots
		}()
		l.borrow(ctx, service.Pool(), call)
	})
}

func (l *Lender) inFlightFor(service descriptor.ServiceName) *atomic.Int64 {
	counter, ok := l.inFlight.Load(service)
	if !ok {
		counter, _ = l.inFlight.LoadOrStore(service, &atomic.Int64{})
	}
	return counter.(*atomic.Int64)
}

// borrow sends requests to one peer after another until a slot is granted or no
// call waits.
func (l *Lender) borrow(ctx context.Context, pool *limiter.Pool, call limiter.SlotDemand) {
	for pool.Waiting() > 0 && time.Now().Before(call.Deadline()) {
		peer, ok := l.choosePeer()
		if !ok {
			return
		}
		if !l.budget.Spend(BorrowBytes) {
			budgetRefusalsTotal.Inc()
			return
		}
		l.asserter.Check(!l.budget.Overspent(), asserter.MeasuringBudget, func(e *zerolog.Event) {
			e.Int64("spent", l.budget.Spent())
		})
		if loan := l.requestLoan(ctx, pool, peer, call); loan != nil {
			pool.UseLoan(loan)
			return
		}
		l.backoffUntil.Store(peer.ID(), time.Now().Add(refusalBackoff))
	}
}

// choosePeer returns a random peer that is not in backoff.
func (l *Lender) choosePeer() (registrar.Instance, bool) {
	peers := l.peers()
	now := time.Now()
	start := rand.IntN(max(len(peers), 1))
	for i := range peers {
		peer := peers[(start+i)%len(peers)]
		until, ok := l.backoffUntil.Load(peer.ID())
		if !ok || now.After(until.(time.Time)) {
			return peer, true
		}
	}
	return registrar.Instance{}, false
}

func (l *Lender) requestLoan(ctx context.Context, pool *limiter.Pool, peer registrar.Instance, call limiter.SlotDemand) *limiter.Loan {
	wait := min(maxBorrowWait, time.Until(call.Deadline()))
	ctx, cancel := context.WithTimeout(ctx, wait+maxBorrowWait)
	defer cancel()
	requestsTotal.Inc()
	reply, err := l.stub(peer).Borrow(ctx, &messenger.BorrowRequest{
		Instance:         string(l.self.ID()),
		Service:          string(call.Service()),
		WaitMilliseconds: uint32(max(wait.Milliseconds(), 1)),
	})
	if err != nil || reply.GetLoan() == "" {
		return nil
	}
	ttl := min(time.Duration(reply.GetLastsMilliseconds())*time.Millisecond, loanTTL)
	worker := pool.Find(registrar.WorkerID(reply.GetWorker()))
	loan := limiter.NewLoan(reply.GetLoan(), peer.ID(), worker, time.Now().Add(ttl), l.enqueueReturn)
	if worker == nil {
		l.enqueueReturn(loan)
		return nil
	}
	grantedTotal.Inc()
	return loan
}

func (l *Lender) stub(peer registrar.Instance) messenger.Peers {
	return messenger.NewPeersProtobufClient(l.scheme+"://"+peer.PeerAddress(), l.client)
}

// enqueueReturn never blocks. It may drop the loan, whose lender then reclaims
// the slot when the loan expires.
func (l *Lender) enqueueReturn(loan *limiter.Loan) {
	select {
	case l.returns <- loan:
	default:
	}
}

// giveBack returns a loan together with all others that are queued, in one
// message to each lender.
func (l *Lender) giveBack(ctx context.Context, first *limiter.Loan) {
	byLender := map[registrar.InstanceID][]string{first.Lender(): {first.ID()}}
	for {
		select {
		case loan := <-l.returns:
			byLender[loan.Lender()] = append(byLender[loan.Lender()], loan.ID())
			continue
		default:
		}
		break
	}
	for _, peer := range l.peers() {
		loans := byLender[peer.ID()]
		if len(loans) == 0 {
			continue
		}
		l.done.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, giveBackTimeout)
			defer cancel()
			l.stub(peer).GiveBack(ctx, &messenger.GiveBackRequest{Loans: loans}) //nolint:errcheck // Loans expire if they are not returned.
		})
	}
}
