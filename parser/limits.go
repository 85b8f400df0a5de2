package parser

import (
	"time"

	"burdocklane/descriptor"
)

// LimitsOption configures Limits.
type LimitsOption func(*Limits)

// WithRequestLimits applies the request limits that a deployment sets. Limits
// that it leaves unset keep their value.
func WithRequestLimits(b descriptor.RequestLimits) LimitsOption {
	return func(l *Limits) {
		overrideIfSet(&l.maxHeaderBytes, b.MaxHeaderBytes())
		overrideIfSet(&l.maxBodyBytes, b.MaxBodyBytes())
		overrideIfSet(&l.headerTimeout, b.HeaderTimeout())
		overrideIfSet(&l.idleTimeout, b.IdleTimeout())
	}
}

// WithDrainTimeout sets how long a graceful shutdown waits for in-flight calls.
func WithDrainTimeout(d time.Duration) LimitsOption {
	return func(l *Limits) { overrideIfSet(&l.drainTimeout, d) }
}

func overrideIfSet[T int64 | time.Duration](limit *T, value T) {
	if value > 0 {
		*limit = value
	}
}

// DefaultLimits returns the limits that apply where the settings set none.
func DefaultLimits(opts ...LimitsOption) Limits {
	l := Limits{
		maxHeaderBytes:      defaultMaxHeaderBytes,
		maxBodyBytes:        defaultMaxBodyBytes,
		maxReplayBytes:      defaultMaxReplayBytes,
		maxConnections:      defaultMaxConnections,
		maxQueueLength:      defaultMaxQueueLength,
		headerTimeout:       defaultHeaderTimeout,
		bodyTimeout:         defaultBodyTimeout,
		idleTimeout:         defaultIdleTimeout,
		connectTimeout:      defaultConnectTimeout,
		upstreamIdleTimeout: defaultUpstreamIdleTimeout,
		drainTimeout:        defaultDrainTimeout,
	}
	for _, opt := range opts {
		opt(&l)
	}
	return l
}
