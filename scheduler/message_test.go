package scheduler

import (
	"reflect"
	"testing"

	"burdocklane/decoder"
	"burdocklane/granter"

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
		{"token request", granter.NewRequest(1, 2, 3, granter.WithVote(granter.NewStamp(4, 5), true, true), granter.WithDemands([]granter.Demand{granter.NewDemand(6, 7, 8)}))},
		{"token reply", granter.NewReply(1, 2, granter.NewStamp(3, 4), true, []granter.Grant{granter.NewGrant(5, 6, true)})},
		{"completion", &completion{Kind: kindCompletion, Finding: 2, Call: callID{Requester: 1, Number: 2}, Worker: 3}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			data, err := encode(test.message)
			c.Assert(err, qt.IsNil)
			got, err := decode(data)
			c.Assert(err, qt.IsNil)
			c.Assert(reflect.DeepEqual(got, test.message), qt.IsTrue, qt.Commentf("got %+v", got))
			_, err = decode(data[:len(data)-1])
			var bad *decoder.DatagramError
			c.Assert(errors.As(err, &bad), qt.IsTrue)
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{1, 2, 3})
	f.Add(make([]byte, 64))
	for _, k := range []kind{kindTokenRequest, kindTokenReply} {
		f.Add(append([]byte{byte(k)}, make([]byte, 64)...))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if message, err := decode(data); err == nil {
			_, err := encode(message)
			qt.Assert(t, err, qt.IsNil)
		}
	})
}
