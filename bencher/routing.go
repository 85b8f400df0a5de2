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

// product is the policy that is compared with the baselines.
const product = parser.PolicySharedSlots

const (
	warmup      = 1500 * time.Millisecond
	answerBytes = 1024
)

// Routing is the experiment that compares the routing policies.
type Routing struct {
	launcher  *launcher.Launcher
	user      string
	policies  []string
	scenarios []string
	rounds    int
	window    time.Duration
	scale     scale
	seed      uint64
	report    string
	output    io.Writer
	progress  io.Writer
}

// RoutingOption sets one property of a Routing.
type RoutingOption func(*Routing)

// WithPolicies sets which policies are compared.
func WithPolicies(names ...string) RoutingOption { return func(r *Routing) { r.policies = names } }

// WithScenarios sets which scenarios are run; none means all.
func WithScenarios(names ...string) RoutingOption { return func(r *Routing) { r.scenarios = names } }

// WithRounds sets how often each policy has its turn in each scenario.
func WithRounds(rounds int) RoutingOption { return func(r *Routing) { r.rounds = rounds } }

// WithWindow sets the length of one turn.
func WithWindow(d time.Duration) RoutingOption { return func(r *Routing) { r.window = d } }

// WithScale stretches all times by the factor.
func WithScale(factor float64) RoutingOption { return func(r *Routing) { r.scale = scale{factor} } }

// WithReport writes a report page to the file.
func WithReport(file string) RoutingOption { return func(r *Routing) { r.report = file } }

