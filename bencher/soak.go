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
	soakWorkers          = 3
	soakInstances        = 3
	soakRate             = 120
	soakSlots            = 4
	minFaultDuration     = 300 * time.Millisecond
	maxFaultDuration     = 4 * time.Second
	maxFaultInterval     = time.Second
	revisionPollInterval = 200 * time.Millisecond
	activationTarget     = 13 * time.Second
)

// Soak is the soak test: it sends load, injects faults of all kinds in an order
// that the seed determines, and checks the guarantees to callers by comparing
// the workers' journals with what the callers recorded.
type Soak struct {
	launcher *launcher.Launcher
	example  string
	duration time.Duration
	seed     uint64
	output   io.Writer
	progress io.Writer
}

// NewSoak returns a soak test with the configuration in the file example.
func NewSoak(l *launcher.Launcher, example string, duration time.Duration, seed uint64, output, progress io.Writer) *Soak {
	return &Soak{launcher: l, example: example, duration: duration, seed: seed, output: output, progress: progress}
}

// soakRun is the state of a running soak test.
type soakRun struct {
	*Soak
	rng                *rand.Rand
	deployment         descriptor.Deployment
	locality           registrar.Locality
	started            time.Time
	lastInstanceNumber int

	mutex        sync.Mutex // Guards the fields below.
	workers      []*launcher.Worker
	instances    []*soakInstance
	allInstances []*soakInstance
	faults       map[string]int
	outcomes     []loader.Outcome
	violations   []string
	lastAccepted descriptor.Revision
}

// soakInstance is an instance, whether a fault killed or suspended it and the
// latest active revision that was seen.
type soakInstance struct {
	*launcher.Instance
	disturbed    bool // It was killed or suspended, so its calls may fail.
	lastRevision descriptor.Revision
}

// soakResult is the JSON result.
type soakResult struct {
	Experiment   string         `json:"experiment"`
	Seed         uint64         `json:"seed"`
	Seconds      float64        `json:"seconds"`
	Calls        int            `json:"calls"`
	Outcomes     map[string]int `json:"outcomes"`
	Faults       map[string]int `json:"faults"`
	LastAccepted int64          `json:"revision-in-the-end"`
	Violations   []string       `json:"promises-broken"`
}

// Run runs the soak test and writes its result. It returns an error if a guarantee
// was violated.
func (b *Soak) Run(ctx context.Context) error {
	r := &soakRun{
		Soak: b, rng: rand.New(rand.NewPCG(b.seed, b.seed)), locality: registrar.NewLocality("pwani", "pwani-a"),
		faults: map[string]int{},
	}
	if err := r.start(ctx); err != nil {
		return err
	}
	r.started = time.Now()
	var watchers sync.WaitGroup
	watchCtx, stopWatching := context.WithCancel(ctx)
	watchers.Go(func() { r.watchRevisions(watchCtx) })
	loadDone := make(chan struct{})
	go func() {
		r.load(ctx)
		close(loadDone)
	}()
	r.injectFaults(ctx)
	<-loadDone
	stopWatching()
	watchers.Wait()
	r.checkFinalState(ctx)
	return r.writeResult()
}

func (r *soakRun) start(ctx context.Context) error {
	if _, err := r.launcher.StartPlatform(); err != nil {
		return err
	}
	var err error
	if r.deployment, err = readDeployment(r.example); err != nil {
		return err
	}
	for _, service := range r.deployment.Services() {
		for n := range soakWorkers {
			if err := r.addWorker(fmt.Sprintf("%s-%d", service.Name(), n), service.Name()); err != nil {
				return err
			}
		}
	}
	if err := applyDeployment(ctx, r.launcher.PlatformURL(), r.deployment); err != nil {
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
	member := registrar.NewWorker(registrar.WorkerID(id), service, "127.0.0.1:0", r.locality, soakSlots, false)
	w, err := r.launcher.StartWorker(launcher.NewWorkerSpec(member, emulator.NewBehaviour()).WithJournal(r.journalPath(id)))
	if err != nil {
		return err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.workers = append(r.workers, w)
	return nil
}

func (r *soakRun) journalPath(id string) string {
	return filepath.Join(r.launcher.Dir(), id+".journal")
}

func (r *soakRun) addInstance(ctx context.Context) error {
	r.lastInstanceNumber++
	i, err := r.launcher.StartInstance(launcher.NewInstanceSpec(registrar.InstanceID("instance-"+strconv.Itoa(r.lastInstanceNumber)), r.locality, "127.0.0.1"))
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
	instance := &soakInstance{Instance: i}
	r.instances = append(r.instances, instance)
	r.allInstances = append(r.allInstances, instance)
	return nil
}

// load sends calls of every class to the current instances.
func (r *soakRun) load(ctx context.Context) {
	var callTypes []loader.CallType
	for _, service := range r.deployment.Services() {
		for _, class := range service.Classes() {
			method, body := http.MethodGet, 0
			if !isIdempotent(class) {
				method, body = http.MethodPost, 200
			}
			callTypes = append(callTypes, loader.NewCallType(method, class.Paths()[0], class.Target().Latency(), 1).WithSizes(body, 2000))
		}
	}
	client := loader.NewClient()
	defer client.CloseIdleConnections()
	loader.Run(ctx, client, loader.NewPlan(nil, callTypes, soakRate, r.duration, loader.WithSeed(r.seed),
		loader.WithPrefix("soak"), loader.WithTargets(r.callerAddresses), loader.WithObserver(func(o loader.Outcome) {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.outcomes = append(r.outcomes, o)
		})))
}

func isIdempotent(c descriptor.Class) bool {
	_, ok := c.CallSemantics().(descriptor.Idempotent)
	return ok
}

func (r *soakRun) callerAddresses() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	addresses := make([]string, 0, len(r.instances))
	for _, i := range r.instances {
		addresses = append(addresses, i.Callers())
	}
	return addresses
}

func (r *soakRun) writeResult() error {
	result := soakResult{
		Experiment: "soak", Seed: r.seed, Seconds: time.Since(r.started).Seconds(), Calls: len(r.outcomes),
		Outcomes: map[string]int{}, Faults: r.faults, LastAccepted: int64(r.lastAccepted), Violations: r.violations,
	}
	for _, o := range r.outcomes {
		result.Outcomes[string(o.Kind())]++
	}
	if err := json.NewEncoder(r.output).Encode(result); err != nil {
		return errors.Wrap(err, "write result")
	}
	fmt.Fprintf(r.progress, "seed %d: %d calls %v, faults %v, %d guarantees violated\n", r.seed, result.Calls, result.Outcomes, result.Faults, len(result.Violations))
	if len(result.Violations) > 0 {
		return errors.Errorf("%d guarantees violated, the first: %s; reproduce with: burdocklane bench soak --seed %d --for %s",
			len(result.Violations), result.Violations[0], r.seed, r.duration)
	}
	return nil
}
