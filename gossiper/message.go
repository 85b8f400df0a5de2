package gossiper

import (
	"bytes"
	"fmt"
	"math"
	"time"

	"burdocklane/decoder"
	"burdocklane/descriptor"
	"burdocklane/storer"
	"burdocklane/tracker"
)

// A datagram holds a header and a list of records, in network byte order.

const formatVersion = 2

type header struct {
	Version uint8
	Count   uint8
	Sender  uint32 // Hash of the sending instance's ID.
	// Era and Revision are the store's revision that the sender has read. To instances
	// that are no coordinators, it may be a later one that the sender has heard.
	Era      int64
	Revision int64
	// Configuration is the version of the configuration that the sender has in force, or 0.
	Configuration int64
}

func (h header) revision() storer.Revision { return storer.NewRevision(h.Era, h.Revision) }

func (h header) configuration() descriptor.Revision { return descriptor.Revision(h.Configuration) }

// record holds the sender's number of calls at a worker, with the worker's load
// report or the fact that it did not answer. A record of a peer holds the time since
// its last datagram.
type record struct {
	Worker          uint32 // Hash of the worker's ID and address, or of the peer's ID.
	Flags           uint8
	Calls           uint8 // In flight from the sender.
	Running         uint8
	Waiting         uint8
	Slots           uint8
	AgeMs           uint8
	SlowdownPercent uint16 // The usual duration of a call is 100.
}

const (
	flagUnreachable = 1 << 0 // The worker did not answer.
	flagUnhealthy   = 1 << 1 // The worker reports that it is unhealthy.
	flagReport      = 1 << 2 // The record has a load report.
	flagPeer        = 1 << 3 // The record is of a peer: only Worker and AgeMs are set.
	flagCold        = 1 << 4 // The worker has told the sender that it is cold.
	percent         = 100
	maxRecords      = math.MaxUint8
)

func clampUint8[T int32 | int64](v T) uint8 { return uint8(min(max(int64(v), 0), math.MaxUint8)) }

func (r *record) setReport(report tracker.Report, now time.Duration) {
	r.Flags |= flagReport
	r.Running, r.Waiting, r.Slots = clampUint8(report.Running()), clampUint8(report.Waiting()), clampUint8(report.Slots())
	r.SlowdownPercent = uint16(min(report.Slowdown()*percent, math.MaxUint16))
	r.AgeMs = clampUint8((now - report.At()).Milliseconds())
}

func (r record) report(now time.Duration) tracker.Report {
	at := now - time.Duration(r.AgeMs)*time.Millisecond
	return tracker.NewReport(int32(r.Running), int32(r.Waiting), int32(r.Slots), float64(max(r.SlowdownPercent, 1))/percent, at).FromPeer()
}

// peerRecord returns a record of the time since a peer's last datagram.
func peerRecord(peer uint32, ago time.Duration) record {
	return record{Worker: peer, Flags: flagPeer, AgeMs: clampUint8(ago.Milliseconds())}
}

func encode(sender uint32, revision storer.Revision, configuration descriptor.Revision, records []record) ([]byte, error) {
	records = records[:min(len(records), maxRecords)]
	data, err := decoder.Append(nil, header{
		Version: formatVersion, Count: uint8(len(records)), Sender: sender, Era: revision.Era(), Revision: revision.Number(),
		Configuration: int64(configuration),
	})
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
