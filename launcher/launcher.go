package launcher

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"burdocklane/emulator"
	"burdocklane/inspector"
	"burdocklane/registrar"

	"github.com/go-faster/errors"
)

// Launcher starts and stops processes of one binary.
type Launcher struct {
	binary      string
	dir         string
	env         []string
	platformURL string
	logOutput   bool
	started     *processes
}

// processes lists the started processes. Copies of a launcher share it.
type processes struct {
	mutex sync.Mutex
	list  []*Process
}

// WithMaxProcs returns a copy of the launcher whose processes use at most count
// processors (GOMAXPROCS). Closing either launcher kills the processes of both.
func (l *Launcher) WithMaxProcs(count int) *Launcher {
	limited := *l
	limited.env = append(slices.Clone(l.env), "GOMAXPROCS="+strconv.Itoa(count))
	return &limited
}

// Option sets one property of a Launcher.
type Option func(*Launcher)

// WithEnvironment adds NAME=VALUE pairs to the environment of each process.
func WithEnvironment(env ...string) Option { return func(l *Launcher) { l.env = env } }

// WithOutputLogged also writes the standard output of processes to their logs.
func WithOutputLogged() Option { return func(l *Launcher) { l.logOutput = true } }

// New returns a Launcher for the binary. It writes settings and logs to dir.
func New(binary, dir string, opts ...Option) *Launcher {
	l := &Launcher{binary: binary, dir: dir, started: &processes{}}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Close kills the processes that are still running.
func (l *Launcher) Close() {
	l.started.mutex.Lock()
	defer l.started.mutex.Unlock()
	for _, p := range l.started.list {
		p.Resume()
		p.Kill()
	}
}

// Dir returns the directory for settings and logs.
func (l *Launcher) Dir() string { return l.dir }

// PlatformURL returns the base URL of the platform emulator.
func (l *Launcher) PlatformURL() string { return l.platformURL }

// SetPlatformURL sets the base URL of the platform for processes started from now
// on, such as that of a proxy that injects faults.
func (l *Launcher) SetPlatformURL(base string) { l.platformURL = base }

// Start starts the binary with the arguments.
func (l *Launcher) Start(name string, args ...string) (*Process, error) {
	p, err := start(l.binary, l.dir, name, l.logOutput, l.env, args)
	if err != nil {
		return nil, err
	}
	l.started.mutex.Lock()
	defer l.started.mutex.Unlock()
	l.started.list = append(l.started.list, p)
	return p, nil
}

// StartPlatform starts the platform emulator.
func (l *Launcher) StartPlatform() (*Process, error) {
	p, err := l.Start("platform", "emulate", "platform", "--listen", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.platformURL, err = p.awaitAddress()
	return p, err
}

// Worker is a running worker emulator.
type Worker struct {
	*Process
	member registrar.Worker
}

// Member returns the worker's entry in the platform's list.
func (w *Worker) Member() registrar.Worker { return w.member }

// WorkerSpec describes a worker emulator to start.
type WorkerSpec struct {
	member      registrar.Worker
	behaviour   emulator.Behaviour
	slots       int
	journal     string
	unlisted    bool
	zoneDelay   time.Duration
	regionDelay time.Duration
}

// NewWorkerSpec returns the spec of a worker. Its address is host:port, where
// port 0 stands for any free port.
func NewWorkerSpec(member registrar.Worker, b emulator.Behaviour) WorkerSpec {
	return WorkerSpec{member: member, behaviour: b, slots: member.Slots()}
}

// WithSlots sets the number of concurrent calls that the worker runs, which may
// differ from the slots that it reports.
func (s WorkerSpec) WithSlots(slots int) WorkerSpec { s.slots = slots; return s }

// WithJournal writes the worker's journal to a file.
func (s WorkerSpec) WithJournal(path string) WorkerSpec { s.journal = path; return s }

// WithDelays sets the one-way delays between zones and between regions.
func (s WorkerSpec) WithDelays(zoneDelay, regionDelay time.Duration) WorkerSpec {
	s.zoneDelay, s.regionDelay = zoneDelay, regionDelay
	return s
}

// WithoutRegistration makes StartWorker not register the worker with the platform emulator.
func (s WorkerSpec) WithoutRegistration() WorkerSpec { s.unlisted = true; return s }

// StartWorker starts a worker, which registers with the platform emulator unless
// the spec is unlisted.
func (l *Launcher) StartWorker(spec WorkerSpec) (*Worker, error) {
	behaviour, err := emulator.EncodeBehaviour(spec.behaviour)
	if err != nil {
		return nil, err
	}
	m := spec.member
	args := []string{
		"emulate", "worker", "--id", string(m.ID()), "--service", string(m.Service()),
		"--listen", m.Address(), "--region", m.Locality().Region(), "--zone", m.Locality().Zone(),
		"--slots", strconv.Itoa(spec.slots), "--reported-slots", strconv.Itoa(m.Slots()),
		"--behaviour", string(behaviour), "--journal", spec.journal,
		"--zone-delay", spec.zoneDelay.String(), "--region-delay", spec.regionDelay.String(),
	}
	if !spec.unlisted {
		args = append(args, "--platform", l.platformURL)
	}
	p, err := l.Start(string(m.ID()), args...)
	if err != nil {
		return nil, err
	}
	address, err := p.awaitAddress()
	if err != nil {
		return nil, err
	}
	member := registrar.NewWorker(m.ID(), m.Service(), address, m.Locality(), m.Slots(), false)
	return &Worker{Process: p, member: member}, nil
}

// Instance is a running instance.
type Instance struct {
	*Process
	member  registrar.Instance
	callers string
}

// Member returns the instance's entry in the platform's list.
func (i *Instance) Member() registrar.Instance { return i.member }

// Callers returns the host:port of the port for callers.
func (i *Instance) Callers() string { return i.callers }

type instanceSettings struct {
	Instance   string            `json:"instance"`
	Region     string            `json:"region"`
	Zone       string            `json:"availability-zone"`
	Listen     map[string]string `json:"listen"`
	Platform   map[string]string `json:"platform"`
	LogLevel   string            `json:"log-level"`
	Policy     string            `json:"policy"`
	Invariants string            `json:"invariants"`
}

// logTailBytes is how much of a log's end an error quotes to show why a process
// has exited.
const logTailBytes = 1 << 10

// InstanceSpec describes an instance to start.
type InstanceSpec struct {
	id       registrar.InstanceID
	locality registrar.Locality
	host     string
	policy   string
	logLevel string
}

// NewInstanceSpec returns the spec of an instance that listens on host, an
// address in 127.0.0.0/8.
func NewInstanceSpec(id registrar.InstanceID, locality registrar.Locality, host string) InstanceSpec {
	return InstanceSpec{id: id, locality: locality, host: host, policy: "shared-slots", logLevel: "info"}
}

// WithPolicy sets the routing policy.
func (s InstanceSpec) WithPolicy(policy string) InstanceSpec { s.policy = policy; return s }

// WithLogLevel sets the minimum level of the instance's log.
func (s InstanceSpec) WithLogLevel(level string) InstanceSpec { s.logLevel = level; return s }

// StartInstance starts an instance and registers it with the platform emulator.
// It does not wait until the instance is ready.
func (l *Launcher) StartInstance(spec InstanceSpec) (*Instance, error) {
	ports, err := FreePorts(spec.host, 3)
	if err != nil {
		return nil, err
	}
	settings := instanceSettings{
		Instance: string(spec.id), Region: spec.locality.Region(), Zone: spec.locality.Zone(),
		Listen:   map[string]string{"callers": ports[0], "peers": ports[1], "admin": ports[2], "source": spec.host},
		Platform: map[string]string{"store": l.platformURL, "list": l.platformURL + "/list"},
		LogLevel: spec.logLevel, Policy: spec.policy, Invariants: "exit",
	}
	path, err := l.writeSettings(spec.id, settings)
	if err != nil {
		return nil, err
	}
	p, err := l.Start(string(spec.id), "serve", "--settings", path)
	if err != nil {
		return nil, err
	}
	i := &Instance{Process: p, callers: ports[0], member: registrar.NewInstance(spec.id, ports[1], ports[2], spec.locality, false)}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	return i, emulator.Register(ctx, l.platformURL, nil, []registrar.Instance{i.member})
}

func (l *Launcher) writeSettings(id registrar.InstanceID, settings instanceSettings) (string, error) {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", errors.Wrap(err, "encode settings")
	}
	path := filepath.Join(l.dir, string(id)+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return "", errors.Wrap(err, "write settings")
	}
	return path, nil
}

// logTail returns the last logTailBytes of the instance's log.
func (i *Instance) logTail() string {
	data, err := os.ReadFile(i.LogPath())
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-logTailBytes):])
}

