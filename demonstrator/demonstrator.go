// Package demonstrator runs the demo: instances, an emulated platform and
// emulated workers in one process.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"burdocklane/applier"
	"burdocklane/assembler"
	"burdocklane/descriptor"
	"burdocklane/emulator"
	exampler "burdocklane/examples"
	"burdocklane/parser"
	"burdocklane/registrar"
	"burdocklane/supervisor"

	"github.com/go-faster/errors"
)

const (
	workersPerService  = 2
	slotsPerWorker     = 4
	instanceCount      = 2
	headerTimeout      = 10 * time.Second
	workerDrainTimeout = 5 * time.Second
	readyTimeout       = 10 * time.Second
)

// Demonstrator is a running demo.
type Demonstrator struct {
	output      io.Writer
	logFile     *os.File
	tempDir     string
	locality    registrar.Locality
	platform    *emulator.Platform
	server      *http.Server
	platformURL string
	workers     []*emulator.Worker
	instances   []*supervisor.Supervisor
	done        sync.WaitGroup
}

// New starts the platform, the workers and the instances. Result tables are
// written to output, and the instances' logs to a temporary file.
func New(ctx context.Context, output io.Writer) (*Demonstrator, error) {
	d := &Demonstrator{output: output, locality: registrar.NewLocality("local", "local-a"), platform: emulator.NewPlatform()}
	if err := d.start(ctx); err != nil {
		d.Close() //nolint:errcheck // The error of start is the one to report.
		return nil, err
	}
	return d, nil
}

func (d *Demonstrator) start(ctx context.Context) error {
	var err error
	if d.tempDir, err = os.MkdirTemp("", "burdocklane-demo-"); err != nil {
		return errors.Wrap(err, "make a directory")
	}
	if d.logFile, err = os.Create(filepath.Join(d.tempDir, "instances.log")); err != nil {
		return errors.Wrap(err, "open the log")
	}
	if err := d.startPlatform(); err != nil {
		return err
	}
	deployment, err := mergeExamples()
	if err != nil {
		return err
	}
	if err := d.startWorkers(deployment); err != nil {
		return err
	}
	if err := d.apply(ctx, deployment); err != nil {
		return err
	}
	for n := range instanceCount {
		if err := d.startInstance(n + 1); err != nil {
			return err
		}
	}
	return d.awaitReady(ctx)
}

// mergeExamples merges the services of both example configurations into one
// deployment.
func mergeExamples() (descriptor.Deployment, error) {
	var services []descriptor.Service
	var measuring descriptor.MeasurementBudget
	for _, data := range [][]byte{exampler.Authority(), exampler.Association()} {
		d, err := parser.ParseDeployment("example", data)
		if err != nil {
			return d, err
		}
		services = append(services, d.Services()...)
		measuring = d.MeasurementBudget()
	}
	return descriptor.NewDeployment("demo", measuring, services), nil
}

func (d *Demonstrator) startPlatform() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	d.platformURL = "http://" + listener.Addr().String()
	d.server = &http.Server{Handler: d.platform.Handler(), ReadHeaderTimeout: headerTimeout}
	d.done.Go(func() { d.server.Serve(listener) }) //nolint:errcheck // Always ErrServerClosed.
	return nil
}

// startWorkers starts the workers of each service. The first worker of a service
// has a noisy neighbour.
func (d *Demonstrator) startWorkers(deployment descriptor.Deployment) error {
	for _, service := range deployment.Services() {
		for n := range workersPerService {
			options := []emulator.BehaviourOption{emulator.WithServiceTime(8*time.Millisecond, 0.5)}
			if n == 0 {
				options = append(options, emulator.WithNoisyNeighbour(4, 0.15, 50*time.Millisecond))
			}
			id := registrar.WorkerID(fmt.Sprintf("%s-%d", service.Name(), n+1))
			member := registrar.NewWorker(id, service.Name(), "127.0.0.1:0", d.locality, slotsPerWorker, false)
			worker, err := emulator.NewWorker(member, 0, emulator.WithBehaviour(emulator.NewBehaviour(options...)))
			if err != nil {
				return err
			}
			d.workers = append(d.workers, worker)
			d.platform.SetWorker(worker.Member())
		}
	}
	return nil
}

func (d *Demonstrator) apply(ctx context.Context, deployment descriptor.Deployment) error {
	a := applier.New(d.platform.Store(), assembler.NewKeys("/burdocklane/"), applier.WithAuthor("demo"))
	result, err := a.Apply(ctx, deployment)
	if err != nil {
		return err
	}
	if _, ok := result.(applier.Accepted); !ok {
		return errors.New("the example configuration was not accepted")
	}
	return nil
}

func (d *Demonstrator) startInstance(n int) error {
	id := fmt.Sprintf("demo-%d", n)
	data := fmt.Sprintf(`{
		"instance": %q, "region": %q, "availability-zone": %q,
		"listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0"},
		"platform": {"store": %q, "list": %q}
	}`, id, d.locality.Region(), d.locality.Zone(), d.platformURL, d.platformURL+"/list")
	settings, err := parser.ParseSettings(id, []byte(data))
	if err != nil {
		return err
	}
	instance, err := supervisor.New(settings, supervisor.WithOutput(d.logFile))
	if err != nil {
		return err
	}
	d.instances = append(d.instances, instance)
	d.platform.SetInstance(registrar.NewInstance(registrar.InstanceID(id), instance.Peers(), instance.Admin(), d.locality, false))
	return nil
}

// awaitReady waits until the configuration is active on each instance and each
// instance's list has all workers.
func (d *Demonstrator) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, instance := range d.instances {
		for {
			changed := instance.Publisher().Changed()
			current := instance.Publisher().Current()
			if current.Ready() && len(current.List().Workers()) == len(d.workers) {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return errors.New("the instances did not become ready in time")
			}
		}
	}
	return nil
}

// Close shuts down the instances gracefully, then drains the workers and stops
// the platform.
func (d *Demonstrator) Close() error {
	var closeErr error
	for _, instance := range d.instances {
		if err := instance.Close(); err != nil {
			closeErr = err
		}
	}
	for _, worker := range d.workers {
		if err := worker.Close(workerDrainTimeout); err != nil {
			closeErr = err
		}
	}
	if d.server != nil {
		d.server.Close()
	}
	d.done.Wait()
	if d.logFile != nil {
		d.logFile.Close()
	}
	os.RemoveAll(d.tempDir)
	return closeErr
}
