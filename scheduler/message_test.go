package scheduler

import (
	"testing"

	"burdocklane/decoder"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

func TestMessagesRoundTrip(t *testing.T) {
	tests := []struct {
		name    string
		message any
	}{
		{"request", &assignmentRequest{Kind: kindRequest, Flags: flagSpare | flagCharged, Priority: 9, Call: callID{Requester: 1, Number: 2}, Service: 3, Tenant: 10, TargetMs: 4, TargetLeftMs: 5, DeadlineLeftMs: 6, Avoid: [maxAvoided]uint32{7, 8}}},
		{"reply", &assignmentReply{Kind: kindReply, Status: statusAssigned, Call: callID{Requester: 1, Number: 2}, Worker: 3, Load: loadReport{Running: 1, Slots: 3, SlowdownPercent: 700}, RetryAfterMs: 9}},
		{"completion", &completion{Kind: kindCompletion, Finding: 2, Call: callID{Requester: 1, Number: 2}, Worker: 3}},
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
