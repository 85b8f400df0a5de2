package launcher

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
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

// Launcher starts processes of one binary and ends them.
type Launcher struct {
	binary   string
	dir      string
	env      []string
	platform string
	keep     bool
	started  *processes
}

// processes is what has been started, shared by the copies of a launcher.
type processes struct {
	mutex sync.Mutex
	list  []*Process
}

// WithProcessors returns a launcher whose processes run on at most so many
// processors at once. They end with the first launcher's.
func (l *Launcher) WithProcessors(count int) *Launcher {
	limited := *l
	limited.env = append(slices.Clone(l.env), "GOMAXPROCS="+strconv.Itoa(count))
	return &limited
}

// Option sets one property of a Launcher.
type Option func(*Launcher)

// WithEnvironment adds NAME=VALUE to each process's environment.
func WithEnvironment(env ...string) Option { return func(l *Launcher) { l.env = env } }

// WithOutputKept writes what processes print to their logs.
func WithOutputKept() Option { return func(l *Launcher) { l.keep = true } }

// New returns a Launcher of the binary that writes settings and logs to the
// directory.
func New(binary, dir string, opts ...Option) *Launcher {
	l := &Launcher{binary: binary, dir: dir, started: &processes{}}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Close kills the processes that still run.
func (l *Launcher) Close() {
	l.started.mutex.Lock()
	defer l.started.mutex.Unlock()
	for _, p := range l.started.list {
		p.Thaw()
		p.Kill()
	}
}

// Dir returns the directory of the settings and logs.
func (l *Launcher) Dir() string { return l.dir }

// Platform returns the base URL of the platform's stand-in.
func (l *Launcher) Platform() string { return l.platform }

// SetPlatform makes later processes reach the platform elsewhere, such as
// behind a proxy that injects faults.
func (l *Launcher) SetPlatform(base string) { l.platform = base }

// Start runs the binary with the arguments.
func (l *Launcher) Start(name string, args ...string) (*Process, error) {
	p, err := start(l.binary, l.dir, name, l.keep, l.env, args)
	if err != nil {
		return nil, err
	}
	l.started.mutex.Lock()
	defer l.started.mutex.Unlock()
	l.started.list = append(l.started.list, p)
	return p, nil
}

// StartPlatform starts the platform's stand-in.
func (l *Launcher) StartPlatform() (*Process, error) {
	p, err := l.Start("platform", "emulate", "platform", "--listen", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.platform, err = p.firstWord()
	return p, err
}

// Worker is a running stand-in of a worker.
type Worker struct {
	*Process
	member registrar.Worker
}

// Member returns the worker as it is listed.
func (w *Worker) Member() registrar.Worker { return w.member }

// WorkerSpec describes a stand-in worker to be started.
type WorkerSpec struct {
	member    registrar.Worker
	behaviour emulator.Behaviour
	slots     int
	journal   string
	unlisted  bool
	zone      time.Duration
	region    time.Duration
}

// NewWorkerSpec returns the spec of a worker; its address is host:port, with
// port 0 for any.
func NewWorkerSpec(member registrar.Worker, b emulator.Behaviour) WorkerSpec {
	return WorkerSpec{member: member, behaviour: b, slots: member.Slots()}
}

// WithSlots makes the worker run another number of calls than it reports.
func (s WorkerSpec) WithSlots(slots int) WorkerSpec { s.slots = slots; return s }

// WithJournal keeps the journal in a file.
func (s WorkerSpec) WithJournal(path string) WorkerSpec { s.journal = path; return s }

// WithDelays sets the one-way delays between zones and between regions.
func (s WorkerSpec) WithDelays(zone, region time.Duration) WorkerSpec {
	s.zone, s.region = zone, region
	return s
}

// Unlisted leaves it to the caller to list the worker.
func (s WorkerSpec) Unlisted() WorkerSpec { s.unlisted = true; return s }

// StartWorker starts a worker and lists it with the platform's stand-in.
func (l *Launcher) StartWorker(spec WorkerSpec) (*Worker, error) {
	behaviour, err := emulator.EncodeBehaviour(spec.behaviour)
	if err != nil {
		return nil, err
	}
	m := spec.member
	args := []string{
		"emulate", "worker", "--id", string(m.ID()), "--service", string(m.Service()),
		"--listen", m.Address(), "--region", m.Place().Region(), "--zone", m.Place().Zone(),
		"--slots", strconv.Itoa(spec.slots), "--reported-slots", strconv.Itoa(m.Slots()),
		"--behaviour", string(behaviour), "--journal", spec.journal,
		"--zone-delay", spec.zone.String(), "--region-delay", spec.region.String(),
	}
	if !spec.unlisted {
		args = append(args, "--platform", l.platform)
	}
	p, err := l.Start(string(m.ID()), args...)
	if err != nil {
		return nil, err
	}
	address, err := p.firstWord()
	if err != nil {
		return nil, err
	}
	member := registrar.NewWorker(m.ID(), m.Service(), address, m.Place(), m.Slots(), false)
	return &Worker{Process: p, member: member}, nil
}

// Instance is a running instance.
type Instance struct {
	*Process
	member  registrar.Instance
	callers string
}

// Member returns the instance as it is listed.
func (i *Instance) Member() registrar.Instance { return i.member }

// Callers returns the host:port for callers.
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

// logTailBytes of a log show why a process has ended.
const logTailBytes = 1 << 10

// InstanceSpec describes an instance to be started.
type InstanceSpec struct {
	id       registrar.InstanceID
	place    registrar.Place
	host     string
	policy   string
	logLevel string
}

// NewInstanceSpec returns the spec of an instance that listens on the host,
// which is an address of 127.0.0.0/8.
func NewInstanceSpec(id registrar.InstanceID, place registrar.Place, host string) InstanceSpec {
	return InstanceSpec{id: id, place: place, host: host, policy: "shared-slots", logLevel: "info"}
}

// WithPolicy sets the routing policy.
func (s InstanceSpec) WithPolicy(policy string) InstanceSpec { s.policy = policy; return s }

// WithLogLevel sets the least level of the instance's log.
func (s InstanceSpec) WithLogLevel(level string) InstanceSpec { s.logLevel = level; return s }

// StartInstance starts an instance, and lists it with the platform's stand-in.
// It does not wait until the instance is ready.
func (l *Launcher) StartInstance(spec InstanceSpec) (*Instance, error) {
	ports, err := FreePorts(spec.host, 3)
	if err != nil {
		return nil, err
	}
	settings := instanceSettings{
		Instance: string(spec.id), Region: spec.place.Region(), Zone: spec.place.Zone(),
		Listen:   map[string]string{"callers": ports[0], "peers": ports[1], "admin": ports[2], "source": spec.host},
		Platform: map[string]string{"store": l.platform, "list": l.platform + "/list"},
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
	i := &Instance{Process: p, callers: ports[0], member: registrar.NewInstance(spec.id, ports[1], ports[2], spec.place, false)}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	return i, emulator.Register(ctx, l.platform, nil, []registrar.Instance{i.member})
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

// logTail returns the end of the instance's log.
func (i *Instance) logTail() string {
	data, err := os.ReadFile(i.LogPath())
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-logTailBytes):])
}

// AwaitReady waits until the instance is ready to serve.
func (i *Instance) AwaitReady(ctx context.Context) error {
	for {
		_, err := inspector.Fetch(ctx, i.member.Admin(), "/readyz")
		if err == nil {
			return nil
		}
		timer := time.NewTimer(20 * time.Millisecond)
		select {
		case <-timer.C:
		case <-i.exited:
			return errors.Errorf("%s ended: %s", i.name, i.logTail())
		case <-ctx.Done():
			return errors.Wrapf(err, "%s is not ready", i.name)
		}
	}
}

const (
	// portsFrom and portsTo bound the ports that are given to processes. They
	// lie below those that the system gives to whoever asks for any port, which
	// would be taken by others before the process has started.
	portsFrom = 10_000
	portsTo   = 30_000
	portTries = 1000
)

// FreePorts returns addresses on the host that nothing listens on now.
func FreePorts(host string, count int) ([]string, error) {
	var addresses []string
	for range portTries {
		if len(addresses) == count {
			return addresses, nil
		}
		port := portsFrom + rand.IntN(portsTo-portsFrom)
		socket, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		defer socket.Close()
		addresses = append(addresses, socket.Addr().String())
	}
	return nil, errors.Errorf("%d of %d ports are free on %s", len(addresses), count, host)
}

// SetBehaviour changes how a running worker serves.
func (w *Worker) SetBehaviour(ctx context.Context, b emulator.Behaviour) error {
	data, err := emulator.EncodeBehaviour(b)
	if err != nil {
		return err
	}
	return emulator.Control(ctx, http.MethodPut, "http://"+w.member.Address()+"/emulate/behaviour", data)
}

// Journal returns the calls that the worker began to run.
func (w *Worker) Journal(ctx context.Context) ([]emulator.Entry, error) {
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

// Relay is a running bare relay.
type Relay struct {
	*Process
	address string
}

// Address returns the host:port that the relay listens on.
func (r *Relay) Address() string { return r.address }

// StartRelay starts the bench's bare relay to host:port.
func (l *Launcher) StartRelay(to string) (*Relay, error) {
	p, err := l.Start("relay", "bench", "relay", "--to", to)
	if err != nil {
		return nil, err
	}
	address, err := p.firstWord()
	return &Relay{Process: p, address: address}, err
}
