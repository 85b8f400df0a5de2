package relayer

import (
	"context"
	"runtime"
	"testing"

	"burdocklane/emulator"
	"burdocklane/holder"
	"burdocklane/storer"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

// Guards against a response without end that is read until the memory is full, or of
// which only the beginning is used.
func TestResponsesOfARelayWithoutEnd(t *testing.T) {
	const (
		maxBytes       = 1 << 20
		allocatedLimit = 6 * maxBytes // Reading a body doubles its buffer repeatedly.
	)
	tests := []struct{ name, start, part string }{
		{"value", `{"incarnation":"i","revision":8,"pairs":[{"key":"a","revision":8,"value":"`, "AAAA"},
		{"spaces after a whole message", `{"incarnation":"i","revision":8,"pairs":[]}`, "    "},
		{"keys", `{"incarnation":"i","revision":8,"pairs":[`, `{"key":"a","value":"MQ==","revision":8},`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := emulator.NewEndless(test.start, test.part)
			defer server.Close()
			client := newClient()
			defer client.CloseIdleConnections()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			s := &source{base: server.URL, client: client, knownRevision: func() storer.Revision { return storer.Revision{} }, maxBytes: maxBytes}
			_, err := s.readRange(context.Background(), "")
			runtime.ReadMemStats(&after)
			var tooLong *holder.TooLongError
			c.Assert(errors.As(err, &tooLong), qt.IsTrue, qt.Commentf("%v", err))
			allocated := after.TotalAlloc - before.TotalAlloc
			c.Assert(allocated < allocatedLimit, qt.IsTrue, qt.Commentf("%d bytes", allocated))
		})
	}
}
