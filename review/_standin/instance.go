package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// instance is a process of the project's program, run as deploy/system.toml says.
type instance struct {
	front string
	ready string
	cmd   *exec.Cmd
}

var (
	startedMutex sync.Mutex
	started      []*instance
)

// stopAll kills the instances that this process has started.
func stopAll() {
	startedMutex.Lock()
	defer startedMutex.Unlock()
	for _, i := range started {
		i.cmd.Process.Signal(syscall.SIGCONT) //nolint:errcheck // It may have ended.
		i.cmd.Process.Kill()                  //nolint:errcheck // It may have ended.
		i.cmd.Wait()                          //nolint:errcheck // It was killed.
	}
	started = nil
}

// freePorts returns ports of loopback that are free for connections and for datagrams, the
// last two of them in a row.
func freePorts() (front, ready, internal int) {
	isFree := func(port int) bool {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		socket, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		defer socket.Close()
		datagrams, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		datagrams.Close()
		return true
	}
	for first := 20000 + os.Getpid()%8000; first < 32000; first += 4 {
		if isFree(first) && isFree(first+1) && isFree(first+2) && isFree(first+3) {
			return first, first + 1, first + 2
		}
	}
	fail("no free ports")
	return 0, 0, 0
}

// startInstance starts an instance in a zone that reaches the store by the gate, and waits
// until it says that it is ready.
func startInstance(dir, name, zone string, g *gate) *instance {
	front, ready, internal := freePorts()
	i := &instance{front: fmt.Sprintf("127.0.0.1:%d", front), ready: fmt.Sprintf("127.0.0.1:%d", ready)}
	settings := filepath.Join(dir, name+".conf")
	text := fmt.Sprintf(`NodeName=%s
Role=instance
MachineClass=edge
Serves=edge
Ip=127.0.0.1
Zone=%s
Region=pwani
Zones.pwani-kurasini=pwani
Zones.pwani-mikocheni=pwani
Listen.Front=%s
Listen.Ready=%s
InternalPorts=%d,%d
Bootstrap=true
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
Bounds=SeedLagS=3,ReuseAfterS=2,ContactMs=3000,AckMs=4000,CatchUpS=4,DrainMs=2000,GraceS=6,LossSlackMs=200,ConfigApplyMs=2000,RollbackSlackMs=250,MaxSkewMs=5000,RetryBudgetRatio=0.2,BudgetWindowS=10,BudgetExtra=58,RecoveryS=15,ProbesPerS=60
Platform.Address=%s
Platform.form=kv
Platform.WritesPerS=400
Platform.ReadsPerS=2000
Platform.HistoryS=20
Platform.ValueBytes=1048576
Platform.TtlMinMs=1000
`, name, zone, i.front, i.ready, internal, internal+1, g.address)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		fail("settings: %v", err)
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		fail("log: %v", err)
	}
	i.cmd = exec.Command(os.Getenv("INSTANCE"))
	i.cmd.Env = []string{"BURDOCKLANE_NODE_FILE=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + dir}
	i.cmd.Stdout, i.cmd.Stderr = log, log
	if err := i.cmd.Start(); err != nil {
		fail("start of the instance: %v", err)
	}
	startedMutex.Lock()
	started = append(started, i)
	startedMutex.Unlock()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if i.isReady() {
			return i
		}
	}
	fail("the instance isn't ready after 20 s")
	return nil
}

func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.ready + "/burdocklane/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
