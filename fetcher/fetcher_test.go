package fetcher_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdocklane/descriptor"
	"burdocklane/fetcher"
	"burdocklane/registrar"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

const (
	// grace is how long a later version may take to arrive without a fetch.
	grace = 20 * time.Millisecond
	// quietTime is how long a test waits for fetches that must not be made.
	quietTime = 10 * grace
	// awaitTime is how long a test waits for what has to happen.
	awaitTime = 10 * time.Second
)

// peers are the instances that have configurations, by address. An instance whose
// version is negative has an invalid one, and one that is not here does not respond.
type peers map[string]descriptor.Revision

// fleet is the environment of a Fetcher: the version in force and the fetches made.
type fleet struct {
	inForce  atomic.Int64
	inFlight atomic.Int64
	parallel atomic.Bool // Whether two fetches were in progress at once.
	mutex    sync.Mutex  // Guards the fields below.
	fetched  []string
	sources  []string
}

func (f *fleet) hooks(p peers) fetcher.Hooks {
	return fetcher.NewHooks(
		func() descriptor.Revision { return descriptor.Revision(f.inForce.Load()) },
		func(_ context.Context, address string) ([]byte, error) { return f.fetch(p, address) },
		f.apply)
}

func (f *fleet) fetch(p peers, address string) ([]byte, error) {
	if f.inFlight.Add(1) > 1 {
		f.parallel.Store(true)
	}
	defer f.inFlight.Add(-1)
	f.mutex.Lock()
	f.fetched = append(f.fetched, address)
	f.mutex.Unlock()
	version, ok := p[address]
	if !ok {
		return nil, errors.New("connection refused")
	}
	return bytes.Repeat([]byte("x"), max(int(version), 0)), nil
}

// apply reads a value's version from its length.
func (f *fleet) apply(value []byte, source string) (descriptor.Revision, error) {
	version := int64(len(value))
	if version == 0 {
		return 0, errors.New("invalid")
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if version > f.inForce.Load() {
		f.inForce.Store(version)
		f.sources = append(f.sources, source)
	}
	return descriptor.Revision(version), nil
}

func (f *fleet) fetches() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]string{}, f.fetched...)
}

func instance(id string) registrar.Instance {
	return registrar.NewInstance(registrar.InstanceID(id), id+":1", "", registrar.NewLocality("r", "z"), false)
}

// claim is a datagram that names a version.
type claim struct {
	peer    string
	version descriptor.Revision
}

// Guards against an older configuration that stays in force while peers have a later
// one, and against fetches of what this instance has already.
func TestFetches(t *testing.T) {
	tests := []struct {
		name    string
		inForce int64
		peers   peers
		claims  []claim
		fetched []string
		want    int64
	}{
		{"a later version", 1, peers{"a:1": 2}, []claim{{"a", 2}}, []string{"a:1"}, 2},
		{"none in force", 0, peers{"a:1": 2}, []claim{{"a", 2}}, []string{"a:1"}, 2},
		{"the same version", 2, peers{"a:1": 2}, []claim{{"a", 2}}, []string{}, 2},
		{"an older version", 3, peers{"a:1": 2}, []claim{{"a", 2}}, []string{}, 3},
		{"no version", 1, peers{"a:1": 2}, []claim{{"a", 0}}, []string{}, 1},
		{"a negative version", 0, peers{"a:1": 2}, []claim{{"a", -1}}, []string{}, 0},
		{"repeated by one peer", 1, peers{"a:1": 2}, []claim{{"a", 2}, {"a", 2}}, []string{"a:1"}, 2},
		{"repeated by peers", 1, peers{"a:1": 2, "b:1": 2}, []claim{{"a", 2}, {"b", 2}}, []string{"a:1"}, 2},
		{"another peer still later", 1, peers{"a:1": 2, "b:1": 3}, []claim{{"a", 2}, {"b", 3}}, []string{"a:1", "b:1"}, 3},
		{"a peer that does not respond", 1, peers{"b:1": 2}, []claim{{"a", 2}, {"b", 2}}, []string{"a:1", "b:1"}, 2},
		{"a peer with an invalid value", 1, peers{"a:1": -1, "b:1": 2}, []claim{{"a", 2}, {"b", 2}}, []string{"a:1", "b:1"}, 2},
		{"an invalid value alone", 1, peers{"a:1": -1}, []claim{{"a", 2}}, []string{"a:1"}, 1},
		{"an absurd version of a peer that has an older one", 2, peers{"a:1": 1}, []claim{{"a", 1 << 62}}, []string{"a:1"}, 2},
		{"an absurd version before a true one", 1, peers{"a:1": 1, "b:1": 2}, []claim{{"a", 1 << 62}, {"b", 2}}, []string{"a:1", "b:1"}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			c := qt.New(t)
			var f fleet
			f.inForce.Store(test.inForce)
			tested := fetcher.New(f.hooks(test.peers), grace, zerolog.Nop())
			for _, claim := range test.claims {
				tested.Observe(instance(claim.peer), claim.version)
			}
			for deadline := time.Now().Add(awaitTime); len(f.fetches()) < len(test.fetched) && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(2 * grace) // For fetches that must not be made.
			tested.Close()
			c.Assert(f.fetches(), qt.DeepEquals, test.fetched)
			c.Assert(f.inForce.Load(), qt.Equals, test.want)
			for _, source := range f.sources {
				c.Assert(strings.HasPrefix(source, "peer "), qt.IsTrue, qt.Commentf("%s", source))
			}
		})
	}
}

