package informer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"burdocklane/tracker"
)

// A datagram is a header and a number of records, in network byte order.

const formatVersion = 1

type header struct {
	Version uint8
	Count   uint8
	Sender  uint64 // Hash of the sending instance's ID.
	// Revision is the store's, up to which the sender knows the keys.
	Revision int64
}

// record is a worker's report, or the word that it is away.
type record struct {
	Worker  uint64 // Hash of the worker's ID and address.
	Running uint16
	Waiting uint16
	Slots   uint16
	Percent uint16 // Pace.
	AgeMs   uint16
	Flags   uint16
}

const (
	flagAway  = 1 << 0
	flagAil   = 1 << 1
	percent   = 100
	mostCount = math.MaxUint8
)

// DatagramError reports a datagram that cannot be read.
type DatagramError struct{ reason string }

// Error implements error.
func (e *DatagramError) Error() string { return fmt.Sprintf("datagram: %s", e.reason) }

func small[T int32 | int64](v T) uint16 { return uint16(min(max(int64(v), 0), math.MaxUint16)) }

func newRecord(worker uint64, r tracker.Report, now time.Duration) record {
	return record{
		Worker: worker, Running: small(r.Running()), Waiting: small(r.Waiting()), Slots: small(r.Slots()),
		Percent: small(int64(r.Pace() * percent)), AgeMs: small((now - r.At()).Milliseconds()),
	}
}

func (r record) report(now time.Duration) tracker.Report {
	at := now - time.Duration(r.AgeMs)*time.Millisecond
	return tracker.NewReport(int32(r.Running), int32(r.Waiting), int32(r.Slots), float64(max(r.Percent, 1))/percent, at).Heard()
}

func encode(sender uint64, revision int64, records []record) ([]byte, error) {
	records = records[:min(len(records), mostCount)]
	var b bytes.Buffer
	if err := binary.Write(&b, binary.BigEndian, header{Version: formatVersion, Count: uint8(len(records)), Sender: sender, Revision: revision}); err != nil {
		return nil, err
	}
	err := binary.Write(&b, binary.BigEndian, records)
	return b.Bytes(), err
}

func decode(data []byte) (header, []record, error) {
	r := bytes.NewReader(data)
	var h header
	if err := binary.Read(r, binary.BigEndian, &h); err != nil {
		return h, nil, &DatagramError{reason: err.Error()}
	}
	if h.Version != formatVersion {
		return h, nil, &DatagramError{reason: fmt.Sprintf("version %d", h.Version)}
	}
	records := make([]record, h.Count)
	if err := binary.Read(r, binary.BigEndian, records); err != nil {
		return h, nil, &DatagramError{reason: err.Error()}
	}
	return h, records, nil
}
