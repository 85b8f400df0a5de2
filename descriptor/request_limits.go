package descriptor

import "time"

// Bounds limits the size and the duration of callers' requests. For a field
// that is zero, the instance's own setting applies.
type Bounds struct {
	maxHeaderBytes int64
	maxBodyBytes   int64
	headerTimeout  time.Duration
	idleTimeout    time.Duration
}

// NewBounds returns limits on callers' requests; 0 leaves a limit unset.
func NewBounds(maxHeaderBytes, maxBodyBytes int64, headerTimeout, idleTimeout time.Duration) Bounds {
	return Bounds{maxHeaderBytes: maxHeaderBytes, maxBodyBytes: maxBodyBytes, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

// HeaderBytes returns the maximum size of a request header, or 0 if unset.
func (b Bounds) HeaderBytes() int64 { return b.maxHeaderBytes }

// BodyBytes returns the maximum size of a request body, or 0 if unset.
func (b Bounds) BodyBytes() int64 { return b.maxBodyBytes }

// HeaderTimeout returns the maximum time for reading a request header, or 0 if
// unset.
func (b Bounds) HeaderTimeout() time.Duration { return b.headerTimeout }

// IdleTimeout returns how long a caller's connection may stay idle, or 0 if
// unset.
func (b Bounds) IdleTimeout() time.Duration { return b.idleTimeout }
