package arbiter

import (
	"bytes"
	"fmt"
	"math"
	"time"

	"burdocklane/decoder"
	"burdocklane/limiter"
	"burdocklane/tracker"
)

// A datagram is one message in network byte order. Its first byte tells the kind.

type kind uint8

const (
	kindAsk kind = iota + 1
	kindRuling
	kindDone
)

const avoidMost = 2

// call names a call between two instances.
type call struct {
	Asker  uint32 // Hash of the asking instance's ID.
	Number uint32
}

// ask asks which worker is to take a call.
type ask struct {
	Kind     kind
	Spare    bool // The call must take nobody's room.
	Second   bool // It already has an attempt under way.
	Call     call
	Service  uint32 // Hash of the service's name.
	TargetMs uint16
	OnTimeMs uint16            // What is left until the answer would be late.
	LeftMs   uint16            // What is left until the call is given up.
	Avoid    [avoidMost]uint32 // Hashes of workers' IDs.
}

type word uint8

const (
	wordAssigned word = iota + 1
	wordQueued
	wordDenied
)

// ruling answers an ask, with what is known of the worker.
type ruling struct {
	Kind   kind
	Word   word
	Call   call
	Worker uint32
	Load   load
}

// done tells what became of a call that a worker was assigned to.
type done struct {
	Kind    kind
	Finding uint8
	Call    call
	Worker  uint32
	Load    load
}

// load is a worker's report. Slots is 0 if there is none.
type load struct {
	Running uint8
	Waiting uint8
	Slots   uint8
	AgeMs   uint8
	Percent uint16 // Pace.
}

const percent = 100

func newLoad(w *tracker.Worker, now time.Duration) load {
	r, ok := w.Report()
	if !ok {
		return load{}
	}
	return load{
		Running: small(r.Running()), Waiting: small(r.Waiting()), Slots: small(r.Slots()),
		AgeMs: uint8(min((now - r.At()).Milliseconds(), math.MaxUint8)), Percent: uint16(min(r.Pace()*percent, math.MaxUint16)),
	}
}

func small(v int32) uint8 { return uint8(min(max(v, 0), math.MaxUint8)) }

// learn takes the report over for the worker.
func (l load) learn(pool *limiter.Pool, w *tracker.Worker) {
	if l.Slots == 0 || l.AgeMs == math.MaxUint8 {
		return
	}
	at := pool.Now() - time.Duration(l.AgeMs)*time.Millisecond
	report := tracker.NewReport(int32(l.Running), int32(l.Waiting), int32(l.Slots), float64(max(l.Percent, 1))/percent, at)
	pool.Reported(w, report.Heard())
}

// decode returns an ask, a ruling or a done.
func decode(data []byte) (any, error) {
	if len(data) == 0 {
		return nil, decoder.NewDatagramError("is empty")
	}
	var message any
	switch kind(data[0]) {
	case kindAsk:
		message = &ask{}
	case kindRuling:
		message = &ruling{}
	case kindDone:
		message = &done{}
	default:
		return nil, decoder.NewDatagramError(fmt.Sprintf("kind %d", data[0]))
	}
	if err := decoder.Read(bytes.NewReader(data), message); err != nil {
		return nil, err
	}
	return message, nil
}

func milliseconds(d time.Duration) uint16 {
	return uint16(min(max(d.Milliseconds(), 0), math.MaxUint16))
}
