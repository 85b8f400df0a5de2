package flooder_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against crowds of callers that end a process, fill the memory or the descriptors
// of its machine, or keep ordinary callers out. Rows run one after another.
func TestCrowds(t *testing.T) {
	programs := []struct {
		name  string
		start func(*qt.C) *program
	}{
		{"instance", startInstance},
		{"serve", startServe},
	}
	for _, p := range programs {
		for _, where := range []place{atRoute, withoutRoute, readiness} {
			for _, w := range crowds {
				t.Run(fmt.Sprintf("%s/%s/%s", p.name, where, w.name), func(t *testing.T) { floodProgram(qt.New(t), p.start, where, w) })
			}
		}
	}
}

// floodProgram sends a crowd to a program, and checks what the program used.
func floodProgram(c *qt.C, start func(*qt.C) *program, where place, w crowd) {
	p := start(c)
	p.awaitOrdinary("before the crowd")
	address, path := p.target(where)
	m := newMonitor(p.process.ProcessID())
	disperse, done := w.gather(address, p.host, path)
	c.Check(done, qt.IsTrue, qt.Commentf("the crowd had not ended sending after %s", crowdTimeout))
	m.sample()
	p.awaitOrdinary("beside the crowd")
	m.sample()
	disperse()
	p.awaitOrdinary("after the crowd")
	used := m.close()
	c.Logf("peak: %d KB, %d sockets, %d files", used.memoryKB, used.sockets, used.files)
	c.Check(used.memoryKB > 0, qt.IsTrue, qt.Commentf("the process has ended"))
	c.Check(used.memoryKB <= megabytes<<10, qt.IsTrue, qt.Commentf("peak memory is %d KB of %d", used.memoryKB, megabytes<<10))
	c.Check(used.sockets <= maxDescriptors-fileDescriptors, qt.IsTrue, qt.Commentf("%d sockets were open of %d", used.sockets, maxDescriptors-fileDescriptors))
	c.Check(used.files <= fileDescriptors, qt.IsTrue, qt.Commentf("%d files were open of %d", used.files, fileDescriptors))
}
