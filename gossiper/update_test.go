package gossiper

import (
	"net"
	"testing"
	"time"

	"burdocklane/registrar"
	"burdocklane/storer"
	"burdocklane/tracker"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

func reportOf(slowdown float64) record {
	var r record
	r.setReport(tracker.NewReport(1, 0, 3, slowdown, 0), 0)
	return r
}

func TestRecordsFor(t *testing.T) {
	r := roles{owner: 1, schedulers: [2]uint32{2, 3}}
	tests := []struct {
		name     string
		changed  bool
		instance uint32
		sent     bool
	}{
		{"owner of the worker", false, 1, true},
		{"scheduler of its service", false, 2, true},
		{"successor of the scheduler", false, 3, true},
		{"another instance", false, 4, false},
		{"another instance, when the worker has become slow", true, 4, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			records := recordsFor([]update{{record: record{Worker: 9}, roles: r, changed: test.changed}}, test.instance)
			qt.Assert(t, len(records) == 1, qt.Equals, test.sent)
		})
	}
}

func TestChangedCondition(t *testing.T) {
	unhealthy := reportOf(1)
	unhealthy.Flags |= flagUnhealthy
	tests := []struct {
		name    string
		records []record
		changed []bool
	}{
		{"normal all the time", []record{reportOf(1), reportOf(1.4)}, []bool{false, false}},
		{"slow for a while", []record{reportOf(1), reportOf(7), reportOf(7), reportOf(1)}, []bool{false, true, false, true}},
		{"unhealthy", []record{unhealthy, unhealthy, reportOf(1)}, []bool{true, false, true}},
		{"unreachable is always sent", []record{{Flags: flagUnreachable}, {Flags: flagUnreachable}}, []bool{true, true}},
		{"calls only", []record{{Calls: 3}}, []bool{false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := &target{state: &state{}}
			var changed []bool
			for _, r := range test.records {
				changed = append(changed, x.changed(r))
			}
			qt.Assert(t, changed, qt.DeepEquals, test.changed)
		})
	}
}

func peerOf(id, zone string) peer {
	instance := registrar.NewInstance(registrar.InstanceID(id), "", "", registrar.NewLocality("r", zone), false)
	return peer{hash: registrar.Hash(id), instance: instance}
}

func TestLivenessRecipients(t *testing.T) {
	v := &view{others: map[string][]peer{"a": {peerOf("a3", "a")}, "b": {peerOf("b3", "b")}}}
	tests := []struct {
		name string
		live []peer
		want int
	}{
		{"every zone has a live coordinator", []peer{peerOf("a1", "a"), peerOf("b1", "b")}, 1},
		{"the other zone has none", []peer{peerOf("a1", "a"), peerOf("a2", "a")}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, v.livenessRecipients("a", test.live), qt.HasLen, test.want)
		})
	}
}

// An instance that is no coordinator learns the liveness of the coordinators of other
// zones from those of its own zone.
func TestLivenessOfCoordinatorsIsRelayed(t *testing.T) {
	tests := []struct {
		name string
		ago  time.Duration
		live int
	}{
		{"just seen", 10 * time.Millisecond, 2},
		{"silent for long", 255 * time.Millisecond, 2},
		{"dead", peerTimeout, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			local, other := peerOf("a1", "a"), peerOf("b1", "b")
			var observed storer.Revision
			i := &Gossiper{started: time.Now().Add(-time.Minute), hooks: NewRevisionHooks(nil, func(r storer.Revision) { observed = r })}
			v := &view{coordinators: []peer{local, other}}
			i.view.Store(v)
			var records []record
			if test.ago < peerTimeout {
				records = append(records, peerRecord(other.hash, test.ago))
			}
			i.apply(header{Sender: local.hash, Era: 2, Revision: 7}, records)
			c.Assert(i.live(v), qt.HasLen, test.live)
			c.Assert(observed, qt.Equals, storer.NewRevision(2, 7))
			c.Assert(i.heardRevision(), qt.Equals, storer.NewRevision(2, 7))
		})
	}
}

// A peer that still is in an older era of the store must not hide the later one, whose
// numbers are lower.
func TestRevisionsOfPeers(t *testing.T) {
	tests := []struct {
		name  string
		known storer.Revision
		got   storer.Revision
		want  storer.Revision
	}{
		{"a later revision", storer.NewRevision(1, 41), storer.NewRevision(1, 58), storer.NewRevision(1, 58)},
		{"an earlier revision", storer.NewRevision(1, 58), storer.NewRevision(1, 41), storer.NewRevision(1, 58)},
		{"a lower revision of a later era", storer.NewRevision(1, 58), storer.NewRevision(2, 41), storer.NewRevision(2, 41)},
		{"a higher revision of an older era", storer.NewRevision(2, 41), storer.NewRevision(1, 58), storer.NewRevision(2, 41)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var observed storer.Revision
			i := &Gossiper{started: time.Now(), hooks: NewRevisionHooks(nil, func(r storer.Revision) { observed = r })}
			i.view.Store(&view{})
			i.apply(header{Sender: 2, Era: test.known.Era(), Revision: test.known.Number()}, nil)
			i.apply(header{Sender: 1, Era: test.got.Era(), Revision: test.got.Number()}, nil)
			c.Assert(observed, qt.Equals, test.got)
			c.Assert(i.heardRevision(), qt.Equals, test.want)
		})
	}
}

