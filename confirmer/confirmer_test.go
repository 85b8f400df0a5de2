package confirmer

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"burdocklane/descriptor"
	"burdocklane/registrar"
	"burdocklane/timekeeper"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

// fleet returns instances by turns in three availability zones.
func fleet(size int) []registrar.Instance {
	instances := make([]registrar.Instance, 0, size)
	for n := range size {
		id := fmt.Sprintf("edge-%d", n)
		locality := registrar.NewLocality("r", fmt.Sprintf("zone-%d", n%3))
		instances = append(instances, registrar.NewInstance(registrar.InstanceID(id), id, "", locality, false))
	}
	return instances
}

// answerAfter returns an Ask that answers after a delay, or with an error once its context
// is done.
func answerAfter(delay time.Duration, a Answer) Ask {
	return func(ctx context.Context, _ string, _ descriptor.Revision) Answer {
		select {
		case <-time.After(delay):
			return a
		case <-ctx.Done():
			return NewUnknown(ctx.Err())
		}
	}
}

// slowBody is a response whose only part arrives after a delay, unless its context ends.
type slowBody struct {
	ctx   context.Context
	delay time.Duration
	value string
	read  bool
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.read {
		return 0, io.EOF
	}
	b.read = true
	select {
	case <-time.After(b.delay):
		return copy(p, b.value), nil
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}

// transfer returns an Ask whose later configuration begins to arrive after a delay, and
// takes some time.
func transfer(delay, duration time.Duration, value string) Ask {
	return func(ctx context.Context, _ string, _ descriptor.Revision) Answer {
		exchange := timekeeper.New(ctx, time.Minute, time.Minute)
		defer exchange.Close()
		time.Sleep(delay)
		data, err := exchange.ReadBody(&slowBody{ctx: exchange.Context(), delay: duration, value: value}, 100)
		if err != nil {
			return NewUnknown(err)
		}
		return NewLater(data)
	}
}

// Guards against a start that takes over an older configuration although a peer has a
// later one, and against starts that wait for peers which cannot tell: after a loss of
// power of all instances nobody has anything to tell.
func TestConfirm(t *testing.T) {
	const hour = time.Hour
	soon := 10 * time.Millisecond
	failed := answerAfter(0, NewUnknown(errors.New("refused")))
	tests := []struct {
		name    string
		peers   []Ask
		applied []string
		took    time.Duration
	}{
		{"no peer is listed", nil, nil, 0},
		{"all peers refuse connections", []Ask{failed, failed, failed, failed}, nil, 0},
		{"all peers are starting", []Ask{
			answerAfter(soon, NoConfiguration{}), answerAfter(soon, NoConfiguration{}),
			answerAfter(soon, NoConfiguration{}), answerAfter(soon, NoConfiguration{}),
		}, nil, soon},
		{"no peer answers", []Ask{answerAfter(hour, nil), answerAfter(hour, nil), answerAfter(hour, nil), answerAfter(hour, nil)}, nil, timeout},
		{"the only peer answers", []Ask{answerAfter(soon, NotLater{})}, nil, soon},
		{"two answers are enough", []Ask{answerAfter(soon, NotLater{}), answerAfter(hour, nil), answerAfter(2*soon, NotLater{}), answerAfter(hour, nil)}, nil, 2 * soon},
		{"one of four is alive", []Ask{failed, failed, failed, answerAfter(soon, NewLater([]byte("r2")))}, []string{"r2"}, soon},
		{"one lags and one has a later one", []Ask{answerAfter(soon, NotLater{}), answerAfter(2*soon, NewLater([]byte("r2")))}, []string{"r2"}, 2 * soon},
		{"two have later ones", []Ask{answerAfter(soon, NewLater([]byte("r2"))), answerAfter(2*soon, NewLater([]byte("r3")))}, []string{"r2", "r3"}, 2 * soon},
		{"a long one arrives while others answer", []Ask{transfer(soon, 2*time.Second, "r2"), answerAfter(2*soon, NotLater{}), answerAfter(2*soon, NotLater{})}, []string{"r2"}, soon + 2*time.Second},
		{"a long one arrives after the timeout", []Ask{transfer(soon, 2*time.Second, "r2"), answerAfter(hour, nil)}, []string{"r2"}, soon + 2*time.Second},
		{"one panics", []Ask{func(context.Context, string, descriptor.Revision) Answer { panic("broken") }, answerAfter(soon, NotLater{})}, nil, soon},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				listed := fleet(len(test.peers) + 1)
				ask := func(ctx context.Context, address string, version descriptor.Revision) Answer {
					n := slices.IndexFunc(listed, func(i registrar.Instance) bool { return i.PeerAddress() == address })
					return test.peers[n-1](ctx, address, version)
				}
				confirmer := New(listed[0].ID(), ask, zerolog.Nop())
				defer confirmer.Close()
				var applied []string
				started := time.Now()
				confirmer.Confirm(listed, 1, func(value []byte, _ string) { applied = append(applied, string(value)) })
				c.Assert(applied, qt.DeepEquals, test.applied)
				c.Assert(time.Since(started), qt.Equals, test.took)
			})
		})
	}
}

// Guards against an instance that cannot be stopped while it asks its peers.
func TestCloseEndsAConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		confirmer := New("edge-0", transfer(0, time.Hour, "r2"), zerolog.Nop())
		time.AfterFunc(time.Second, confirmer.Close)
		started := time.Now()
		confirmer.Confirm(fleet(2), 1, func([]byte, string) { c.Error("a configuration that did not arrive was applied") })
		c.Assert(time.Since(started), qt.Equals, time.Second)
	})
}

// Guards against asking only peers of one availability zone, all of which may have lost
// the store, and against asking the instance itself or one that stops.
func TestChoose(t *testing.T) {
	all := fleet(30)
	tests := []struct {
		name   string
		listed []registrar.Instance
		peers  int
		zones  int
	}{
		{"none", nil, 0, 0},
		{"itself", all[:1], 0, 0},
		{"one that stops", []registrar.Instance{all[0], all[1].AsLeaving()}, 0, 0},
		{"fewer than are asked", all[:3], 2, 2},
		{"more than are asked", all, askedPeers, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			peers := choose(test.listed, all[0].ID())
			zones := map[string]bool{}
			for _, p := range peers {
				c.Assert(p.ID(), qt.Not(qt.Equals), all[0].ID())
				zones[p.Locality().Zone()] = true
			}
			c.Assert(peers, qt.HasLen, test.peers)
			c.Assert(zones, qt.HasLen, test.zones)
		})
	}
}
