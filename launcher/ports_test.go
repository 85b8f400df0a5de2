package launcher_test

import (
	"net"
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
