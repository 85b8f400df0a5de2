package bencher

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"burdocklane/inspector"

	"github.com/go-faster/errors"
)

// clockTick is the unit of CPU time in /proc/PID/stat, fixed by the Linux ABI.
const clockTick = 10 * time.Millisecond

// cpuTime returns the CPU time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	// The command name in parentheses may contain spaces. User and system time are
	// the 12th and 13th field after it.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	const user, system = 11, 12
	if len(fields) <= system {
		return 0, errors.New("read processor time: short line")
	}
	ticks := int64(0)
	for _, index := range []int{user, system} {
		n, err := strconv.ParseInt(fields[index], 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "read processor time")
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// residentBytes returns the resident set size of a process.
func residentBytes(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read memory")
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, errors.New("read memory: short line")
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "read memory")
	}
	return pages * int64(os.Getpagesize()), nil
}

// metricValue reads one metric from an admin port. The name includes any labels.
func metricValue(ctx context.Context, admin, name string) (float64, error) {
	data, err := inspector.Fetch(ctx, admin, "/metrics")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		rest, found := strings.CutPrefix(line, name+" ")
		if !found {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(rest), 64)
		if err != nil {
			return 0, errors.Wrapf(err, "metric %s", name)
		}
		return value, nil
	}
	return 0, errors.Errorf("metric %s is missing", name)
}