// AwaitReady waits until the instance reports that it is ready.
func (i *Instance) AwaitReady(ctx context.Context) error {
	for {
		_, err := inspector.Fetch(ctx, i.member.AdminAddress(), "/readyz")
		if err == nil {
			return nil
		}
		timer := time.NewTimer(20 * time.Millisecond)
		select {
		case <-timer.C:
		case <-i.exited:
			return errors.Errorf("%s exited: %s", i.name, i.logTail())
		case <-ctx.Done():
			return errors.Wrapf(err, "%s is not ready", i.name)
		}
	}
}

// SetBehaviour changes the emulated behaviour of a running worker.
func (w *Worker) SetBehaviour(ctx context.Context, b emulator.Behaviour) error {
	data, err := emulator.EncodeBehaviour(b)
	if err != nil {
		return err
	}
	return emulator.SendControlRequest(ctx, http.MethodPut, "http://"+w.member.Address()+"/emulate/behaviour", data)
}

// Journal returns the calls that the worker has started to run.
func (w *Worker) Journal(ctx context.Context) ([]emulator.JournalEntry, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.member.Address()+"/emulate/journal", http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "read journal")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "read journal")
	}
	defer response.Body.Close()
	return emulator.ReadJournal(response.Body)
}

// Relay is a running passthrough relay, the baseline of overhead benchmarks.
type Relay struct {
	*Process
	address string
}

// Address returns the host:port that the relay listens on.
func (r *Relay) Address() string { return r.address }

// StartRelay starts a relay that forwards requests to a host:port.
func (l *Launcher) StartRelay(to string) (*Relay, error) {
	p, err := l.Start("relay", "bench", "relay", "--to", to)
	if err != nil {
		return nil, err
	}
	address, err := p.awaitAddress()
	return &Relay{Process: p, address: address}, err
}
