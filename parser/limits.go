package parser

import (
	"time"

	"burdocklane/descriptor"
)

// LimitsOption sets one property of Limits.
type LimitsOption func(*Limits)

// WithCallerBounds takes over the bounds that a deployment sets for callers.
func WithCallerBounds(b descriptor.Bounds) LimitsOption {
	return func(l *Limits) {
		replace(&l.headerBytes, b.HeaderBytes())
		replace(&l.bodyBytes, b.BodyBytes())
		replace(&l.headerTimeout, b.HeaderTimeout())
		replace(&l.idleTimeout, b.IdleTimeout())
	}
}

// WithDrainTimeout sets how long a graceful shutdown waits for calls in flight.
func WithDrainTimeout(d time.Duration) LimitsOption {
	return func(l *Limits) { replace(&l.drainTimeout, d) }
}

func replace[T int64 | time.Duration](limit *T, value T) {
	if value > 0 {
		*limit = value
	}
}

// DefaultLimits returns the limits of an instance whose settings name none.
func DefaultLimits(opts ...LimitsOption) Limits {
	l := Limits{
		headerBytes:    defaultHeaderBytes,
		bodyBytes:      defaultBodyBytes,
		replayBytes:    defaultReplayBytes,
		connections:    defaultConnections,
		queue:          defaultQueue,
		headerTimeout:  defaultHeaderTimeout,
		bodyTimeout:    defaultBodyTimeout,
		idleTimeout:    defaultIdleTimeout,
		connectTimeout: defaultConnectTimeout,
		upstreamIdle:   defaultUpstreamIdle,
		drainTimeout:   defaultDrainTimeout,
	}
	for _, opt := range opts {
		opt(&l)
	}
	return l
}
