package bencher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"burdocklane/launcher"
	"burdocklane/loader"
	"burdocklane/parser"

	"github.com/go-faster/errors"
)

// ownPolicy is burdocklane's own policy, which is compared with the others as
// baselines.
const ownPolicy = parser.PolicySharedSlots

const (
	warmup        = 1500 * time.Millisecond
	responseBytes = 1024
)

// Routing is the experiment that compares the routing policies.
type Routing struct {
	launcher   *launcher.Launcher
	user       string
	policies   []string
	scenarios  []string
	rounds     int
	window     time.Duration
	timeScale  timeScale
	seed       uint64
	reportFile string
	output     io.Writer
	progress   io.Writer
}

// RoutingOption configures a Routing.
type RoutingOption func(*Routing)

// WithPolicies sets the policies to compare.
func WithPolicies(names ...string) RoutingOption { return func(r *Routing) { r.policies = names } }

// WithScenarios sets the scenarios to run; none means all.
func WithScenarios(names ...string) RoutingOption { return func(r *Routing) { r.scenarios = names } }

// WithRounds sets how many windows of load each policy gets in each scenario.
func WithRounds(rounds int) RoutingOption { return func(r *Routing) { r.rounds = rounds } }

// WithWindow sets the length of one window of load.
func WithWindow(d time.Duration) RoutingOption { return func(r *Routing) { r.window = d } }

// WithTimeScale multiplies all service times, delays and targets by the factor.
func WithTimeScale(factor float64) RoutingOption {
	return func(r *Routing) { r.timeScale = timeScale{factor} }
}

// WithReportFile makes Run write an HTML report to the file.
func WithReportFile(file string) RoutingOption { return func(r *Routing) { r.reportFile = file } }

