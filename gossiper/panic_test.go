package gossiper

import (
	"testing"

	"burdocklane/storer"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// Guards against a datagram that cannot be read, or that causes an unexpected error, and
// ends the process or the reception of others.
func TestOddDatagramsDoNotEndReception(t *testing.T) {
	good, err := encode(1, storer.NewRevision(1, 9), 0, nil)
	qt.Assert(t, err, qt.IsNil)
	odd, err := encode(1, storer.NewRevision(1, 5), 0, nil)
	qt.Assert(t, err, qt.IsNil)
	tests := []struct {
		name  string
		first []byte
	}{
		{"empty", nil},
		{"one byte", []byte{1}},
		{"a part of a header", good[:len(good)/2]},
		{"another version", append([]byte{99}, good[1:]...)},
		{"more records than there are", append([]byte{good[0], 200}, good[2:]...)},
		{"an unexpected error", odd},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			observed := make(chan storer.Revision, 1)
			hooks := NewRevisionHooks(func() storer.Revision { return storer.Revision{} }, func(r storer.Revision) {
				if r.Number() == 5 {
					panic("odd revision")
				}
				observed <- r
			})
			i := &Gossiper{socket: listenUDP(c), hooks: hooks, log: zerolog.Nop()}
			i.view.Store(&view{})
			i.goroutines.Go(i.receive)
			sender := listenUDP(c)
			for _, data := range [][]byte{test.first, good} {
				_, err := sender.WriteTo(data, i.socket.LocalAddr())
				c.Assert(err, qt.IsNil)
			}
			c.Assert((<-observed).Number(), qt.Equals, int64(9))
			i.socket.Close()
			i.goroutines.Wait()
		})
	}
}
