// Package launcher starts the processes of tests and experiments: the
// stand-ins of the platform and the workers, and instances.
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

// Process is a process that the launcher has started.
type Process struct {
	name   string
	cmd    *exec.Cmd
	log    *os.File
	keep   bool // Whether the output goes to the log.
	first  chan string
	exited chan struct{}
	err    error
	reader sync.WaitGroup
}

// Name returns the launcher's name of the process.
func (p *Process) Name() string { return p.name }

// LogPath returns the file with the process's standard error.
func (p *Process) LogPath() string { return p.log.Name() }

// ProcessID returns the operating system's ID.
func (p *Process) ProcessID() int { return p.cmd.Process.Pid }

// Stop asks the process to shut down gracefully and waits for its end. The
// error is that of an exit status other than 0.
func (p *Process) Stop() error {
	p.signal(syscall.SIGTERM)
	return p.Wait()
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.Wait() //nolint:errcheck // It was killed.
}

// Freeze stops the process from running until Thaw.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process run on.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { p.signal(s) }

func (p *Process) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		p.cmd.Process.Signal(s) //nolint:errcheck // It may just have ended.
	}
}

// Wait waits for the process to end.
func (p *Process) Wait() error {
	<-p.exited
	return p.err
}

// start runs the binary with the arguments; its standard error goes to a file
// in the directory.
func start(binary, dir, name string, keep bool, env, args []string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "start process")
	}
	p := &Process{name: name, cmd: exec.Command(binary, args...), log: log, keep: keep, first: make(chan string, 1), exited: make(chan struct{})}
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

// read passes on the first line that the process prints.
func (p *Process) read(output io.Reader) {
	scanner := bufio.NewScanner(output)
	if scanner.Scan() {
		p.first <- scanner.Text()
	}
	for scanner.Scan() { // Keeps the pipe empty.
		if p.keep {
			fmt.Fprintln(p.log, scanner.Text()) //nolint:errcheck // Logs of experiments only.
		}
	}
}

func (p *Process) await() {
	p.reader.Wait()
	p.err = p.cmd.Wait()
	p.log.Close()
	close(p.exited)
}

// AwaitOutput waits until the process has printed a line: from then on it handles
// signals.
func (p *Process) AwaitOutput() error {
	_, err := p.firstWord()
	return err
}

// firstWord waits for the first line and returns its last word, which is the
// address that the stand-ins print.
func (p *Process) firstWord() (string, error) {
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case line := <-p.first:
		words := strings.Fields(line)
		if len(words) == 0 {
			return "", errors.Errorf("%s printed an empty line", p.name)
		}
		return words[len(words)-1], nil
	case <-p.exited:
		return "", errors.Errorf("%s ended early: see %s", p.name, p.LogPath())
	case <-timer.C:
		return "", errors.Errorf("%s did not start within %s", p.name, startTimeout)
	}
}
