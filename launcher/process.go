// Package launcher starts the processes of tests and experiments: instances, and
// emulators of the platform and of workers.
package launcher

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const startTimeout = 15 * time.Second

// Process is a process started by a launcher.
type Process struct {
	name      string
	cmd       *exec.Cmd
	log       *os.File
	logOutput bool // Whether standard output is written to the log.
	firstLine chan string
	exited    chan struct{}
	err       error
	reader    sync.WaitGroup
}

// Name returns the name that the process was started under.
func (p *Process) Name() string { return p.name }

// LogPath returns the path of the file with the process's standard error.
func (p *Process) LogPath() string { return p.log.Name() }

// ProcessID returns the operating system's process ID.
func (p *Process) ProcessID() int { return p.cmd.Process.Pid }

// Stop shuts the process down gracefully and waits until it has exited. It
// returns an error if the exit status is not 0.
func (p *Process) Stop() error {
	p.signal(syscall.SIGTERM)
	return p.Wait()
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.Wait() //nolint:errcheck // It was killed.
}

// Suspend suspends the process with SIGSTOP.
func (p *Process) Suspend() { p.signal(syscall.SIGSTOP) }

// Resume resumes a suspended process with SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { p.signal(s) }

func (p *Process) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		p.cmd.Process.Signal(s) //nolint:errcheck // It may just have exited.
	}
}

// Wait waits until the process has exited.
func (p *Process) Wait() error {
	<-p.exited
	return p.err
}

// start starts the binary with the arguments. Its standard error is appended to
// a file in dir.
func start(binary, dir, name string, logOutput bool, env, args []string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "start process")
	}
	p := &Process{name: name, cmd: exec.Command(binary, args...), log: log, logOutput: logOutput, firstLine: make(chan string, 1), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stderr = log
	output, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "start process")
	}
	if err := p.cmd.Start(); err != nil {
		log.Close()
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p.reader.Go(func() { p.read(output) })
	go p.await()
	return p, nil
}

// read sends the first line of the process's output to firstLine, and reads the
// rest so that the process does not block on a full pipe.
func (p *Process) read(output io.Reader) {
	scanner := bufio.NewScanner(output)
	if scanner.Scan() {
		p.firstLine <- scanner.Text()
	}
	for scanner.Scan() {
		if p.logOutput {
			fmt.Fprintln(p.log, scanner.Text()) //nolint:errcheck // The log is only a diagnostic of tests and experiments.
		}
	}
}

func (p *Process) await() {
	p.reader.Wait()
	p.err = p.cmd.Wait()
	p.log.Close()
	close(p.exited)
}

// AwaitOutput waits until the process has printed a line. By then it handles
// signals.
func (p *Process) AwaitOutput() error {
	_, err := p.awaitAddress()
	return err
}

// awaitAddress waits for the first line of output and returns its last word. The
// emulators and the relay print their address there.
func (p *Process) awaitAddress() (string, error) {
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case line := <-p.firstLine:
		words := strings.Fields(line)
		if len(words) == 0 {
			return "", errors.Errorf("%s printed an empty line", p.name)
		}
		return words[len(words)-1], nil
	case <-p.exited:
		return "", errors.Errorf("%s exited during startup: see %s", p.name, p.LogPath())
	case <-timer.C:
		return "", errors.Errorf("%s did not start within %s", p.name, startTimeout)
	}
}
