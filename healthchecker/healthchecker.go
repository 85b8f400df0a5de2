// Package healthchecker runs health checks of workers over HTTP.
package healthchecker

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"burdocklane/parser"
	"burdocklane/registrar"
	"burdocklane/sender"

	"github.com/VictoriaMetrics/metrics"
)

// checkTimeout bounds one health check.
const checkTimeout = 250 * time.Millisecond

var checksTotal = metrics.NewCounter("burdocklane_status_checks_total")

// Health is the result of a health check: Healthy, Unhealthy, Unreachable or
// WrongWorker.
type Health interface{ health() }

// Healthy is the result for a worker that reports that it is healthy.
type Healthy struct{ reading reading }

// Unhealthy is the result for a worker that reports that it is unhealthy or about to
// stop.
type Unhealthy struct{ reading reading }

// Unreachable is the result for a worker that did not answer.
type Unreachable struct{ err error }

// WrongWorker is the result for an address that belongs to another worker.
type WrongWorker struct{ id registrar.WorkerID }

func (Healthy) health()     {}
func (Unhealthy) health()   {}
func (Unreachable) health() {}
func (WrongWorker) health() {}

// reading is what a response says beside the worker's health.
type reading struct {
	load      parser.Load
	loadKnown bool // The response has a load report.
	leaving   bool // The worker announces that it is about to stop.
	warmup    parser.Warmup
}

// readingOf returns what the response of a result says beside the worker's health.
func readingOf(health Health) reading {
	switch h := health.(type) {
	case Healthy:
		return h.reading
	case Unhealthy:
		return h.reading
	case Unreachable, WrongWorker:
	}
	return reading{}
}

// LoadOf returns the load report of a result, and false if there is none.
func LoadOf(health Health) (parser.Load, bool) {
	r := readingOf(health)
	return r.load, r.loadKnown
}

// IsHealthy reports whether the worker has answered that it is healthy.
func IsHealthy(health Health) bool {
	_, ok := health.(Healthy)
	return ok
}

// AnnouncesLeaving reports whether the worker has announced that it is about to stop.
func AnnouncesLeaving(health Health) bool { return readingOf(health).leaving }

// WarmupOf returns for how much longer the worker is cold, and false if the response does not
// say.
func WarmupOf(health Health) (time.Duration, bool) { return readingOf(health).warmup.Left() }

// Err returns the error of the request. It may be nil.
func (u Unreachable) Err() error { return u.err }

// ID returns the ID of the worker that has the address.
func (w WrongWorker) ID() registrar.WorkerID { return w.id }

// Checker runs health checks.
type Checker struct {
	sender        *sender.Sender
	workerHeader  string
	loadHeader    string
	leavingHeader string
	warmupHeader  string
}

// Option sets one property of a Checker.
type Option func(*Checker)

// WithLeavingHeader names the header by which a worker announces that it is about to stop.
// The default is none.
func WithLeavingHeader(name string) Option { return func(c *Checker) { c.leavingHeader = name } }

// WithWarmupHeader names the header by which a worker says for how many milliseconds longer it
// is cold. The default is none.
func WithWarmupHeader(name string) Option { return func(c *Checker) { c.warmupHeader = name } }

// New returns a Checker that sends requests through s. The headers named here hold the
// ID of the worker and its load report in a response.
func New(s *sender.Sender, workerHeader, loadHeader string, opts ...Option) *Checker {
	c := &Checker{sender: s, workerHeader: workerHeader, loadHeader: loadHeader}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Check sends a health check to the path of a worker.
func (c *Checker) Check(ctx context.Context, worker registrar.Worker, path string) Health {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	checksTotal.Inc()
	request := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: worker.Address(), Path: path},
		Host:   worker.Address(),
		Header: http.Header{"User-Agent": {""}},
	}
	switch o := c.sender.Send(ctx, request).(type) {
	case sender.Responded:
		return c.parse(worker, o.Response())
	case sender.Unsent:
		return Unreachable{err: o.Err()}
	case sender.Lost:
		return Unreachable{err: o.Err()}
	}
	return Unreachable{}
}

func (c *Checker) parse(worker registrar.Worker, response *http.Response) Health {
	response.Body.Close()
	if id := response.Header.Get(c.workerHeader); id != "" && id != string(worker.ID()) {
		return WrongWorker{id: registrar.WorkerID(id)}
	}
	// A missing or malformed load report does not change the health of the worker.
	load, err := parser.ParseLoad(response.Header.Get(c.loadHeader))
	r := reading{
		load: load, loadKnown: err == nil,
		leaving: parser.ParseLeaving(response.Header.Get(c.leavingHeader)),
		warmup:  parser.ParseWarmup(response.Header.Get(c.warmupHeader)),
	}
	if response.StatusCode == http.StatusOK {
		return Healthy{reading: r}
	}
	return Unhealthy{reading: r}
}