// NewRouting returns the experiment for the fleet of a user.
func NewRouting(l *launcher.Launcher, user string, seed uint64, output, progress io.Writer, opts ...RoutingOption) *Routing {
	r := &Routing{
		launcher: l, user: user, seed: seed, output: output, progress: progress,
		policies: parser.Policies(), rounds: 2, window: 5 * time.Second, timeScale: timeScale{factor: 4},
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// routingResult is the JSON result for one policy in one scenario. Latencies are
// divided by the time scale.
type routingResult struct {
	Experiment   string  `json:"experiment"`
	User         string  `json:"user"`
	Scenario     string  `json:"scenario"`
	Policy       string  `json:"policy"`
	Seed         uint64  `json:"seed"`
	Load         float64 `json:"load"`
	Calls        int64   `json:"calls"`
	P50Ms        float64 `json:"p50-ms"`
	P99Ms        float64 `json:"p99-ms"`
	P999Ms       float64 `json:"p99.9-ms"`
	Met          float64 `json:"target-met"`
	NotRun       float64 `json:"not-run"`
	Failed       float64 `json:"failed-or-unknown"`
	Retries      float64 `json:"retries-per-call"`
	Hedges       float64 `json:"hedges-per-call"`
	Measuring    float64 `json:"measuring-bytes-per-call"`
	CrossRegion  float64 `json:"cross-region-calls"`
	GoodPerS     float64 `json:"good-per-s"`
	FirstWorker  float64 `json:"first-worker-share"`
	P99ToBest    float64 `json:"p99-to-best-baseline"`
	ScaleFactor  float64 `json:"time-scale"`
	TotalSeconds float64 `json:"seconds"`

	summary *loader.Summary
}

// Run starts the fleet and runs the scenarios. Within each round the policies are
// measured one after another.
func (b *Routing) Run(ctx context.Context) error {
	index := slices.IndexFunc(fleetSpecs(), func(s fleetSpec) bool { return s.user == b.user })
	if index < 0 {
		return errors.Errorf("unknown user %q: must be authority or association", b.user)
	}
	r, err := newRoutingFleet(ctx, b.launcher, fleetSpecs()[index], b.timeScale, b.policies)
	if err != nil {
		return err
	}
	var all []routingResult
	for _, s := range scenarios() {
		if len(b.scenarios) > 0 && !slices.Contains(b.scenarios, s.name) {
			continue
		}
		results, err := b.runScenario(ctx, r, s)
		if err != nil {
			return err
		}
		all = append(all, results...)
	}
	if b.reportFile == "" {
		return nil
	}
	return b.writeReport(all)
}

func (b *Routing) runScenario(ctx context.Context, r *routingFleet, s scenario) ([]routingResult, error) {
	if err := r.prepare(ctx, s); err != nil {
		return nil, err
	}
	results := make([]routingResult, len(b.policies))
	for i, policy := range b.policies {
		results[i] = routingResult{
			Experiment: "routing", User: b.user, Scenario: s.name, Policy: policy,
			Seed: b.seed, Load: s.load, ScaleFactor: b.timeScale.factor, summary: loader.NewSummary(),
		}
	}
	for round := range b.rounds {
		for i := range results {
			if err := b.runWindow(ctx, r, s, &results[i], b.seed+uint64(round)); err != nil {
				return nil, err
			}
		}
	}
	best := lowestBaselineP99(results)
	for i := range results {
		results[i].complete(b, best)
		if err := json.NewEncoder(b.output).Encode(results[i]); err != nil {
			return nil, errors.Wrap(err, "write result")
		}
		results[i].print(b.progress)
	}
	return results, nil
}

// runWindow sends one window of load through the instances of one policy and adds
// the figures to its result.
func (b *Routing) runWindow(ctx context.Context, r *routingFleet, s scenario, result *routingResult, seed uint64) error {
	rate := s.rate(r.spec.workers*r.spec.slots, b.timeScale)
	client := loader.NewClient()
	defer client.CloseIdleConnections()
	callTypes := []loader.CallType{loader.NewCallType(http.MethodGet, r.spec.path, b.timeScale.apply(r.spec.target), 1).WithSizes(0, responseBytes)}
	targets := r.callerAddresses(result.Policy)
	loader.Run(ctx, client, loader.NewPlan(targets, callTypes, rate, warmup, loader.WithSeed(seed+warmupSeedOffset)))
	before, err := r.readCounters(ctx, result.Policy)
	if err != nil {
		return err
	}
	var event sync.WaitGroup
	if s.event != nil {
		event.Go(func() { s.event(ctx, r, b.window) })
	}
	crossRegion := int64(0)
	summary := loader.Run(ctx, client, loader.NewPlan(targets, callTypes, rate, b.window,
		loader.WithSeed(seed), loader.WithBurst(s.burstDuring(b.window, b.timeScale)),
		loader.WithObserver(func(o loader.Outcome) {
			if o.Worker() != "" && !strings.HasPrefix(o.Worker(), "worker-"+regionOf(o.Address())) {
				crossRegion++
			}
		})))
	event.Wait()
	after, err := r.readCounters(ctx, result.Policy)
	if err != nil {
		return err
	}
	result.summary.Merge(summary)
	result.CrossRegion += float64(crossRegion)
	result.Retries += float64(after.retries-before.retries) - (after.hedges - before.hedges)
	result.Hedges += after.hedges - before.hedges
	result.Measuring += float64(after.measurementBytes - before.measurementBytes)
	result.FirstWorker += float64(summary.Workers()[string(r.workers[0].Member().ID())])
	return nil
}

// warmupSeedOffset is added to the seed for the warm-up, so that its arrival times
// differ from the measured ones.
const warmupSeedOffset = 1 << 32

// lowestBaselineP99 returns the lowest p99 latency of the baselines.
func lowestBaselineP99(results []routingResult) time.Duration {
	best := time.Duration(0)
	for _, l := range results {
		p99 := l.summary.Quantile(99)
		if l.Policy != ownPolicy && (best == 0 || p99 < best) {
			best = p99
		}
	}
	return best
}

// complete fills in the figures of the summary and turns counts into averages per
// call. The argument best is the lowest p99 latency of the baselines.
func (l *routingResult) complete(b *Routing, best time.Duration) {
	s := l.summary
	calls := float64(max(s.Total(), 1))
	unscaledMs := func(percent float64) float64 {
		return float64(s.Quantile(percent)) / float64(time.Millisecond) / b.timeScale.factor
	}
	l.Calls, l.P50Ms, l.P99Ms, l.P999Ms = s.Total(), unscaledMs(50), unscaledMs(99), unscaledMs(99.9)
	l.Met, l.NotRun = s.TargetAttainment(), s.Share(loader.NotRun)
	l.Failed = s.Share(loader.Failed) + s.Share(loader.Unknown) + s.Share(loader.Broken) + s.Share(loader.Wrong)
	l.GoodPerS = s.Goodput()
	l.TotalSeconds = s.Elapsed().Seconds()
	for _, perCall := range []*float64{&l.CrossRegion, &l.Retries, &l.Hedges, &l.Measuring, &l.FirstWorker} {
		*perCall /= calls
	}
	if best > 0 {
		l.P99ToBest = float64(s.Quantile(99)) / float64(best)
	}
}

func (l *routingResult) print(w io.Writer) {
	fmt.Fprintf(w, "%-17s %-15s p50 %6.1f  p99 %7.1f  p99.9 %7.1f  met %.4f  not-run %.4f  failed %.4f  retries %.3f  hedges %.3f  B/call %7.1f  cross %.3f  first %.3f  good/s %5.0f  p99/best %.2f\n",
		l.Scenario, l.Policy, l.P50Ms, l.P99Ms, l.P999Ms, l.Met, l.NotRun, l.Failed, l.Retries, l.Hedges,
		l.Measuring, l.CrossRegion, l.FirstWorker, l.GoodPerS, l.P99ToBest)
}

func (b *Routing) writeReport(results []routingResult) error {
	file, err := os.Create(b.reportFile)
	if err != nil {
		return errors.Wrap(err, "write report")
	}
	defer file.Close()
	return renderRouting(file, b.user, results)
}
