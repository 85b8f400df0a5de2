// Package shedder bounds what all callers together hold of an instance: memory for
// connections, heads, bodies and answers that are not read yet, and descriptors. If the
// limits are reached, it ends those that hold most for longest and make least progress.
// It knows no network and no encoding of messages.
package shedder

import "math"

const (
	// memoryShare is the part of the machine's memory that callers may hold. The garbage
	// collector needs half as much again, and the process as such the rest.
	memoryShare = 1.0 / 4
	// socketShare is the part of the sockets that callers' connections may take, together
	// with the connections to workers that their calls use.
	socketShare = 3.0 / 4
	// idleSocketShare is the part of the sockets that idle connections to workers may take.
	idleSocketShare = 1.0 / 8
	// checkSocketShare is the part of the sockets, and of the memory for callers, that the
	// connections for readiness checks and metrics may take.
	checkSocketShare = 1.0 / 32
	minCheckSockets  = 8
	minCheckBytes    = minCheckSockets * 2 * ConnectionBytes
	// growthShare is the part of the memory for callers that heads, bodies and answers may
	// take. The rest is for connections and short requests only, so that many long
	// requests leave room for new connections.
	growthShare = 3.0 / 4
	// callShare is the part of the limit of the sockets that calls in flight may reach, each
	// with two sockets, and uploadShare the part of the calls whose bodies are still being
	// sent while their workers wait. Both leave room for other callers.
	callShare   = 3.0 / 8
	uploadShare = 1.0 / 2
	// lowShare is the part of a limit down to which connections are ended once the limit is
	// reached, so that they are not compared for each new one.
	lowShare = 15.0 / 16
)

// What callers hold of memory, in bytes.
const (
	// ConnectionBytes is held by a connection: its buffers and the stacks of its threads.
	ConnectionBytes = 16 << 10
	// CallBytes is held by a call that has been dispatched, beside its connection.
	CallBytes = 32 << 10
	// HTTP2Bytes is held by a connection of HTTP/2, beside [ConnectionBytes]: the buffers
	// for frames, and streams that are being refused.
	HTTP2Bytes = 128 << 10
	// WindowBytes is how much of its body a stream of HTTP/2 may send that is not read yet.
	WindowBytes = 64 << 10
	// FieldBytes is held by a field of a head beside its text. It is held twice: in the
	// request and in its copy for the worker.
	FieldBytes = 160
)

// Limits are what callers may hold. A limit of 0 is none.
type Limits struct {
	bytes       int64
	connections int64
	sockets     int64
}

// NewLimits returns limits of the memory, of the number of connections, and of the number
// of sockets: one for each connection and one for each call.
func NewLimits(bytes, connections, sockets int64) Limits {
	return Limits{bytes: bytes, connections: connections, sockets: sockets}
}

// CallerLimits returns the limits of callers on a machine with so much memory and so many
// sockets, of which 0 stands for no limit.
func CallerLimits(memoryBytes, connections, sockets int64) Limits {
	return NewLimits(share(memoryBytes, memoryShare), connections, share(sockets, socketShare))
}

// CheckLimits returns the limits of the port for readiness checks and metrics.
func CheckLimits(memoryBytes, sockets int64) Limits {
	limits := NewLimits(share(memoryBytes, memoryShare*checkSocketShare), 0, share(sockets, checkSocketShare))
	if limits.sockets > 0 {
		limits.sockets = max(limits.sockets, minCheckSockets)
	}
	if limits.bytes > 0 {
		limits.bytes = max(limits.bytes, minCheckBytes)
	}
	return limits
}

// MaxIdleWorkerConnections returns how many idle connections to workers may be open, or 0
// for no limit.
func MaxIdleWorkerConnections(sockets int64) int64 { return share(sockets, idleSocketShare) }

func share(total int64, part float64) int64 { return int64(math.Ceil(float64(total) * part)) }

// maxCalls returns how many calls may be in flight, or 0 for no limit.
func (l Limits) maxCalls() int64 { return share(l.sockets, callShare) }

// maxUploads returns how many of them may have a body that is still being sent, or 0 for no
// limit.
func (l Limits) maxUploads() int64 { return share(l.maxCalls(), uploadShare) }

// Bytes returns the limit of the memory.
func (l Limits) Bytes() int64 { return l.bytes }

// Sockets returns the limit of the sockets.
func (l Limits) Sockets() int64 { return l.sockets }

// Connections returns the limit of the connections.
func (l Limits) Connections() int64 { return l.connections }
