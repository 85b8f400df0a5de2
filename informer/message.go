package informer

import (
	"bytes"
	"fmt"
	"math"
	"time"

	"burdocklane/decoder"
	"burdocklane/tracker"
)

// A datagram is a header and a number of records, in network byte order.

const formatVersion = 1

type header struct {
	Version uint8
	Count   uint8
	Sender  uint32 // Hash of the sending instance's ID.
	// Revision is one that the sender knows the store to have reached.
	Revision int64
}

// record is a worker's report, or the word that it is away, with the sender's
// own calls there; or when a peer was last heard.
type record struct {
	Worker  uint32 // Hash of the worker's ID and address, or of the peer's ID.
	Flags   uint8
	Calls   uint8 // The sender's.
	Running uint8
	Waiting uint8
	Slots   uint8
	AgeMs   uint8
	Percent uint16 // Pace.
}

const (
	flagAway   = 1 << 0 // The worker did not answer.
	flagAil    = 1 << 1 // The worker says that it is not well.
	flagReport = 1 << 2 // The record has a report.
	flagPeer   = 1 << 3 // The record is of a peer: only its age counts.
	percent    = 100
	mostCount  = math.MaxUint8
)

func small[T int32 | int64](v T) uint8 { return uint8(min(max(int64(v), 0), math.MaxUint8)) }

func (r *record) setReport(report tracker.Report, now time.Duration) {
	r.Flags |= flagReport
	r.Running, r.Waiting, r.Slots = small(report.Running()), small(report.Waiting()), small(report.Slots())
	r.Percent = uint16(min(report.Pace()*percent, math.MaxUint16))
	r.AgeMs = small((now - report.At()).Milliseconds())
}

func (r record) report(now time.Duration) tracker.Report {
	at := now - time.Duration(r.AgeMs)*time.Millisecond
	return tracker.NewReport(int32(r.Running), int32(r.Waiting), int32(r.Slots), float64(max(r.Percent, 1))/percent, at).Heard()
}

// peerRecord tells how long ago a peer was heard.
func peerRecord(peer uint32, ago time.Duration) record {
	return record{Worker: peer, Flags: flagPeer, AgeMs: small(ago.Milliseconds())}
}

func encode(sender uint32, revision int64, records []record) ([]byte, error) {
	records = records[:min(len(records), mostCount)]
	data, err := decoder.Append(nil, header{Version: formatVersion, Count: uint8(len(records)), Sender: sender, Revision: revision})
	if err != nil {
		return nil, err
	}
	return decoder.Append(data, records)
}

func decode(data []byte) (header, []record, error) {
	r := bytes.NewReader(data)
	var h header
	if err := decoder.Read(r, &h); err != nil {
		return h, nil, err
	}
	if h.Version != formatVersion {
		return h, nil, decoder.NewDatagramError(fmt.Sprintf("version %d", h.Version))
	}
	records := make([]record, h.Count)
	return h, records, decoder.Read(r, records)
}
