// Package prober requests load reports from workers, for the probe-pool policy that
// experiments compare with.
package prober

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/budgeter"
	"burdocklane/counter"
	"burdocklane/holder"
	"burdocklane/limiter"
	"burdocklane/tracker"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
)

const (
	// Path is the path at which workers serve their load report.
	Path = "/load"
	// ProbeBytes is the part of the measurement budget that one probe takes.
	ProbeBytes = 512

	// probesPerCall is the probe rate of Prequal.
	probesPerCall       = 3
	maxConcurrentProbes = 64
	probeTimeout        = time.Second
	maxIdlePerWorker    = 4
	maxReportBytes      = 4 << 10
	maxHeadBytes        = 16 << 10
)

var probesTotal = metrics.NewCounter("burdocklane_probes_total")

// StatusError reports an answer to a probe that is no load report by its status.
type StatusError struct{ status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("probe: status %d", e.status) }

type report struct {
	InFlight int `json:"in-flight"`
}

// Prober sends probes to workers within the measurement budget.
type Prober struct {
	pools      <-chan *limiter.Pool
	budget     *budgeter.ByteBudget
	client     *http.Client
	semaphore  chan struct{}
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// New starts a Prober that probes a few random workers of each pool that it receives
// from the channel. Its connections have the source address and add their bytes to the
// counter.
func New(pools <-chan *limiter.Pool, budget *budgeter.ByteBudget, source string, bytes *atomic.Int64) *Prober {
	ctx, cancel := context.WithCancel(context.Background())
	dialer := &net.Dialer{Timeout: probeTimeout}
	if ip := net.ParseIP(source); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	p := &Prober{pools: pools, budget: budget, semaphore: make(chan struct{}, maxConcurrentProbes), cancel: cancel}
	p.client = &http.Client{Timeout: probeTimeout, Transport: &http.Transport{
		MaxIdleConnsPerHost:    maxIdlePerWorker,
		MaxResponseHeaderBytes: maxHeadBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return counter.Wrap(conn, bytes), nil
		},
	}}
	p.goroutines.Go(func() { p.run(ctx) })
	return p
}

// Close stops the probes and waits for those in progress.
func (p *Prober) Close() {
	p.cancel()
	p.goroutines.Wait()
	p.client.CloseIdleConnections()
}

func (p *Prober) run(ctx context.Context) {
	for {
		select {
		case pool := <-p.pools:
			p.probeRandom(ctx, pool)
		case <-ctx.Done():
			return
		}
	}
}

func (p *Prober) probeRandom(ctx context.Context, pool *limiter.Pool) {
	workers := pool.Workers()
	if len(workers) == 0 {
		return
	}
	for range probesPerCall {
		worker := workers[rand.IntN(len(workers))]
		select {
		case p.semaphore <- struct{}{}:
		default:
			return
		}
		if !p.budget.Spend(ProbeBytes) {
			<-p.semaphore
			return
		}
		p.goroutines.Go(func() {
			defer func() { <-p.semaphore }()
			p.probe(ctx, worker) //nolint:errcheck // After an error, the last report stays.
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
	if response.StatusCode != http.StatusOK {
		return &StatusError{status: response.StatusCode}
	}
	var r report
	data, err := holder.ReadLimited(response.Body, maxReportBytes)
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return errors.Wrap(err, "probe")
	}
	worker.SetProbedInFlight(r.InFlight)
	return nil
}
