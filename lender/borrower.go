// Package lender moves idle slots between the instances of a region: it asks
// peers for slots when own calls wait, and grants theirs when own slots idle.
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
	// BorrowBytes is reserved in the measuring budget for one borrow request,
	// its answer, and the message that gives the slot back.
	BorrowBytes = 400

	// wantsBuffer is how many waiting calls can be told of at once.
	wantsBuffer = 256
	// asksAtOnce bounds the borrow requests that wait for an answer.
	asksAtOnce = 32
	// longestAsk is how long a peer may hold a borrow request.
	longestAsk = 50 * time.Millisecond
	// loanLasts is how long a borrower may start calls on a slot.
	loanLasts = time.Second
	// loanGrace is how much longer the lender waits for the slot.
	loanGrace = 2 * time.Second
	// quietAfterRefusal is how long a peer without an idle slot is not asked.
	quietAfterRefusal = 20 * time.Millisecond
	giveBackTimeout   = time.Second
)

var (
	borrowsTotal = metrics.NewCounter("burdocklane_borrow_requests_total")
	grantedTotal = metrics.NewCounter("burdocklane_borrowed_slots_total")
	brokeTotal   = metrics.NewCounter("burdocklane_borrow_refused_by_budget_total")
)

// Peers tells which peers can be asked.
type Peers func() []registrar.Instance

// Lender borrows and lends slots.
type Lender struct {
	self      registrar.Instance
	publisher *publisher.Publisher
	account   *budgeter.Account
	asserter  *asserter.Asserter
	client    *http.Client
	scheme    string
	peers     Peers
	wants     chan limiter.Want
	returns   chan *limiter.Loan
	asking    chan struct{}
	asked     sync.Map // From descriptor.ServiceName to *atomic.Int64.
	quiet     sync.Map // From registrar.InstanceID to the time until it is not asked.
	ledger    *ledger
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

// NewWants returns the channel on which pools tell of calls that wait.
func NewWants() chan limiter.Want { return make(chan limiter.Want, wantsBuffer) }

// New returns a Lender for the pools of p that lends. Start makes it borrow.
func New(self registrar.Instance, wants chan limiter.Want, p *publisher.Publisher, account *budgeter.Account, a *asserter.Asserter) *Lender {
	return &Lender{
		self:      self,
		publisher: p,
		account:   account,
		asserter:  a,
		wants:     wants,
		returns:   make(chan *limiter.Loan, wantsBuffer),
		asking:    make(chan struct{}, asksAtOnce),
		ledger:    newLedger(),
		cancel:    func() {},
	}
}

// Start makes the Lender borrow from the peers by the client.
func (l *Lender) Start(client *http.Client, scheme string, peers Peers) {
	ctx, cancel := context.WithCancel(context.Background())
	l.client, l.scheme, l.peers, l.cancel = client, scheme, peers, cancel
	l.done.Go(func() { l.run(ctx) })
}

// Close stops to borrow and gives all loans up.
func (l *Lender) Close() {
	l.cancel()
	l.done.Wait()
	l.ledger.close()
}

func (l *Lender) run(ctx context.Context) {
	for {
		select {
		case want := <-l.wants:
			l.consider(ctx, want)
		case loan := <-l.returns:
			l.giveBack(ctx, loan)
		case <-ctx.Done():
			return
		}
	}
}

// consider asks a peer unless as many asks are under way as calls wait.
func (l *Lender) consider(ctx context.Context, want limiter.Want) {
	lane := l.publisher.Current().Lane(want.Service())
	if lane == nil {
		return
	}
	asked := l.askedFor(want.Service())
	if asked.Load() >= int64(lane.Pool().Waiting()) {
		return
	}
	select {
	case l.asking <- struct{}{}:
	default:
		return
	}
	asked.Add(1)
	l.done.Go(func() {
		defer func() {
			asked.Add(-1)
			<-l.asking
		}()
		l.borrow(ctx, lane.Pool(), want)
	})
}

func (l *Lender) askedFor(service descriptor.ServiceName) *atomic.Int64 {
	counter, ok := l.asked.Load(service)
	if !ok {
		counter, _ = l.asked.LoadOrStore(service, &atomic.Int64{})
	}
	return counter.(*atomic.Int64)
}

// borrow asks one peer after another while own calls wait.
func (l *Lender) borrow(ctx context.Context, pool *limiter.Pool, want limiter.Want) {
	for pool.Waiting() > 0 && time.Now().Before(want.Deadline()) {
		peer, ok := l.choose()
		if !ok {
			return
		}
		if !l.account.Spend(BorrowBytes) {
			brokeTotal.Inc()
			return
		}
		l.asserter.Check(!l.account.Overspent(), asserter.MeasuringBudget, func(e *zerolog.Event) {
			e.Int64("spent", l.account.Spent())
		})
		if loan := l.ask(ctx, pool, peer, want); loan != nil {
			pool.Lend(loan)
			return
		}
		l.quiet.Store(peer.ID(), time.Now().Add(quietAfterRefusal))
	}
}

// choose draws a peer that has not lately refused.
func (l *Lender) choose() (registrar.Instance, bool) {
	peers := l.peers()
	now := time.Now()
	start := rand.IntN(max(len(peers), 1))
	for i := range peers {
		peer := peers[(start+i)%len(peers)]
		until, ok := l.quiet.Load(peer.ID())
		if !ok || now.After(until.(time.Time)) {
			return peer, true
		}
	}
	return registrar.Instance{}, false
}

func (l *Lender) ask(ctx context.Context, pool *limiter.Pool, peer registrar.Instance, want limiter.Want) *limiter.Loan {
	wait := min(longestAsk, time.Until(want.Deadline()))
	ctx, cancel := context.WithTimeout(ctx, wait+longestAsk)
	defer cancel()
	borrowsTotal.Inc()
	reply, err := l.stub(peer).Borrow(ctx, &messenger.BorrowRequest{
		Instance:         string(l.self.ID()),
		Service:          string(want.Service()),
		WaitMilliseconds: uint32(max(wait.Milliseconds(), 1)),
	})
	if err != nil || reply.GetLoan() == "" {
		return nil
	}
	lasts := min(time.Duration(reply.GetLastsMilliseconds())*time.Millisecond, loanLasts)
	worker := pool.Find(registrar.WorkerID(reply.GetWorker()))
	loan := limiter.NewLoan(reply.GetLoan(), peer.ID(), worker, time.Now().Add(lasts), l.enqueueReturn)
	if worker == nil {
		l.enqueueReturn(loan)
		return nil
	}
	grantedTotal.Inc()
	return loan
}

func (l *Lender) stub(peer registrar.Instance) messenger.Peers {
	return messenger.NewPeersProtobufClient(l.scheme+"://"+peer.Peers(), l.client)
}

// enqueueReturn never blocks; a loan that is not given back ends by itself.
func (l *Lender) enqueueReturn(loan *limiter.Loan) {
	select {
	case l.returns <- loan:
	default:
	}
}

// giveBack returns a loan, and with it all that wait to be returned to the
// same lender.
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
			l.stub(peer).GiveBack(ctx, &messenger.GiveBackRequest{Loans: loans}) //nolint:errcheck // The loans end by themselves.
		})
	}
}