// Passed on between coordinators, one datagram with a revision that the store does not
// have would go round for good, and make each instance read all keys again and again.
func TestRevisionsThatArePassedOn(t *testing.T) {
	at := storer.NewRevision
	tests := []struct {
		name          string
		heard         []storer.Revision
		ago           time.Duration // Since the first ones were heard.
		last          storer.Revision
		toCoordinator storer.Revision
		toOther       storer.Revision
	}{
		{"none was heard", nil, 0, storer.Revision{}, at(1, 7), at(1, 7)},
		{"a later one", []storer.Revision{at(1, 9)}, 0, storer.Revision{}, at(1, 7), at(1, 9)},
		{"a later one of a later era", []storer.Revision{at(2, 5)}, 0, storer.Revision{}, at(1, 7), at(2, 5)},
		{"an earlier one", []storer.Revision{at(1, 5)}, 0, storer.Revision{}, at(1, 7), at(1, 7)},
		{"an earlier one after a later one", []storer.Revision{at(1, 9), at(1, 8)}, 0, storer.Revision{}, at(1, 7), at(1, 9)},
		{"a later one, long ago", []storer.Revision{at(1, 9)}, time.Minute, storer.Revision{}, at(1, 7), at(1, 7)},
		{"a far later one, long ago, and a later one", []storer.Revision{at(9, 1)}, time.Minute, at(1, 8), at(1, 7), at(1, 8)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			coordinator, coordinatorSocket := openPeer(c, "b1", "b")
			other, otherSocket := openPeer(c, "a2", "a")
			_, socket := openPeer(c, "a1", "a")
			i := &Gossiper{
				self: peerOf("a1", "a").instance, started: time.Now().Add(-time.Minute), socket: socket, roleTable: &roleTable{},
				hooks: NewRevisionHooks(func() storer.Revision { return at(1, 7) }, func(storer.Revision) {}),
			}
			v := &view{coordinators: []peer{coordinator}, others: map[string][]peer{"a": {other}}}
			i.view.Store(v)
			for _, r := range test.heard {
				i.apply(header{Sender: 1, Era: r.Era(), Revision: r.Number()}, nil)
			}
			i.started = i.started.Add(-test.ago)
			if !test.last.IsZero() {
				i.apply(header{Sender: 1, Era: test.last.Era(), Revision: test.last.Number()}, nil)
			}
			i.sendUpdates(v)
			c.Assert(receiveRevision(c, coordinatorSocket), qt.Equals, test.toCoordinator)
			c.Assert(receiveRevision(c, otherSocket), qt.Equals, test.toOther)
		})
	}
}

// openPeer returns a peer and its open port for datagrams.
func openPeer(c *qt.C, id, zone string) (peer, *net.UDPConn) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { socket.Close() })
	p := peerOf(id, zone)
	p.address = socket.LocalAddr().(*net.UDPAddr)
	return p, socket
}

// receiveRevision returns the revision in the next datagram.
func receiveRevision(c *qt.C, socket *net.UDPConn) storer.Revision {
	c.Assert(socket.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	buffer := make([]byte, maxDatagramSize)
	n, err := socket.Read(buffer)
	c.Assert(err, qt.IsNil)
	from, _, err := decode(buffer[:n])
	c.Assert(err, qt.IsNil)
	return from.revision()
}

// One instance checks each worker: an instance of its own zone, if there is one.
func TestOwnerOf(t *testing.T) {
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
				w := tracker.NewWorker(registrar.NewWorker("w", "s", "", registrar.NewLocality("r", test.zone), 3, false), 0, false)
				owners[ownerOf(&target{worker: w, hash: registrar.Hash(string(rune(n)))}, live)] = true
			}
			qt.Assert(t, owners, qt.HasLen, len(test.want))
			for _, hash := range test.want {
				qt.Assert(t, owners[hash], qt.IsTrue)
			}
		})
	}
}

// Pattern: a coordinator with hundreds of workers. Guards against reports that do not fit
// into a datagram and are dropped.
func TestRecordsAreSentInAsManyDatagramsAsNeeded(t *testing.T) {
	tests := []struct {
		name      string
		records   int
		datagrams int
	}{
		{"a heartbeat", 0, 1},
		{"as many as fit", maxRecords, 1},
		{"one more", maxRecords + 1, 2},
		{"hundreds", 600, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			remote := listenUDP(c)
			hooks := NewRevisionHooks(func() storer.Revision { return storer.Revision{} }, func(storer.Revision) {})
			i := &Gossiper{socket: listenUDP(c), hooks: hooks, log: zerolog.Nop()}
			to := peerOf("a1", "a")
			to.address = remote.LocalAddr().(*net.UDPAddr)
			i.send(storer.Revision{}, make([]record, test.records), to)
			received, buffer := 0, make([]byte, maxDatagramSize)
			for range test.datagrams {
				n, _, err := remote.ReadFromUDP(buffer)
				c.Assert(err, qt.IsNil)
				_, records, err := decode(buffer[:n])
				c.Assert(err, qt.IsNil)
				received += len(records)
			}
			c.Assert(received, qt.Equals, test.records)
		})
	}
}
