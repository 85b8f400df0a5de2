package descriptor

import "time"

// RequestLimits limits the size and the duration of callers' requests. For a field
// that is zero, the instance's own setting applies.
type RequestLimits struct {
	maxHeaderBytes int64
	maxBodyBytes   int64
	headerTimeout  time.Duration
	idleTimeout    time.Duration
}

// NewRequestLimits returns limits on callers' requests; 0 leaves a limit unset.
func NewRequestLimits(maxHeaderBytes, maxBodyBytes int64, headerTimeout, idleTimeout time.Duration) RequestLimits {
	return RequestLimits{maxHeaderBytes: maxHeaderBytes, maxBodyBytes: maxBodyBytes, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

// MaxHeaderBytes returns the maximum size of a request header, or 0 if unset.
func (b RequestLimits) MaxHeaderBytes() int64 { return b.maxHeaderBytes }

// MaxBodyBytes returns the maximum size of a request body, or 0 if unset.
func (b RequestLimits) MaxBodyBytes() int64 { return b.maxBodyBytes }

// HeaderTimeout returns the maximum time for reading a request header, or 0 if
// unset.
func (b RequestLimits) HeaderTimeout() time.Duration { return b.headerTimeout }

// IdleTimeout returns how long a caller's connection may stay idle, or 0 if
// unset.
func (b RequestLimits) IdleTimeout() time.Duration { return b.idleTimeout }
