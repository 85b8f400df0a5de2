// Package prober asks workers for their load report, for the probe-pool policy
// that experiments compare with.
package prober

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/budgeter"
	"burdocklane/counter"
	"burdocklane/limiter"
	"burdocklane/tracker"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
)

const (
	// Path is where workers serve their load report.
	Path = "/load"
	// ProbeBytes is reserved in the measuring budget for one probe.
	ProbeBytes = 512

	// probesPerCall is the rate that Prequal uses.
	probesPerCall = 3
	probesAtOnce  = 64
	probeTimeout  = time.Second
	idlePerWorker = 4
)

var probesTotal = metrics.NewCounter("burdocklane_probes_total")

type report struct {
	InFlight int `json:"in-flight"`
}

// Prober sends probes within the measuring budget.
type Prober struct {
	calls   <-chan *limiter.Pool
	account *budgeter.Account
	client  *http.Client
	busy    chan struct{}
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// New starts a Prober that probes a few workers for each pool on the channel.
// Connections come from the source address and add their bytes to the counter.
func New(calls <-chan *limiter.Pool, account *budgeter.Account, source string, bytes *atomic.Int64) *Prober {
	ctx, cancel := context.WithCancel(context.Background())
	dialer := &net.Dialer{Timeout: probeTimeout}
	if ip := net.ParseIP(source); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	p := &Prober{calls: calls, account: account, busy: make(chan struct{}, probesAtOnce), cancel: cancel}
	p.client = &http.Client{Timeout: probeTimeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: idlePerWorker,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return counter.Wrap(conn, bytes), nil
		},
	}}
	p.done.Go(func() { p.run(ctx) })
	return p
}

// Close ends the probes.
func (p *Prober) Close() {
	p.cancel()
	p.done.Wait()
	p.client.CloseIdleConnections()
}

func (p *Prober) run(ctx context.Context) {
	for {
		select {
		case pool := <-p.calls:
			p.probeSome(ctx, pool)
		case <-ctx.Done():
			return
		}
	}
}

func (p *Prober) probeSome(ctx context.Context, pool *limiter.Pool) {
	workers := pool.Workers()
	if len(workers) == 0 {
		return
	}
	for range probesPerCall {
		worker := workers[rand.IntN(len(workers))]
		select {
		case p.busy <- struct{}{}:
		default:
			return
		}
		if !p.account.Spend(ProbeBytes) {
			<-p.busy
			return
		}
		p.done.Go(func() {
			defer func() { <-p.busy }()
			p.probe(ctx, worker) //nolint:errcheck // The last report stays.
		})
	}
}

func (p *Prober) probe(ctx context.Context, worker *tracker.Worker) error {
	probesTotal.Inc()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+worker.Address()+Path, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	response, err := p.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	defer response.Body.Close()
	var r report
	if err := json.NewDecoder(response.Body).Decode(&r); err != nil {
		return errors.Wrap(err, "probe")
	}
	worker.SetProbedInFlight(r.InFlight)
	return nil
}
