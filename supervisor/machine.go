package supervisor

import (
	"math"
	"runtime/debug"

	"burdocklane/parser"

	"golang.org/x/sys/unix"
)

const (
	// goMemoryRatio is the part of the machine's memory that the limit of the Go runtime
	// (GOMEMLIMIT) is expected to be.
	goMemoryRatio = 0.6
	// reservedDescriptors are the descriptors that are kept for files.
	reservedDescriptors = 200
)

// machineMemory returns the memory that the process may use: as the settings say, or as
// the limit of the Go runtime implies, or else the machine's.
func machineMemory(limits parser.Limits) int64 {
	if limits.MemoryBytes() > 0 {
		return limits.MemoryBytes()
	}
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return int64(float64(limit) / goMemoryRatio)
	}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit) //nolint:unconvert // The types differ between architectures.
}

// maxSockets returns how many sockets the process may have open, or 0 if that is not
// known.
func maxSockets() int64 {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return max(int64(limit.Cur)-reservedDescriptors, 1)
}
