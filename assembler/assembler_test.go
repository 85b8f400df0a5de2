package assembler_test

import (
	"testing"
	"time"

	"burdocklane/assembler"
	"burdocklane/descriptor"
	"burdocklane/parser"
	"burdocklane/storer"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"pgregory.net/rapid"
)

var keys = assembler.NewKeys("/t/")

func deployment(latency time.Duration, names ...string) descriptor.Deployment {
	var services []descriptor.Service
	for _, name := range names {
		class := descriptor.NewClass("c", descriptor.WithPaths("/"+name),
			descriptor.WithTarget(descriptor.NewTarget(latency, 0.9)), descriptor.WithDeadline(time.Hour))
		services = append(services, descriptor.NewService(descriptor.ServiceName(name), []descriptor.Class{class}, nil))
	}
	return descriptor.NewDeployment("d", descriptor.NewMeasuring(1, 0.1), services)
}

func apply(t rapid.TB, store *storer.Memory, d descriptor.Deployment) descriptor.Revision {
	plan, err := assembler.NewPlan(keys, store.Range(keys.Config()), d, descriptor.NewChange("id", "me", time.Unix(0, 0)))
	done := store.Commit(plan.Txn())
	if err != nil || !done.Succeeded() {
		t.Fatalf("apply: %v", err)
	}
	return descriptor.Revision(done.Revision())
}

func encoded(t rapid.TB, d descriptor.Deployment) string {
	data, err := parser.EncodeDeployment(d)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Two instances that hand each other what is newer, in any order and with
// gaps, and that are told of the past now and then, come to the same
// configuration; neither goes back, nor holds a mixture that nobody applied.
func TestDeltasBetweenPeersConvergeAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := storer.NewMemory()
		nodes := []*assembler.Assembler{assembler.New(keys), assembler.New(keys)}
		have := make([]descriptor.Revision, len(nodes))
		applied := map[descriptor.Revision]string{}
		var past [][]storer.Pair
		learn := func(at int, pairs []storer.Pair) {
			d, err := nodes[at].Merge(pairs)
			var incomplete *assembler.IncompleteError
			if errors.As(err, &incomplete) {
				return
			}
			if err != nil || d.Revision() < have[at] {
				t.Fatalf("node %d went from %d to %d: %v", at, have[at], d.Revision(), err)
			}
			have[at] = d.Revision()
			if got := encoded(t, d); got != applied[have[at]] {
				t.Fatalf("node %d holds at revision %d what was never applied:\n%s", at, have[at], got)
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			past = append(past, store.Range(keys.Config()).Pairs())
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				all := []string{"a", "b", "c", "d"}
				latency := time.Duration(rapid.IntRange(1, 3).Draw(t, "latency")) * time.Second
				d := deployment(latency, all[:rapid.IntRange(1, 4).Draw(t, "services")]...)
				applied[apply(t, store, d)] = encoded(t, d)
			case 1:
				learn(rapid.IntRange(0, 1).Draw(t, "node"), store.Range(keys.Config()).Pairs())
			case 2: // A part of what the store holds.
				pairs := store.Range(keys.Config()).Pairs()
				if len(pairs) > 0 {
					learn(rapid.IntRange(0, 1).Draw(t, "node"), pairs[:rapid.IntRange(0, len(pairs)).Draw(t, "part")])
				}
			case 3:
				from := rapid.IntRange(0, 1).Draw(t, "from")
				learn(1-from, nodes[from].Since(have[1-from]))
			case 4: // A store that answers from the past.
				learn(rapid.IntRange(0, 1).Draw(t, "node"), rapid.SampledFrom(past).Draw(t, "past"))
			}
		}
		if len(store.Range(keys.Config()).Pairs()) == 0 {
			return
		}
		learn(0, store.Range(keys.Config()).Pairs())
		learn(1, nodes[0].Since(have[1]))
		if have[0] != have[1] || have[0] == 0 {
			t.Fatalf("revisions %d and %d in the end", have[0], have[1])
		}
	})
}

func TestRemovedServicesAreForgotten(t *testing.T) {
	c := qt.New(t)
	store := storer.NewMemory()
	a := assembler.New(keys)
	apply(t, store, deployment(time.Second, "a", "b"))
	d, err := a.Merge(store.Range(keys.Config()).Pairs())
	c.Assert(err, qt.IsNil)
	c.Assert(d.Services(), qt.HasLen, 2)
	apply(t, store, deployment(time.Second, "a"))
	d, err = a.Merge(store.Range(keys.Config()).Pairs())
	c.Assert(err, qt.IsNil)
	c.Assert(d.Services(), qt.HasLen, 1)
	c.Assert(a.Since(0), qt.HasLen, 2)
}
