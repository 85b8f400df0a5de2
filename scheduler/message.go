package scheduler

import (
	"bytes"
	"fmt"
	"math"
	"time"

	"burdocklane/decoder"
	"burdocklane/granter"
	"burdocklane/limiter"
	"burdocklane/tracker"
)

// A datagram holds one message in network byte order. Its first byte is the kind
// of the message.

type kind uint8

const (
	kindRequest kind = iota + 1
	kindReply
	kindCompletion
	kindTokenRequest
	kindTokenReply
)

const maxAvoided = 2

// callID identifies a call between two instances.
type callID struct {
	Requester uint32 // Hash of the requesting instance's ID.
	Number    uint32
}

// assignmentRequest requests the assignment of a worker to a call.
type assignmentRequest struct {
	Kind           kind
	Flags          requestFlags
	Priority       uint8 // 0 is the highest.
	Call           callID
	Service        uint32 // Hash of the service's name.
	Tenant         uint32 // The tenant's hash, or 0.
	TargetMs       uint16
	TargetLeftMs   uint16             // Time left in which a response meets the latency target.
	DeadlineLeftMs uint16             // Time left until the call's deadline.
	Avoid          [maxAvoided]uint32 // Hashes of the IDs of workers that got earlier attempts.
}

// requestFlags are properties of an assignment request.
type requestFlags uint8

const (
	flagSpare    requestFlags = 1 << iota // The call may only use spare capacity.
	flagHedge                             // The call already has an attempt in flight.
	flagConfined                          // Only workers of the scheduler's own region may get the call.
	flagCharged                           // The call counts against its tenant's rate limit.
)

func (f requestFlags) has(flag requestFlags) bool { return f&flag != 0 }

// setIf returns f with the flag if the condition holds.
func (f requestFlags) setIf(flag requestFlags, condition bool) requestFlags {
	if condition {
		return f | flag
	}
	return f
}

type replyStatus uint8

const (
	statusAssigned replyStatus = iota + 1
	statusQueued
	statusRejected
	// statusUnknownService says that the scheduler doesn't know the service, as it has
	// another configuration: the requester decides itself.
	statusUnknownService
	// statusOverLimit says that the call is beyond the rate limit of its tenant.
	statusOverLimit
	// statusLimitUnknown says that the scheduler can't tell whether the call is within the
	// rate limit of its tenant.
	statusLimitUnknown
	// statusLimitPending is statusLimitUnknown where the scheduler has just asked for more
	// tokens.
	statusLimitPending
	// statusAssignedCold assigns a cold worker, from whose allowance a call has been taken.
	statusAssignedCold
)

// assignmentReply answers an assignment request. It carries the latest load report
// of the worker.
type assignmentReply struct {
	Kind         kind
	Status       replyStatus
	Call         callID
	Worker       uint32
	Load         loadReport
	RetryAfterMs uint16 // When a rejected call may be served, or for how long a queued one waits at most; 0 if that is unknown.
}

func (r assignmentReply) retryAfter() time.Duration {
	return time.Duration(r.RetryAfterMs) * time.Millisecond
}

// completion reports the outcome of a call that a worker was assigned to. It
// releases the slot.
type completion struct {
	Kind    kind
	Finding uint8
	Call    callID
	Worker  uint32
	Load    loadReport
}

// loadReport is a worker's load report. Slots is 0 if there is none.
type loadReport struct {
	Running         uint8
	Waiting         uint8
	Slots           uint8
	AgeMs           uint8
	SlowdownPercent uint16 // The usual duration of a call is 100.
}

const percent = 100

func newLoadReport(w *tracker.Worker, now time.Duration) loadReport {
	r, ok := w.Report()
	if !ok {
		return loadReport{}
	}
	return loadReport{
		Running: clampUint8(r.Running()), Waiting: clampUint8(r.Waiting()), Slots: clampUint8(r.Slots()),
		AgeMs: uint8(min((now - r.At()).Milliseconds(), math.MaxUint8)), SlowdownPercent: uint16(min(r.Slowdown()*percent, math.MaxUint16)),
	}
}

func clampUint8(v int32) uint8 { return uint8(min(max(v, 0), math.MaxUint8)) }

// apply updates the worker's load by the report. It ignores a report whose age is
// at the maximum of its field, because the real age is unknown.
func (l loadReport) apply(pool *limiter.Pool, w *tracker.Worker) {
	if l.Slots == 0 || l.AgeMs == math.MaxUint8 {
		return
	}
	at := pool.Now() - time.Duration(l.AgeMs)*time.Millisecond
	report := tracker.NewReport(int32(l.Running), int32(l.Waiting), int32(l.Slots), float64(max(l.SlowdownPercent, 1))/percent, at)
	pool.RecordReport(w, report.FromPeer())
}

// encode returns the datagram of a message.
func encode(message any) ([]byte, error) {
	switch m := message.(type) {
	case granter.Request:
		return encodeTokenRequest(m)
	case granter.Reply:
		return encodeTokenReply(m)
	}
	return decoder.Append(nil, message)
}

// decode returns a *assignmentRequest, a *assignmentReply, a *completion, a
// granter.Request or a granter.Reply.
func decode(data []byte) (any, error) {
	if len(data) == 0 {
		return nil, decoder.NewDatagramError("is empty")
	}
	var message any
	switch kind(data[0]) {
	case kindRequest:
		message = &assignmentRequest{}
	case kindReply:
		message = &assignmentReply{}
	case kindCompletion:
		message = &completion{}
	case kindTokenRequest:
		return decodeTokenRequest(data)
	case kindTokenReply:
		return decodeTokenReply(data)
	default:
		return nil, decoder.NewDatagramError(fmt.Sprintf("kind %d", data[0]))
	}
	if err := decoder.Read(bytes.NewReader(data), message); err != nil {
		return nil, err
	}
	return message, nil
}

func clampMilliseconds(d time.Duration) uint16 {
	return uint16(min(max(d.Milliseconds(), 0), math.MaxUint16))
}
