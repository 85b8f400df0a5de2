package bencher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"burdocklane/descriptor"
	"burdocklane/emulator"
	"burdocklane/launcher"
	"burdocklane/loader"
	"burdocklane/registrar"

	"github.com/go-faster/errors"
)

const (
	soakWorkers   = 3
	soakInstances = 3
	soakRate      = 120
	soakSlots     = 4
	shortestFault = 300 * time.Millisecond
	longestFault  = 4 * time.Second
	faultGap      = time.Second
	watchEvery    = 200 * time.Millisecond
	inForceTarget = 13 * time.Second
)

// Soak is the long randomised run: load, faults of all kinds in an order drawn
// from the seed, and a verdict from the workers' journals and the callers' own
// records.
type Soak struct {
	launcher *launcher.Launcher
	example  string
	length   time.Duration
	seed     uint64
	output   io.Writer
	progress io.Writer
}

// NewSoak returns the run with the example configuration.
func NewSoak(l *launcher.Launcher, example string, length time.Duration, seed uint64, output, progress io.Writer) *Soak {
	return &Soak{launcher: l, example: example, length: length, seed: seed, output: output, progress: progress}
}

// soakRun is the state of one run.
type soakRun struct {
	*Soak
	rng     *rand.Rand
	base    descriptor.Deployment
	place   registrar.Place
	started time.Time
	number  int

	mutex     sync.Mutex // Guards what follows.
	workers   []*launcher.Worker
	instances []*soakInstance
	all       []*soakInstance
	faults    map[string]int
	outcomes  []loader.Outcome
	broken    []string
	accepted  descriptor.Revision
}

// soakInstance is an instance and what was done to it.
type soakInstance struct {
	*launcher.Instance
	disturbed bool // It was killed or frozen: its calls may fail.
	revision  descriptor.Revision
}

// soakLine is the result line.
type soakLine struct {
	Experiment string         `json:"experiment"`
	Seed       uint64         `json:"seed"`
	Seconds    float64        `json:"seconds"`
	Calls      int            `json:"calls"`
	Outcomes   map[string]int `json:"outcomes"`
	Faults     map[string]int `json:"faults"`
	Changes    int64          `json:"revision-in-the-end"`
	Broken     []string       `json:"promises-broken"`
}

// Run plays the run and writes its verdict. The error tells of broken promises.
func (b *Soak) Run(ctx context.Context) error {
	r := &soakRun{
		Soak: b, rng: rand.New(rand.NewPCG(b.seed, b.seed)), place: registrar.NewPlace("pwani", "pwani-a"),
		faults: map[string]int{},
	}
	if err := r.start(ctx); err != nil {
		return err
	}
	r.started = time.Now()
	var beside sync.WaitGroup
	watching, stop := context.WithCancel(ctx)
	beside.Go(func() { r.watch(watching) })
	loaded := make(chan struct{})
	go func() {
		r.load(ctx)
		close(loaded)
	}()
	r.disturb(ctx)
	<-loaded
	stop()
	beside.Wait()
	r.settle(ctx)
	return r.verdict()
}

func (r *soakRun) start(ctx context.Context) error {
	if _, err := r.launcher.StartPlatform(); err != nil {
		return err
	}
	var err error
	if r.base, err = readDeployment(r.example); err != nil {
		return err
	}
	for _, service := range r.base.Services() {
		for n := range soakWorkers {
			if err := r.addWorker(fmt.Sprintf("%s-%d", service.Name(), n), service.Name()); err != nil {
				return err
			}
		}
	}
	if err := applyDeployment(ctx, r.launcher.Platform(), r.base); err != nil {
		return err
	}
	for range soakInstances {
		if err := r.addInstance(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *soakRun) addWorker(id string, service descriptor.ServiceName) error {
	member := registrar.NewWorker(registrar.WorkerID(id), service, "127.0.0.1:0", r.place, soakSlots, false)
	w, err := r.launcher.StartWorker(launcher.NewWorkerSpec(member, emulator.NewBehaviour()).WithJournal(r.journal(id)))
	if err != nil {
		return err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.workers = append(r.workers, w)
	return nil
}

func (r *soakRun) journal(id string) string { return filepath.Join(r.launcher.Dir(), id+".journal") }

func (r *soakRun) addInstance(ctx context.Context) error {
	r.number++
	i, err := r.launcher.StartInstance(launcher.NewInstanceSpec(registrar.InstanceID("instance-"+strconv.Itoa(r.number)), r.place, "127.0.0.1"))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := i.AwaitReady(ctx); err != nil {
		return err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	added := &soakInstance{Instance: i}
	r.instances = append(r.instances, added)
	r.all = append(r.all, added)
	return nil
}

// load sends calls of every class to the instances that are ready.
func (r *soakRun) load(ctx context.Context) {
	var shots []loader.Shot
	for _, service := range r.base.Services() {
		for _, class := range service.Classes() {
			method, body := http.MethodGet, 0
			if !isIdempotent(class) {
				method, body = http.MethodPost, 200
			}
			shots = append(shots, loader.NewShot(method, class.Paths()[0], class.Target().Latency(), 1).WithSizes(body, 2000))
		}
	}
	client := loader.NewClient()
	defer client.CloseIdleConnections()
	loader.Run(ctx, client, loader.NewPlan(nil, shots, soakRate, r.length, loader.WithSeed(r.seed),
		loader.WithPrefix("soak"), loader.WithTargets(r.callers), loader.WithObserver(func(o loader.Outcome) {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.outcomes = append(r.outcomes, o)
		})))
}

func isIdempotent(c descriptor.Class) bool {
	_, ok := c.Repeat().(descriptor.Idempotent)
	return ok
}

func (r *soakRun) callers() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	addresses := make([]string, 0, len(r.instances))
	for _, i := range r.instances {
		addresses = append(addresses, i.Callers())
	}
	return addresses
}

func (r *soakRun) verdict() error {
	line := soakLine{
		Experiment: "soak", Seed: r.seed, Seconds: time.Since(r.started).Seconds(), Calls: len(r.outcomes),
		Outcomes: map[string]int{}, Faults: r.faults, Changes: int64(r.accepted), Broken: r.broken,
	}
	for _, o := range r.outcomes {
		line.Outcomes[string(o.Kind())]++
	}
	if err := json.NewEncoder(r.output).Encode(line); err != nil {
		return errors.Wrap(err, "write result")
	}
	fmt.Fprintf(r.progress, "seed %d: %d calls %v, faults %v, %d promises broken\n", r.seed, line.Calls, line.Outcomes, line.Faults, len(line.Broken))
	if len(line.Broken) > 0 {
		return errors.Errorf("%d promises broken; the first: %s; again with: burdocklane bench soak --seed %d --for %s",
			len(line.Broken), line.Broken[0], r.seed, r.length)
	}
	return nil
}