// NewRouting returns the experiment for a user's sizes.
func NewRouting(l *launcher.Launcher, user string, seed uint64, output, progress io.Writer, opts ...RoutingOption) *Routing {
	r := &Routing{
		launcher: l, user: user, seed: seed, output: output, progress: progress,
		policies: parser.Policies(), rounds: 2, window: 5 * time.Second, scale: scale{factor: 4},
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// routingLine is one result line: a policy in a scenario. Times are scaled
// back to the brief's.
type routingLine struct {
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

// Run starts the fleet and plays the scenarios; the policies take turns within
// each round.
func (b *Routing) Run(ctx context.Context) error {
	at := slices.IndexFunc(sizes(), func(s size) bool { return s.user == b.user })
	if at < 0 {
		return errors.Errorf("%q is not a user: authority or association", b.user)
	}
	r, err := newRig(ctx, b.launcher, sizes()[at], b.scale, b.policies)
	if err != nil {
		return err
	}
	var all []routingLine
	for _, s := range scenarios() {
		if len(b.scenarios) > 0 && !slices.Contains(b.scenarios, s.name) {
			continue
		}
		lines, err := b.play(ctx, r, s)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	if b.report == "" {
		return nil
	}
	return b.writeReport(all)
}

func (b *Routing) play(ctx context.Context, r *rig, s Scenario) ([]routingLine, error) {
	if err := r.prepare(ctx, s); err != nil {
		return nil, err
	}
	lines := make([]routingLine, len(b.policies))
	for i, policy := range b.policies {
		lines[i] = routingLine{
			Experiment: "routing", User: b.user, Scenario: s.name, Policy: policy,
			Seed: b.seed, Load: s.load, ScaleFactor: b.scale.factor, summary: loader.NewSummary(),
		}
	}
	for round := range b.rounds {
		for i := range lines {
			if err := b.turn(ctx, r, s, &lines[i], b.seed+uint64(round)); err != nil {
				return nil, err
			}
		}
	}
	best := bestBaseline(lines)
	for i := range lines {
		lines[i].finish(b, best)
		if err := json.NewEncoder(b.output).Encode(lines[i]); err != nil {
			return nil, errors.Wrap(err, "write result")
		}
		lines[i].print(b.progress)
	}
	return lines, nil
}

// turn sends one window of load through the instances of one policy.
func (b *Routing) turn(ctx context.Context, r *rig, s Scenario, line *routingLine, seed uint64) error {
	rate := s.rate(r.size.workers*r.size.slots, b.scale)
	client := loader.NewClient()
	defer client.CloseIdleConnections()
	shots := []loader.Shot{loader.NewShot(http.MethodGet, r.size.path, b.scale.of(r.size.target), 1).WithSizes(0, answerBytes)}
	targets := r.callers(line.Policy)
	loader.Run(ctx, client, loader.NewPlan(targets, shots, rate, warmup, loader.WithSeed(seed+warmupSeed)))
	before, err := r.effort(ctx, line.Policy)
	if err != nil {
		return err
	}
	var event sync.WaitGroup
	if s.event != nil {
		event.Go(func() { s.event(ctx, r, b.window) })
	}
	cross := int64(0)
	summary := loader.Run(ctx, client, loader.NewPlan(targets, shots, rate, b.window,
		loader.WithSeed(seed), loader.WithBurst(s.burstAt(b.window, b.scale)),
		loader.WithObserver(func(o loader.Outcome) {
			if o.Worker() != "" && !strings.HasPrefix(o.Worker(), "worker-"+regionOf(o.Entry())) {
				cross++
			}
		})))
	event.Wait()
	after, err := r.effort(ctx, line.Policy)
	if err != nil {
		return err
	}
	line.summary.Merge(summary)
	line.CrossRegion += float64(cross)
	line.Retries += float64(after.retries-before.retries) - (after.hedges - before.hedges)
	line.Hedges += after.hedges - before.hedges
	line.Measuring += float64(after.measured - before.measured)
	line.FirstWorker += float64(summary.Workers()[string(r.workers[0].Member().ID())])
	return nil
}

// warmupSeed keeps the warm-up's arrival times apart from the measured ones.
const warmupSeed = 1 << 32

// bestBaseline returns the lowest p99 of the policies but the product's.
func bestBaseline(lines []routingLine) time.Duration {
	best := time.Duration(0)
	for _, l := range lines {
		p99 := l.summary.Quantile(99)
		if l.Policy != product && (best == 0 || p99 < best) {
			best = p99
		}
	}
	return best
}

func (l *routingLine) finish(b *Routing, best time.Duration) {
	s := l.summary
	calls := float64(max(s.Total(), 1))
	back := func(percent float64) float64 {
		return float64(s.Quantile(percent)) / float64(time.Millisecond) / b.scale.factor
	}
	l.Calls, l.P50Ms, l.P99Ms, l.P999Ms = s.Total(), back(50), back(99), back(99.9)
	l.Met, l.NotRun = s.Met(), s.Share(loader.NotRun)
	l.Failed = s.Share(loader.Failed) + s.Share(loader.Unknown) + s.Share(loader.Broken) + s.Share(loader.Wrong)
	l.GoodPerS = s.Rate()
	l.TotalSeconds = s.Elapsed().Seconds()
	for _, perCall := range []*float64{&l.CrossRegion, &l.Retries, &l.Hedges, &l.Measuring, &l.FirstWorker} {
		*perCall /= calls
	}
	if best > 0 {
		l.P99ToBest = float64(s.Quantile(99)) / float64(best)
	}
}

func (l *routingLine) print(w io.Writer) {
	fmt.Fprintf(w, "%-17s %-15s p50 %6.1f  p99 %7.1f  p99.9 %7.1f  met %.4f  not-run %.4f  failed %.4f  retries %.3f  hedges %.3f  B/call %7.1f  cross %.3f  first %.3f  good/s %5.0f  p99/best %.2f\n",
		l.Scenario, l.Policy, l.P50Ms, l.P99Ms, l.P999Ms, l.Met, l.NotRun, l.Failed, l.Retries, l.Hedges,
		l.Measuring, l.CrossRegion, l.FirstWorker, l.GoodPerS, l.P99ToBest)
}

func (b *Routing) writeReport(lines []routingLine) error {
	file, err := os.Create(b.report)
	if err != nil {
		return errors.Wrap(err, "write report")
	}
	defer file.Close()
	return renderRouting(file, b.user, lines)
}
