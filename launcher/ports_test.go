package launcher_test

import (
	"net"
	"strconv"
	"testing"

	"burdocklane/launcher"

	qt "github.com/frankban/quicktest"
)

const host = "127.0.0.1"

// Guards against a port that is given to a process which uses it for both protocols while
// another process uses it for one of them.
func TestIsFree(t *testing.T) {
	tests := []struct {
		name string
		use  func(c *qt.C, address string)
		free bool
	}{
		{"in use by nobody", func(*qt.C, string) {}, true},
		{"in use by TCP", func(c *qt.C, address string) {
			socket, err := net.Listen("tcp", address)
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { socket.Close() })
		}, false},
		{"in use by UDP", func(c *qt.C, address string) {
			socket, err := net.ListenPacket("udp", address)
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { socket.Close() })
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			addresses, err := launcher.FreePorts(host, 1)
			c.Assert(err, qt.IsNil)
			address, err := net.ResolveTCPAddr("tcp", addresses[0])
			c.Assert(err, qt.IsNil)
			test.use(c, addresses[0])
			c.Assert(launcher.IsFree(host, address.Port), qt.Equals, test.free)
		})
	}
}

// Guards against two instances that are given the same port: one of them does not start, and
// whatever waits for it waits in vain.
func TestPortsAreGivenOutOnce(t *testing.T) {
	c := qt.New(t)
	const count = 200 // Of 20,000: two of them drawn at random are the same in most runs.
	given := map[string]bool{}
	for range count {
		addresses, err := launcher.FreePorts(host, 1)
		c.Assert(err, qt.IsNil)
		c.Assert(given[addresses[0]], qt.IsFalse)
		given[addresses[0]] = true
		first, err := launcher.FreePair(host)
		c.Assert(err, qt.IsNil)
		for _, port := range [...]int{first, first + 1} {
			address := net.JoinHostPort(host, strconv.Itoa(port))
			c.Assert(given[address], qt.IsFalse)
			given[address] = true
		}
	}
}

// Guards against a port that a second process gets while the first has not bound it yet.
func TestReserve(t *testing.T) {
	c := qt.New(t)
	first, err := launcher.FreePair(host)
	c.Assert(err, qt.IsNil)
	c.Assert(launcher.Reserve(host, first+1, 1), qt.IsFalse)
	c.Assert(launcher.Reserve(host, first-1, 2), qt.IsFalse)
	c.Assert(launcher.IsFree(host, first), qt.IsTrue)
}
