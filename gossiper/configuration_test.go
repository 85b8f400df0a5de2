package gossiper

import (
	"net"
	"testing"
	"time"

	"burdocklane/descriptor"
	"burdocklane/registrar"
	"burdocklane/storer"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// Guards against an instance that does not learn of a peer's later configuration, of a
// coordinator that does not learn of it from an instance which sends no heartbeats, and
// against datagrams that are answered without end.
func TestVersionsOfConfigurations(t *testing.T) {
	const own = 5
	tests := []struct {
		name          string
		isCoordinator bool
		region        string // Of the tested instance. The peer is in r.
		unlisted      bool
		version       descriptor.Revision
		later         bool // Whether the later version is reported.
		answered      bool
	}{
		{"a later version", false, "r", false, own + 1, true, false},
		{"a later version, to a coordinator", true, "r", false, own + 1, true, false},
		{"a later version of an unlisted instance", false, "r", true, own + 1, false, false},
		{"the same version", false, "r", false, own, false, false},
		{"an older version", false, "r", false, own - 1, false, true},
		{"an older version, to a coordinator", true, "r", false, own - 1, false, false},
		{"an older version in another region, to a coordinator", true, "q", false, own - 1, false, true},
		{"the same version in another region, to a coordinator", true, "q", false, own, false, false},
		{"no configuration", false, "r", false, 0, false, true},
		{"an older version of an unlisted instance", false, "r", true, own - 1, false, false},
		{"a negative version", false, "r", false, -1, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			remote, socket := listenUDP(c), listenUDP(c)
			sender := peerOf("a1", "a")
			sender.address = remote.LocalAddr().(*net.UDPAddr)
			var reported []descriptor.Revision
			hooks := NewRevisionHooks(func() storer.Revision { return storer.Revision{} }, func(storer.Revision) {}).WithConfiguration(
				func() descriptor.Revision { return own },
				func(peer registrar.Instance, version descriptor.Revision) {
					c.Check(peer.ID(), qt.Equals, sender.instance.ID())
					reported = append(reported, version)
				})
			self := registrar.NewInstance("self", "", "", registrar.NewLocality(test.region, "z"), false)
			i := &Gossiper{self: self, started: time.Now(), hash: 7, hooks: hooks, socket: socket, log: zerolog.Nop()}
			v := &view{isCoordinator: test.isCoordinator, peers: map[uint32]peer{}}
			if !test.unlisted {
				v.peers[sender.hash] = sender
			}
			i.view.Store(v)
			i.apply(header{Sender: sender.hash, Configuration: int64(test.version)}, nil)
			c.Assert(len(reported) == 1 && reported[0] == test.version, qt.Equals, test.later)
			c.Assert(receivesVersion(c, remote, own), qt.Equals, test.answered)
		})
	}
}

func listenUDP(c *qt.C) *net.UDPConn {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { socket.Close() })
	return socket
}

// receivesVersion reports whether a datagram that names the version arrives.
func receivesVersion(c *qt.C, socket *net.UDPConn, version descriptor.Revision) bool {
	const timeout = 100 * time.Millisecond
	c.Assert(socket.SetReadDeadline(time.Now().Add(timeout)), qt.IsNil)
	buffer := make([]byte, maxDatagramSize)
	n, _, err := socket.ReadFromUDP(buffer)
	if err != nil {
		return false
	}
	from, _, err := decode(buffer[:n])
	c.Assert(err, qt.IsNil)
	return from.configuration() == version
}
