package informer

import (
	"testing"
	"time"

	"burdocklane/registrar"
	"burdocklane/tracker"

	qt "github.com/frankban/quicktest"
)

func reportOf(pace float64) record {
	var r record
	r.setReport(tracker.NewReport(1, 0, 3, pace, 0), 0)
	return r
}

func TestWhoIsToldOfAWorker(t *testing.T) {
	d := duty{owner: 1, arbiters: [2]uint32{2, 3}}
	tests := []struct {
		name     string
		turned   bool
		instance uint32
		told     bool
	}{
		{"who checks the worker", false, 1, true},
		{"who decides for its service", false, 2, true},
		{"who would decide next", false, 3, true},
		{"another one", false, 4, false},
		{"another one, when it has become slow", true, 4, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			records := concerning([]tidings{{record: record{Worker: 9}, duty: d, turned: test.turned}}, test.instance)
			qt.Assert(t, len(records) == 1, qt.Equals, test.told)
		})
	}
}

func TestWhatEverybodyIsToldOfAWorker(t *testing.T) {
	unwell := reportOf(1)
	unwell.Flags |= flagAil
	tests := []struct {
		name    string
		records []record
		turned  []bool
	}{
		{"calm all the time", []record{reportOf(1), reportOf(1.4)}, []bool{false, false}},
		{"a slow spell", []record{reportOf(1), reportOf(7), reportOf(7), reportOf(1)}, []bool{false, true, false, true}},
		{"unwell", []record{unwell, unwell, reportOf(1)}, []bool{true, false, true}},
		{"away is always told", []record{{Flags: flagAway}, {Flags: flagAway}}, []bool{true, true}},
		{"only calls", []record{{Calls: 3}}, []bool{false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := &target{state: &state{}}
			var turned []bool
			for _, r := range test.records {
				turned = append(turned, x.turned(r))
			}
			qt.Assert(t, turned, qt.DeepEquals, test.turned)
		})
	}
}

func peerOf(id, zone string) peer {
	instance := registrar.NewInstance(registrar.InstanceID(id), "", "", registrar.NewPlace("r", zone), false)
	return peer{hash: registrar.Hash(id), instance: instance}
}

func TestWhomAMemberOfTheCouncilSpeaksTo(t *testing.T) {
	v := &view{rest: map[string][]peer{"a": {peerOf("a3", "a")}, "b": {peerOf("b3", "b")}}}
	tests := []struct {
		name string
		live []peer
		want int
	}{
		{"every zone has a member that lives", []peer{peerOf("a1", "a"), peerOf("b1", "b")}, 1},
		{"the other zone has none", []peer{peerOf("a1", "a"), peerOf("a2", "a")}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, v.inReach("a", test.live), qt.HasLen, test.want)
		})
	}
}

// An instance outside the council hears of its members by those of its own zone.
func TestMembersOfTheCouncilAreHeardOfThroughOthers(t *testing.T) {
	tests := []struct {
		name string
		ago  time.Duration
		live int
	}{
		{"just heard", 10 * time.Millisecond, 2},
		{"silent for long", 255 * time.Millisecond, 2},
		{"dead", peerSilence, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			near, far := peerOf("a1", "a"), peerOf("b1", "b")
			var behind int64
			i := &Informer{started: time.Now().Add(-time.Minute), news: NewNews(nil, func(r int64) { behind = r })}
			v := &view{council: []peer{near, far}}
			i.view.Store(v)
			var records []record
			if test.ago < peerSilence {
				records = append(records, peerRecord(far.hash, test.ago))
			}
			i.hear(header{Sender: near.hash, Revision: 7}, records)
			c.Assert(i.live(v), qt.HasLen, test.live)
			c.Assert(behind, qt.Equals, int64(7))
			c.Assert(i.known.Load(), qt.Equals, int64(7))
		})
	}
}

// Each worker is checked by one instance, of its own zone if that has any.
func TestWhoChecksAWorker(t *testing.T) {
	live := []peer{peerOf("a1", "a"), peerOf("a2", "a"), peerOf("b1", "b")}
	tests := []struct {
		name string
		zone string
		want []uint32
	}{
		{"a zone with two", "a", []uint32{live[0].hash, live[1].hash}},
		{"a zone with one", "b", []uint32{live[2].hash}},
		{"a zone with none", "c", []uint32{live[0].hash, live[1].hash, live[2].hash}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			owners := map[uint32]bool{}
			for n := range uint32(64) {
				w := tracker.NewWorker(registrar.NewWorker("w", "s", "", registrar.NewPlace("r", test.zone), 3, false), 0, false)
				owners[ownerOf(&target{worker: w, hash: registrar.Hash(string(rune(n)))}, live)] = true
			}
			qt.Assert(t, owners, qt.HasLen, len(test.want))
			for _, hash := range test.want {
				qt.Assert(t, owners[hash], qt.IsTrue)
			}
		})
	}
}
