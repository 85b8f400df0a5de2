package gossiper

import (
	"testing"
	"time"

	"burdocklane/decoder"
	"burdocklane/descriptor"
	"burdocklane/storer"
	"burdocklane/tracker"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

func TestDatagramsRoundTrip(t *testing.T) {
	report := record{Worker: 7, Calls: 2}
	report.setReport(tracker.NewReport(3, 1, 6, 7.25, 90*time.Millisecond), 100*time.Millisecond)
	tests := []struct {
		name    string
		records []record
	}{
		{"no records", []record{}},
		{"a report", []record{report}},
		{"an unreachable worker", []record{report, {Worker: 8, Flags: flagUnreachable}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			data, err := encode(5, storer.NewRevision(2, 77), 14, test.records)
			c.Assert(err, qt.IsNil)
			from, got, err := decode(data)
			c.Assert(err, qt.IsNil)
			c.Assert(from.Sender, qt.Equals, uint32(5))
			c.Assert(from.revision(), qt.Equals, storer.NewRevision(2, 77))
			c.Assert(from.configuration(), qt.Equals, descriptor.Revision(14))
			c.Assert(got, qt.DeepEquals, test.records)
			_, _, err = decode(data[:len(data)-1])
			var bad *decoder.DatagramError
			c.Assert(errors.As(err, &bad), qt.IsTrue)
		})
	}
}

// A datagram of the format before has no era: its fields would be read at the wrong
// places.
func TestOtherFormatsAreRejected(t *testing.T) {
	tests := []struct {
		name    string
		version uint8
		valid   bool
	}{
		{"the format before", formatVersion - 1, false},
		{"this format", formatVersion, true},
		{"a later format", formatVersion + 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			data, err := encode(5, storer.NewRevision(2, 77), 14, nil)
			c.Assert(err, qt.IsNil)
			data[0] = test.version
			_, _, err = decode(data)
			var bad *decoder.DatagramError
			c.Assert(errors.As(err, &bad), qt.Equals, !test.valid)
		})
	}
}

func TestReportKeepsItsAge(t *testing.T) {
	c := qt.New(t)
	r := record{}
	r.setReport(tracker.NewReport(3, 1, 6, 7.25, 90*time.Millisecond), 100*time.Millisecond)
	got := r.report(time.Second)
	c.Assert(got.At(), qt.Equals, 990*time.Millisecond)
	c.Assert(got.Slowdown(), qt.Equals, 7.25)
	c.Assert(got.IsFromPeer(), qt.IsTrue)
}

func FuzzDecode(f *testing.F) {
	data, err := encode(1, storer.NewRevision(1, 2), 3, []record{{Worker: 3}})
	qt.Assert(f, err, qt.IsNil)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if from, records, err := decode(data); err == nil {
			qt.Assert(t, len(records), qt.Equals, int(from.Count))
		}
	})
}
