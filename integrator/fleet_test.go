package integrator_test

import (
	"bytes"
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"burdocklane/commander"
	"burdocklane/descriptor"
	"burdocklane/emulator"
	"burdocklane/launcher"
	"burdocklane/registrar"

	qt "github.com/frankban/quicktest"
)

// envRunAsProgram is the environment variable that makes the test binary run as
// burdocklane itself.
const envRunAsProgram = "BURDOCKLANE_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(envRunAsProgram) != "" {
		os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// fleet is a platform emulator, workers and instances, each a process of its own.
type fleet struct {
	c         *qt.C
	launcher  *launcher.Launcher
	dir       string
	workers   []*launcher.Worker
	instances []*launcher.Instance
}

var locality = registrar.NewLocality("pwani", "pwani-a")

func newFleet(c *qt.C) *fleet {
	binary, err := os.Executable()
	c.Assert(err, qt.IsNil)
	dir := c.TempDir()
	f := &fleet{c: c, dir: dir, launcher: launcher.New(binary, dir, launcher.WithEnvironment(envRunAsProgram+"=1"))}
	c.Cleanup(f.launcher.Close)
	_, err = f.launcher.StartPlatform()
	c.Assert(err, qt.IsNil)
	return f
}

func (f *fleet) addWorker(id, service string, slots int, behaviour emulator.Behaviour) *launcher.Worker {
	member := registrar.NewWorker(registrar.WorkerID(id), descriptor.ServiceName(service), "127.0.0.1:0", locality, slots, false)
	w, err := f.launcher.StartWorker(launcher.NewWorkerSpec(member, behaviour).WithJournal(f.journalPath(id)))
	f.c.Assert(err, qt.IsNil)
	f.workers = append(f.workers, w)
	return w
}

func (f *fleet) addInstance(id string) *launcher.Instance {
	i, err := f.launcher.StartInstance(launcher.NewInstanceSpec(registrar.InstanceID(id), locality, "127.0.0.1"))
	f.c.Assert(err, qt.IsNil)
	f.instances = append(f.instances, i)
	return i
}

func (f *fleet) awaitReady() {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for _, i := range f.instances {
		f.c.Assert(i.AwaitReady(ctx), qt.IsNil)
	}
}

func (f *fleet) journalPath(worker string) string { return filepath.Join(f.dir, worker+".journal") }

// countRuns returns, by request ID, how often workers started to run the call.
func (f *fleet) countRuns() map[string]int {
	runs := map[string]int{}
	paths, err := filepath.Glob(f.journalPath("*"))
	f.c.Assert(err, qt.IsNil)
	for _, path := range paths {
		file, err := os.Open(path)
		f.c.Assert(err, qt.IsNil)
		entries, err := emulator.ReadJournal(file)
		file.Close()
		f.c.Assert(err, qt.IsNil)
		for _, e := range entries {
			runs[e.ID()]++
		}
	}
	return runs
}

// runCommand executes a command of the program and returns its exit status and
// output.
func (f *fleet) runCommand(args ...string) (int, string) {
	var output bytes.Buffer
	status := commander.Run(args, &output, &output)
	return status, output.String()
}

func (f *fleet) applyConfig(file string) string {
	status, output := f.runCommand("config", "apply", file, "--store", f.launcher.PlatformURL(), "--author", "test")
	f.c.Assert(status, qt.Equals, 0, qt.Commentf("%s", output))
	return output
}

func (f *fleet) writeFile(name, text string) string {
	path := filepath.Join(f.dir, name)
	f.c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// observedResponse is the response to one call as its caller observed it.
type observedResponse struct {
	status    int
	outcome   string
	intact    bool
	bodyBytes int
}

// call sends a request. The response is intact if it is successful and has the
// body, the request ID and the checksum that belong to this request.
func call(client *http.Client, address, method, path, id string, size int, body string, headers ...string) (observedResponse, error) {
	url := fmt.Sprintf("http://%s%s?bytes=%d", address, path, size)
	request, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		return observedResponse{}, err
	}
	request.Header.Set("X-Request-Id", id)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := client.Do(request)
	if err != nil {
		return observedResponse{}, err
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return observedResponse{status: response.StatusCode}, err
	}
	r := observedResponse{status: response.StatusCode, outcome: response.Header.Get("Burdocklane-Outcome"), bodyBytes: len(got)}
	if response.StatusCode != http.StatusOK {
		return r, nil
	}
	want, _ := io.ReadAll(emulator.ResponseBody(id, size))
	sum := fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(body)))
	r.intact = (method == http.MethodHead || bytes.Equal(got, want)) &&
		response.Header.Get("X-Request-Id") == id && response.Header.Get(emulator.HeaderBodyChecksum) == sum
	return r, nil
}
