package arbiter

import (
	"testing"

	"burdocklane/decoder"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

func TestMessagesComeBackAsTheyWere(t *testing.T) {
	tests := []struct {
		name    string
		message any
	}{
		{"ask", &ask{Kind: kindAsk, Spare: true, Call: call{Asker: 1, Number: 2}, Service: 3, TargetMs: 4, OnTimeMs: 5, LeftMs: 6, Avoid: [avoidMost]uint32{7, 8}}},
		{"ruling", &ruling{Kind: kindRuling, Word: wordAssigned, Call: call{Asker: 1, Number: 2}, Worker: 3, Load: load{Running: 1, Slots: 3, Percent: 700}}},
		{"done", &done{Kind: kindDone, Finding: 2, Call: call{Asker: 1, Number: 2}, Worker: 3}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			data, err := decoder.Append(nil, test.message)
			c.Assert(err, qt.IsNil)
			got, err := decode(data)
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.DeepEquals, test.message)
			_, err = decode(data[:len(data)-1])
			var bad *decoder.DatagramError
			c.Assert(errors.As(err, &bad), qt.IsTrue)
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		if message, err := decode(data); err == nil {
			_, err := decoder.Append(nil, message)
			qt.Assert(t, err, qt.IsNil)
		}
	})
}
