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
	tableEvery     = 2 * time.Second
	bodyBytes      = 64
	answerBytes    = 2048
)

// board adds up the outcomes of each class, for the table.
type board struct {
	mutex sync.Mutex
	rows  []row
}

type row struct {
	service descriptor.ServiceName
	class   descriptor.Class
	shot    loader.Shot
	summary *loader.Summary
}

func newBoard(services []descriptor.Service) *board {
	b := &board{}
	for _, service := range services {
		for _, class := range service.Classes() {
			method := http.MethodPost
			if slices.Contains(class.Methods(), http.MethodGet) {
				method = http.MethodGet
			}
			shot := loader.NewShot(method, class.Paths()[0], class.Target().Latency(), 1).WithSizes(bodyBytes, answerBytes)
			b.rows = append(b.rows, row{service: service.Name(), class: class, shot: shot, summary: loader.NewSummary()})
		}
	}
	return b
}

func (b *board) shots() []loader.Shot {
	shots := make([]loader.Shot, 0, len(b.rows))
	for _, r := range b.rows {
		shots = append(shots, r.shot)
	}
	return shots
}

func (b *board) add(o loader.Outcome) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, r := range b.rows {
		if r.shot == o.Shot() {
			r.summary.Add(o)
			return
		}
	}
}

// Run sends load for the time, or until the context ends, and prints the table
// of targets against outcomes.
func (d *Demonstrator) Run(ctx context.Context, length time.Duration) {
	snapshot := d.instances[0].Publisher().Current()
	b := newBoard(snapshot.Deployment().Services())
	d.greet(snapshot.Deployment().Revision())
	client := loader.NewClient()
	defer client.CloseIdleConnections()
	var targets []string
	for _, instance := range d.instances {
		targets = append(targets, instance.Callers())
	}
	plan := loader.NewPlan(targets, b.shots(), callsPerSecond, length, loader.WithObserver(b.add), loader.WithPrefix("demo"))
	finished := make(chan *loader.Summary, 1)
	d.done.Go(func() { finished <- loader.Run(ctx, client, plan) })
	ticker := time.NewTicker(tableEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.print(b, "so far")
		case total := <-finished:
			d.print(b, "in the end")
			fmt.Fprintf(d.output, "\n%d calls; %d good, %d refused as not run, %d unknown, %d failed or wrong; invariants broken: %d\n",
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

func (d *Demonstrator) greet(revision descriptor.Revision) {
	fmt.Fprintf(d.output, "Both users' example configurations are in force at revision %d.\n\n", revision)
	for n, instance := range d.instances {
		fmt.Fprintf(d.output, "instance demo-%d   callers http://%s   status http://%s/status   metrics http://%s/metrics\n",
			n+1, instance.Callers(), instance.Admin(), instance.Admin())
	}
	fmt.Fprintf(d.output, "\nTry, while it runs:\n")
	fmt.Fprintf(d.output, "  curl -i -H 'X-Request-Id: my-call' http://%s/designs/1?bytes=100\n", d.instances[0].Callers())
	fmt.Fprintf(d.output, "  burdocklane explain my-call --admin %s\n", d.instances[0].Admin())
	fmt.Fprintf(d.output, "  burdocklane config history --store %s\n", d.base)
}

func (d *Demonstrator) print(b *board, when string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	fmt.Fprintf(d.output, "\nTargets against outcomes, %s:\n", when)
	table := tabwriter.NewWriter(d.output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "service\tclass\trepeat\ttarget\tcalls\tgood\tat the quantile\tshare in time\t")
	for _, r := range b.rows {
		target := r.class.Target()
		verdict := "met"
		if r.summary.Met() < target.Quantile() {
			verdict = "missed"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%v of calls in %s\t%d\t%d\t%s\t%.4f\t%s\n",
			r.service, r.class.Name(), descriptor.RepeatText(r.class.Repeat()),
			target.Quantile(), target.Latency(), r.summary.Total(), r.summary.Count(loader.Good),
			r.summary.Quantile(100*target.Quantile()).Round(100*time.Microsecond), r.summary.Met(), verdict)
	}
	table.Flush()
}
