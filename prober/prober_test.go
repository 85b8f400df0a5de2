package prober_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"burdocklane/budgeter"
	"burdocklane/limiter"
	"burdocklane/prober"
	"burdocklane/registrar"

	qt "github.com/frankban/quicktest"
)

// Guards against a report without end that is read until the probe times out.
func TestReportsWithoutEnd(t *testing.T) {
	const maxReceived = 1 << 20
	tests := []struct{ name, start string }{
		{"report", "HTTP/1.1 200 OK\r\n\r\n{\"in-flight\":1,\"other\":\""},
		{"header field", "HTTP/1.1 200 OK\r\nX-Field: "},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			socket, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer socket.Close()
			ended := make(chan struct{}, 64)
			go func() {
				for {
					conn, err := socket.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
							return
						}
						io.WriteString(conn, test.start)
						for block := strings.Repeat("x", 32<<10); ; {
							if _, err := io.WriteString(conn, block); err != nil {
								ended <- struct{}{}
								return
							}
						}
					}()
				}
			}()
			locality := registrar.NewLocality("r", "z")
			pool := limiter.New("s", registrar.NewInstance("i", "", "", locality, false))
			pool.Update([]registrar.Worker{registrar.NewWorker("w", "s", socket.Addr().String(), locality, 6, false)}, nil)
			pools := make(chan *limiter.Pool)
			var received atomic.Int64
			p := prober.New(pools, budgeter.NewByteBudget(1<<20), "", &received)
			pools <- pool
			<-ended // The probe has closed its connection.
			p.Close()
			c.Assert(received.Load() < maxReceived, qt.IsTrue, qt.Commentf("%d bytes", received.Load()))
		})
	}
}
