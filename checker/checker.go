// Package checker asks workers how they are, by status checks over HTTP.
package checker

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

// checkTimeout bounds one status check.
const checkTimeout = 250 * time.Millisecond

var checksTotal = metrics.NewCounter("burdocklane_status_checks_total")

// Health is what a status check found: Well, Ill, Away or Misplaced.
type Health interface{ health() }

// Well says that the worker considers itself healthy.
type Well struct{ load Reading }

// Ill says that the worker considers itself unhealthy, or is leaving.
type Ill struct{ load Reading }

// Away says that the worker did not answer.
type Away struct{ err error }

// Misplaced says that another worker has the address.
type Misplaced struct{ id registrar.WorkerID }

func (Well) health()      {}
func (Ill) health()       {}
func (Away) health()      {}
func (Misplaced) health() {}

// Reading is a report of load, if the worker gave one.
type Reading struct {
	load  parser.Load
	known bool
}

// Load returns the report, and false if there is none.
func (r Reading) Load() (parser.Load, bool) { return r.load, r.known }

// Load returns the worker's report.
func (w Well) Load() Reading { return w.load }

// Load returns the worker's report.
func (i Ill) Load() Reading { return i.load }

// Err returns why there was no answer.
func (a Away) Err() error { return a.err }

// ID returns the worker that has the address.
func (m Misplaced) ID() registrar.WorkerID { return m.id }

// Checker makes status checks.
type Checker struct {
	sender *sender.Sender
	worker string
	load   string
}

// New returns a Checker that sends by s. In the answers, the header worker
// names the worker and the header load reports its load.
func New(s *sender.Sender, worker, load string) *Checker {
	return &Checker{sender: s, worker: worker, load: load}
}

// Check asks the worker on the path.
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
	case sender.Answer:
		return c.read(worker, o.Response())
	case sender.Unsent:
		return Away{err: o.Err()}
	case sender.Lost:
		return Away{err: o.Err()}
	}
	return Away{}
}

func (c *Checker) read(worker registrar.Worker, response *http.Response) Health {
	response.Body.Close()
	if id := response.Header.Get(c.worker); id != "" && id != string(worker.ID()) {
		return Misplaced{id: registrar.WorkerID(id)}
	}
	// A worker that reports no load, or none that can be read, is still well or ill.
	var reading Reading
	if load, err := parser.ParseLoad(response.Header.Get(c.load)); err == nil {
		reading = Reading{load: load, known: true}
	}
	if response.StatusCode == http.StatusOK {
		return Well{load: reading}
	}
	return Ill{load: reading}
}
