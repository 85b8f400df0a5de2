package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"burdocklane/platform/imitator"
)

// record writes what was sent, answered and run.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) line(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	text := fmt.Sprintf(format, args...)
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.started).Seconds(), text)
	fmt.Println(text)
}

// detail writes a line to the record only.
func (r *record) detail(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// play is one run of a case.
type play struct {
	record    *record
	program   string
	trouble   bool
	directory string
	store     *imitator.Store
	ports     ports
	instances []*instance
	workers   []*worker
	closing   sync.Once
}

// ports are the ports of all machines: they differ in their addresses only.
type ports struct{ front, ready, control, internal int }

// zone is an availability zone of the settings.
type zone struct{ name, region string }

// zones are those of a small deployment.
var zones = []zone{
	{"pwani-kurasini", "pwani"},
	{"kaskazini-njiro", "kaskazini"},
	{"ziwa-igogo", "ziwa"},
	{"pwani-mikocheni", "pwani"},
	{"kaskazini-moshi", "kaskazini"},
	{"ziwa-ilemela", "ziwa"},
}

// instance is one process of the system.
type instance struct {
	name    string
	ip      string
	zone    zone
	front   string
	ready   string
	path    string
	command *exec.Cmd
	done    chan struct{}
}

func newPlay(program, recordPath string, trouble bool) (*play, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	p := &play{
		record: &record{file: file, started: time.Now()}, program: program, trouble: trouble, directory: directory,
		store: imitator.NewStore(imitator.WithoutEra()),
	}
	p.record.line("disruption: %v", trouble)
	return p, nil
}

// close ends the processes that this play has started.
func (p *play) close() {
	p.closing.Do(func() {
		for _, i := range p.instances {
			if i.command.Process != nil {
				i.command.Process.Signal(syscall.SIGKILL) //nolint:errcheck // It may have ended.
			}
		}
		for _, i := range p.instances {
			<-i.done
		}
		for _, w := range p.workers {
			w.close()
		}
		p.store.Close()
		os.RemoveAll(p.directory) //nolint:errcheck // A temporary folder.
	})
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// instanceIP returns the address of a machine.
func instanceIP(n int) string { return fmt.Sprintf("127.0.77.%d", 11+n) }

// choosePorts finds ports that are free at the addresses of all machines.
func (p *play) choosePorts(count int) error {
	for first := 21000 + os.Getpid()%200*40; first < 32000; first += 40 {
		free := true
		for n := range count {
			for port := first; port < first+20; port++ {
				free = free && isFree(address(instanceIP(n), port))
			}
		}
		if free {
			p.ports = ports{front: first, ready: first + 1, control: first + 2, internal: first + 3}
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func isFree(address string) bool {
	stream, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	stream.Close()
	datagrams, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	datagrams.Close()
	return true
}

// startInstances starts the processes of the system, one on each machine, and waits until
// they are ready.
func (p *play) startInstances(count int) error {
	if err := p.choosePorts(count); err != nil {
		return err
	}
	for n := range count {
		if err := p.startInstance(n); err != nil {
			return err
		}
	}
	return await("the instances to be ready", 20*time.Second, func() bool {
		for _, i := range p.instances {
			if !i.isReady() {
				return false
			}
		}
		return true
	})
}

func (p *play) startInstance(n int) error {
	z := zones[n%len(zones)]
	i := &instance{
		name: fmt.Sprintf("edge-%s-%d", z.name, n), ip: instanceIP(n), zone: z, done: make(chan struct{}),
		front: address(instanceIP(n), p.ports.front), ready: address(instanceIP(n), p.ports.ready),
		path: filepath.Join(p.directory, fmt.Sprintf("boot-%d.conf", n)),
	}
	if err := os.WriteFile(i.path, []byte(p.settings(i)), 0o600); err != nil {
		return err
	}
	p.instances = append(p.instances, i)
	return p.run(i)
}

// run starts the process of a machine.
func (p *play) run(i *instance) error {
	output, err := os.OpenFile(filepath.Join(p.directory, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	i.command = exec.Command(p.program)
	i.command.Env = []string{"BURDOCKLANE_NODE_FILE=" + i.path, "PATH=" + os.Getenv("PATH"), "HOME=" + p.directory}
	i.command.Stdout, i.command.Stderr = output, output
	if err := i.command.Start(); err != nil {
		close(i.done)
		return err
	}
	command, done := i.command, i.done
	go func() {
		err := command.Wait()
		p.record.detail("process of %s has ended: %v", i.name, err)
		close(done)
	}()
	return nil
}

// settings returns the settings file of an instance, with the values of the small
// deployments.
func (p *play) settings(i *instance) string {
	text := fmt.Sprintf(`NodeName=%s
Role=instance
MachineClass=edge
Serves=edge
Ip=%s
Zone=%s
Region=%s
`, i.name, i.ip, i.zone.name, i.zone.region)
	for _, z := range zones {
		text += fmt.Sprintf("Zones.%s=%s\n", z.name, z.region)
	}
	return text + fmt.Sprintf(`Listen.Front=%s
Listen.Ready=%s
InternalPorts=%d,%d
Bootstrap=true
InTolerance=false
Limits.CpuShare=0.32
Limits.Cpus=1
Limits.MemoryMb=284
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
Entry=vip
HeartbeatMs=1500
Contracts=base,drain,config,cost,retry,recover,health,platform
FaultTolerance.Machines=2
FaultTolerance.Zones=0
FaultTolerance.Regions=0
Bounds=SeedLagS=3,ReuseAfterS=2,ContactMs=3000,AckMs=4000,CatchUpS=4,DrainMs=2000,GraceS=6,LossSlackMs=200,ConfigApplyMs=2000,RollbackSlackMs=250,MaxSkewMs=5000,RetryBudgetRatio=0.2,BudgetWindowS=10,BudgetExtra=58,RecoveryS=15,ProbesPerS=60
Platform.Address=%s
Platform.form=kv
Platform.WritesPerS=400
Platform.ReadsPerS=2000
Platform.HistoryS=20
Platform.ValueBytes=1048576
Platform.TtlMinMs=1000
`, i.front, i.ready, p.ports.internal, p.ports.internal+15, p.store.Address())
}

func (i *instance) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.ready+"/burdocklane/ready", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func await(what string, timeout time.Duration, happened func() bool) error {
	for deadline := time.Now().Add(timeout); !happened(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s did not come within %s", what, timeout)
		}
	}
	return nil
}

// route is a route of the operator's configuration.
type route struct {
	Host            string
	Prefix          string
	Kind            string
	TimeoutMs       int
	TargetLatencyMs int
	Priority        int
	Service         string
	MaxAttempts     int
}

// configure writes a configuration into the store, with the limits of the small deployments.
func (p *play) configure(version int, routes map[string]route) error {
	services := map[string]any{}
	for _, r := range routes {
		services[r.Service] = map[string]any{"HealthPath": healthPath, "MaxConns": 220, "Protocol": "h1", "Tls": false}
	}
	value, err := json.Marshal(map[string]any{
		"Version": fmt.Sprintf("r%d", version), "Routes": routes, "Services": services,
		"Limits": map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	p.store.Put("op/config", string(value))
	p.record.detail("configuration: %s", value)
	return nil
}
