package flooder_test

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// usage is what a process has used at its peak.
type usage struct {
	memoryKB int
	sockets  int
	files    int
}

// watchInterval is the time between two counts of the open descriptors.
const watchInterval = 20 * time.Millisecond

// monitor counts the open descriptors of a process while it runs.
type monitor struct {
	pid      int
	stop     chan struct{}
	watching sync.WaitGroup
	mutex    sync.Mutex // Guards peak.
	peak     usage
}

func newMonitor(pid int) *monitor {
	m := &monitor{pid: pid, stop: make(chan struct{})}
	m.watching.Go(func() {
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		for {
			m.sample()
			select {
			case <-ticker.C:
			case <-m.stop:
				return
			}
		}
	})
	return m
}

// sample counts the descriptors that are open now.
func (m *monitor) sample() {
	sockets, files := openDescriptors(m.pid)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.peak.sockets, m.peak.files = max(m.peak.sockets, sockets), max(m.peak.files, files)
}

// close ends the counting, and returns the peaks.
func (m *monitor) close() usage {
	close(m.stop)
	m.watching.Wait()
	m.peak.memoryKB = peakMemoryKB(m.pid)
	return m.peak
}

// openDescriptors returns how many sockets and other files a process has open.
func openDescriptors(pid int) (sockets, files int) {
	directory := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(directory)
	if err != nil {
		return 0, 0
	}
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(directory, e.Name()))
		if err != nil {
			continue // It was closed meanwhile.
		}
		if strings.HasPrefix(target, "socket:") {
			sockets++
			continue
		}
		files++
	}
	return sockets, files
}

// peakMemoryKB returns the peak resident memory of a process, or 0 if it has ended.
func peakMemoryKB(pid int) int {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb
		}
	}
	return 0
}
