package descriptor

import "time"

// Bounds is what a caller may send and how long it may take over it. A zero
// value of a field leaves the instance's own setting in force.
type Bounds struct {
	headerBytes   int64
	bodyBytes     int64
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// NewBounds returns the bounds of callers' requests.
func NewBounds(headerBytes, bodyBytes int64, headerTimeout, idleTimeout time.Duration) Bounds {
	return Bounds{headerBytes: headerBytes, bodyBytes: bodyBytes, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

// HeaderBytes bounds the header of a request.
func (b Bounds) HeaderBytes() int64 { return b.headerBytes }

// BodyBytes bounds the body of a request.
func (b Bounds) BodyBytes() int64 { return b.bodyBytes }

// HeaderTimeout bounds how long a caller may take to send a header.
func (b Bounds) HeaderTimeout() time.Duration { return b.headerTimeout }

// IdleTimeout bounds how long a caller's connection may stay unused.
func (b Bounds) IdleTimeout() time.Duration { return b.idleTimeout }
