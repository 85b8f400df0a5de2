package demonstrator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"burdocklane/descriptor"
	"burdocklane/loader"
)

const (
	callsPerSecond = 300
	tableInterval  = 2 * time.Second
	requestBytes   = 64
	responseBytes  = 2048
)

// results collects the outcomes of the calls by class, for the result table.
type results struct {
	mutex sync.Mutex
	rows  []classResult
}

type classResult struct {
	service descriptor.ServiceName
	class   descriptor.Class
	shot    loader.CallType
	summary *loader.Summary
}

func newResults(services []descriptor.Service) *results {
	res := &results{}
	for _, service := range services {
		for _, class := range service.Classes() {
			method := http.MethodPost
			if slices.Contains(class.Methods(), http.MethodGet) {
				method = http.MethodGet
			}
			shot := loader.NewCallType(method, class.Paths()[0], class.Target().Latency(), 1).WithSizes(requestBytes, responseBytes)
			res.rows = append(res.rows, classResult{service: service.Name(), class: class, shot: shot, summary: loader.NewSummary()})
		}
	}
	return res
}

func (res *results) shots() []loader.CallType {
	shots := make([]loader.CallType, 0, len(res.rows))
	for _, r := range res.rows {
		shots = append(shots, r.shot)
	}
	return shots
}

func (res *results) add(o loader.Outcome) {
	res.mutex.Lock()
	defer res.mutex.Unlock()
	for _, r := range res.rows {
		if r.shot == o.CallType() {
			r.summary.Add(o)
			return
		}
	}
}

// Run sends load for the given duration, or until the context is cancelled, and
// periodically prints a table that compares each class's target with its
// results.
func (d *Demonstrator) Run(ctx context.Context, duration time.Duration) {
	snapshot := d.instances[0].Publisher().Current()
	res := newResults(snapshot.Deployment().Services())
	d.printIntro(snapshot.Deployment().Revision())
	client := loader.NewClient()
	defer client.CloseIdleConnections()
	var targets []string
	for _, instance := range d.instances {
		targets = append(targets, instance.Callers())
	}
	plan := loader.NewPlan(targets, res.shots(), callsPerSecond, duration, loader.WithObserver(res.add), loader.WithPrefix("demo"))
	finished := make(chan *loader.Summary, 1)
	d.done.Go(func() { finished <- loader.Run(ctx, client, plan) })
	ticker := time.NewTicker(tableInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.printTable(res, "so far")
		case total := <-finished:
			d.printTable(res, "at the end")
			fmt.Fprintf(d.output, "\n%d calls: %d good, %d rejected before they ran, %d with unknown outcome, %d failed or wrong; invariant violations: %d\n",
				total.Total(), total.Count(loader.Good), total.Count(loader.NotRun), total.Count(loader.Unknown),
				total.Count(loader.Failed)+total.Count(loader.Broken)+total.Count(loader.Wrong), d.violations())
			return
		}
	}
}

func (d *Demonstrator) violations() int64 {
	count := int64(0)
	for _, instance := range d.instances {
		count += instance.Violations()
	}
	return count
}

func (d *Demonstrator) printIntro(revision descriptor.Revision) {
	fmt.Fprintf(d.output, "Both example configurations are active at revision %d.\n\n", revision)
	for n, instance := range d.instances {
		fmt.Fprintf(d.output, "instance demo-%d   callers http://%s   status http://%s/status   metrics http://%s/metrics\n",
			n+1, instance.Callers(), instance.Admin(), instance.Admin())
	}
	fmt.Fprintf(d.output, "\nWhile the demo runs, try:\n")
	fmt.Fprintf(d.output, "  curl -i -H 'X-Request-Id: my-call' http://%s/designs/1?bytes=100\n", d.instances[0].Callers())
	fmt.Fprintf(d.output, "  burdocklane explain my-call --admin %s\n", d.instances[0].Admin())
	fmt.Fprintf(d.output, "  burdocklane config history --store %s\n", d.platformURL)
}

func (d *Demonstrator) printTable(res *results, when string) {
	res.mutex.Lock()
	defer res.mutex.Unlock()
	fmt.Fprintf(d.output, "\nTargets and results, %s:\n", when)
	table := tabwriter.NewWriter(d.output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "service\tclass\trepeat\ttarget\tcalls\tgood\tlatency at quantile\tshare on time\t")
	for _, r := range res.rows {
		target := r.class.Target()
		verdict := "met"
		if r.summary.TargetAttainment() < target.Quantile() {
			verdict = "missed"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%v of calls in %s\t%d\t%d\t%s\t%.4f\t%s\n",
			r.service, r.class.Name(), descriptor.CallSemanticsText(r.class.CallSemantics()),
			target.Quantile(), target.Latency(), r.summary.Total(), r.summary.Count(loader.Good),
			r.summary.Quantile(100*target.Quantile()).Round(100*time.Microsecond), r.summary.TargetAttainment(), verdict)
	}
	table.Flush()
}
