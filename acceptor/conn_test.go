package acceptor_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"burdocklane/acceptor"
	"burdocklane/shedder"

	qt "github.com/frankban/quicktest"
)

// accept returns both ends of a connection through an Acceptor.
func accept(c *qt.C, limits shedder.Limits) (conn *acceptor.Conn, caller net.Conn, s *shedder.Shedder) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer socket.Close()
	s = shedder.New(limits)
	caller, err = net.Dial("tcp", socket.Addr().String())
	c.Assert(err, qt.IsNil)
	accepted, err := acceptor.New(socket, s, time.Second).Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { accepted.Close(); caller.Close(); s.Close() })
	return accepted.(*acceptor.Conn), caller, s
}

// Guards against frames of HTTP/2 that count as a head which never ends, as the preface
// came in parts.
func TestPrefaceOfHTTP2ArrivesInParts(t *testing.T) {
	tests := []struct {
		name    string
		parts   []string
		isHTTP2 bool
	}{
		{"whole", []string{"PRI * HTTP/2.0\r\n\r\n"}, true},
		{"exactly", []string{"PRI * HTTP/2.0"}, true},
		{"in two parts", []string{"PRI *", " HTTP/2.0\r\n\r\n"}, true},
		{"its first letter alone", []string{"P", "RI * HTTP/2.0\r\n"}, true},
		{"another method", []string{"PRI", "NT * HTTP/2.0\r\n"}, false},
		{"another version", []string{"PRI * HTTP/1.1\r\n"}, false},
		{"not at the beginning", []string{"GET ", "PRI * HTTP/2.0"}, false},
		{"a part of it", []string{"PRI *"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			conn, caller, s := accept(c, shedder.NewLimits(0, 0, 0))
			for _, part := range test.parts {
				_, err := io.WriteString(caller, part)
				c.Assert(err, qt.IsNil)
				_, err = io.ReadFull(conn, make([]byte, len(part)))
				c.Assert(err, qt.IsNil)
			}
			c.Assert(conn.IsHTTP2(), qt.Equals, test.isHTTP2)
			c.Assert(s.Held() == shedder.ConnectionBytes+shedder.HTTP2Bytes, qt.Equals, test.isHTTP2)
		})
	}
}

// readAheadTime is time enough for the read in most runs: the race detector has to see it
// first.
const readAheadTime = 50 * time.Millisecond

// Guards against a race of what net/http reads ahead with the handler of a request that
// came with an earlier one, whose head is complete without a read. It fails with the race
// detector only.
func TestReadAheadWhileARequestBegins(t *testing.T) {
	c := qt.New(t)
	conn, caller, _ := accept(c, shedder.NewLimits(1<<20, 0, 0))
	r, err := http.NewRequest(http.MethodGet, "/", http.NoBody)
	c.Assert(err, qt.IsNil)
	server := &http.Server{}
	acceptor.Install(server)
	r = r.WithContext(server.ConnContext(r.Context(), conn))
	_, err = io.WriteString(caller, "G")
	c.Assert(err, qt.IsNil)
	var ahead sync.WaitGroup
	ahead.Go(func() { conn.Read(make([]byte, 1)) }) //nolint:errcheck // Only the race matters.
	time.Sleep(readAheadTime)                       // Anything that waits for the read would order the two.
	q, ok := acceptor.BeginRequest(nil, r)
	ahead.Wait()
	c.Assert(ok, qt.IsTrue)
	q.End()
}

// Guards against a connection whose caller is reset before it has read the answer, as it
// was still sending: net/http ends its own side first.
func TestWritingEndsBeforeTheConnection(t *testing.T) {
	c := qt.New(t)
	conn, caller, _ := accept(c, shedder.NewLimits(0, 0, 0))
	half, ok := net.Conn(conn).(interface{ CloseWrite() error })
	c.Assert(ok, qt.IsTrue)
	c.Assert(half.CloseWrite(), qt.IsNil)
	c.Assert(caller.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	_, err := caller.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.EOF)
	_, err = io.WriteString(caller, "rest")
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(conn, make([]byte, len("rest")))
	c.Assert(err, qt.IsNil)
}

// Guards against bodies that a crowd sends on streams which nobody reads, and that are not
// counted.
func TestStreamsHoldTheirWindows(t *testing.T) {
	const room = 1 << 20
	tests := []struct {
		name   string
		length int64 // -1 stands for an unknown one.
		want   int64
	}{
		{"no body", 0, 0},
		{"a short body", 1000, 1000},
		{"a long body", 10 << 20, shedder.WindowBytes},
		{"a body of unknown length", -1, shedder.WindowBytes},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			conn, _, s := accept(c, shedder.NewLimits(room, 0, 0))
			r, err := http.NewRequest(http.MethodPost, "/", http.NoBody)
			c.Assert(err, qt.IsNil)
			server := &http.Server{}
			acceptor.Install(server)
			r = r.WithContext(server.ConnContext(r.Context(), conn))
			r.ProtoMajor, r.ContentLength = 2, test.length
			before := s.Held()
			q, ok := acceptor.BeginRequest(httptest.NewRecorder(), r)
			c.Assert(ok, qt.IsTrue)
			c.Assert(s.Held()-before, qt.Equals, shedder.ConnectionBytes+test.want)
			q.End()
			c.Assert(s.Held(), qt.Equals, before)
		})
	}
}