// Guards against a fetch of each change by each instance, which the store or a relay
// delivers a little later than the datagrams of peers.
func TestNoFetchWithinTheGrace(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	var f fleet
	f.inForce.Store(1)
	tested := fetcher.New(f.hooks(peers{"a:1": 2}), quietTime, zerolog.Nop())
	tested.Observe(instance("a"), 2)
	f.inForce.Store(2) // By the watch.
	time.Sleep(quietTime + grace)
	tested.Close()
	c.Assert(f.fetches(), qt.HasLen, 0)
}

// Guards against fetches without bound because of peers that name versions which they
// do not have.
func TestFalseVersionsCostFewFetches(t *testing.T) {
	const (
		playTime   = 1500 * time.Millisecond
		maxFetches = 5 // The pauses are 0.1 to 0.2 s, 0.2 to 0.4 s, 0.4 to 0.8 s, 0.8 to 1.6 s.
	)
	tests := []struct {
		name  string
		peers peers
		named func(n int) descriptor.Revision
	}{
		{"always the same", peers{"a:1": 1}, func(int) descriptor.Revision { return 1 << 62 }},
		{"each time another", peers{"a:1": 1}, func(n int) descriptor.Revision { return descriptor.Revision(1<<62 - n) }},
		{"the value is invalid", peers{"a:1": -1}, func(int) descriptor.Revision { return 2 }},
		{"no response", peers{}, func(int) descriptor.Revision { return 2 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var f fleet
			f.inForce.Store(1)
			tested := fetcher.New(f.hooks(test.peers), 0, zerolog.Nop())
			defer tested.Close()
			n := 0
			for begun := time.Now(); time.Since(begun) < playTime; n++ {
				tested.Observe(instance("a"), test.named(n))
				time.Sleep(time.Millisecond)
			}
			fetches := len(f.fetches())
			c.Assert(fetches >= 2 && fetches <= maxFetches, qt.IsTrue, qt.Commentf("%d fetches for %d datagrams", fetches, n))
			c.Assert(f.parallel.Load(), qt.IsFalse)
			c.Assert(f.inForce.Load(), qt.Equals, int64(1))
		})
	}
}

// Guards against a Close that waits for a peer which does not respond, and against a
// fetch that goes on after it.
func TestCloseEndsAFetch(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	begun := make(chan struct{})
	hooks := fetcher.NewHooks(
		func() descriptor.Revision { return 1 },
		func(ctx context.Context, _ string) ([]byte, error) {
			close(begun)
			<-ctx.Done()
			return nil, ctx.Err()
		},
		func([]byte, string) (descriptor.Revision, error) { return 0, errors.New("must not be called") })
	var log bytes.Buffer
	tested := fetcher.New(hooks, 0, zerolog.New(&log))
	tested.Observe(instance("a"), 2)
	<-begun
	tested.Close()
	tested.Observe(instance("a"), 2)
	c.Assert(log.String(), qt.Equals, "")
}
