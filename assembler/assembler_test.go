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
	return descriptor.NewDeployment("d", descriptor.NewMeasurementBudget(1, 0.1), services)
}

// tenants returns a number of tenants with a key each.
func tenants(count int) []descriptor.Tenant {
	var all []descriptor.Tenant
	for n := range count {
		name := string(rune('a' + n))
		all = append(all, descriptor.NewTenant(descriptor.TenantName(name), descriptor.WithKeys(descriptor.DigestKey("key-"+name))))
	}
	return all
}

func applyDeployment(t rapid.TB, store *storer.Memory, d descriptor.Deployment) descriptor.Revision {
	plan, err := assembler.NewPlan(keys, store.Range(keys.ConfigPrefix()), d, descriptor.NewChange("id", "me", time.Unix(0, 0)))
	committed := store.Commit(plan.Txn())
	if err != nil || !committed.Succeeded() {
		t.Fatalf("apply: %v", err)
	}
	return assembler.ConfigurationRevision(committed.Revision())
}

func encode(t rapid.TB, d descriptor.Deployment) string {
	data, err := parser.EncodeDeployment(d)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Two instances that exchange newer pairs, in any order and with gaps, and that
// sometimes read stale state from the store, must converge on the same
// configuration. Neither may go back to an older revision or assemble a mixture
// that was never applied.
func TestPeersConvergeAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := storer.NewMemory()
		nodes := []*assembler.Assembler{assembler.New(keys), assembler.New(keys)}
		revisions := make([]descriptor.Revision, len(nodes))
		applied := map[descriptor.Revision]string{}
		var earlierReads [][]storer.Pair
		merge := func(node int, pairs []storer.Pair) {
			d, err := nodes[node].Merge(pairs)
			var incomplete *assembler.IncompleteError
			if errors.As(err, &incomplete) {
				return
			}
			if err != nil || d.Revision() < revisions[node] {
				t.Fatalf("node %d went from %d to %d: %v", node, revisions[node], d.Revision(), err)
			}
			revisions[node] = d.Revision()
			if got := encode(t, d); got != applied[revisions[node]] {
				t.Fatalf("node %d has a configuration at revision %d that was never applied:\n%s", node, revisions[node], got)
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			earlierReads = append(earlierReads, store.Range(keys.ConfigPrefix()).Pairs())
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				all := []string{"a", "b", "c", "d"}
				latency := time.Duration(rapid.IntRange(1, 3).Draw(t, "latency")) * time.Second
				d := deployment(latency, all[:rapid.IntRange(1, 4).Draw(t, "services")]...)
				d = d.WithTenants(tenants(rapid.IntRange(0, 2).Draw(t, "tenants")))
				applied[applyDeployment(t, store, d)] = encode(t, d)
			case 1:
				merge(rapid.IntRange(0, 1).Draw(t, "node"), store.Range(keys.ConfigPrefix()).Pairs())
			case 2: // A partial read from the store.
				pairs := store.Range(keys.ConfigPrefix()).Pairs()
				if len(pairs) > 0 {
					merge(rapid.IntRange(0, 1).Draw(t, "node"), pairs[:rapid.IntRange(0, len(pairs)).Draw(t, "part")])
				}
			case 3:
				from := rapid.IntRange(0, 1).Draw(t, "from")
				merge(1-from, nodes[from].PairsSince(revisions[1-from]))
			case 4: // A stale read from the store.
				merge(rapid.IntRange(0, 1).Draw(t, "node"), rapid.SampledFrom(earlierReads).Draw(t, "earlier read"))
			}
		}
		if len(store.Range(keys.ConfigPrefix()).Pairs()) == 0 {
			return
		}
		merge(0, store.Range(keys.ConfigPrefix()).Pairs())
		merge(1, nodes[0].PairsSince(revisions[1]))
		if revisions[0] != revisions[1] || revisions[0] == 0 {
			t.Fatalf("final revisions are %d and %d", revisions[0], revisions[1])
		}
	})
}

// Guards against a configuration that is active without its tenants, which would open all
// classes, while their key has not been read yet, or is of another version.
func TestTenantsAreNeverLeftOut(t *testing.T) {
	c := qt.New(t)
	store := storer.NewMemory()
	a := assembler.New(keys)
	applyDeployment(t, store, deployment(time.Second, "a").WithTenants(tenants(1)))
	older := store.Range(keys.ConfigPrefix()).Pairs()
	applyDeployment(t, store, deployment(time.Second, "a").WithTenants(tenants(2)))
	var partial []storer.Pair
	for _, pair := range store.Range(keys.ConfigPrefix()).Pairs() {
		if pair.Key() != keys.TenantsKey() {
			partial = append(partial, pair)
		}
	}
	var incomplete *assembler.IncompleteError
	_, err := a.Merge(partial)
	c.Assert(errors.As(err, &incomplete), qt.IsTrue)
	_, err = a.Merge(older)
	c.Assert(errors.As(err, &incomplete), qt.IsTrue)
	d, err := a.Merge(store.Range(keys.ConfigPrefix()).Pairs())
	c.Assert(err, qt.IsNil)
	c.Assert(d.Tenants(), qt.HasLen, 2)
	applyDeployment(t, store, deployment(time.Second, "a"))
	c.Assert(store.Range(keys.ConfigPrefix()).Pairs(), qt.HasLen, 2)
	d, err = a.Merge(store.Range(keys.ConfigPrefix()).Pairs())
	c.Assert(err, qt.IsNil)
	c.Assert(d.Tenants(), qt.HasLen, 0)
	c.Assert(a.PairsSince(0), qt.HasLen, 2)
}

func TestRemovedServicesAreDropped(t *testing.T) {
	c := qt.New(t)
	store := storer.NewMemory()
	a := assembler.New(keys)
	applyDeployment(t, store, deployment(time.Second, "a", "b"))
	d, err := a.Merge(store.Range(keys.ConfigPrefix()).Pairs())
	c.Assert(err, qt.IsNil)
	c.Assert(d.Services(), qt.HasLen, 2)
	applyDeployment(t, store, deployment(time.Second, "a"))
	d, err = a.Merge(store.Range(keys.ConfigPrefix()).Pairs())
	c.Assert(err, qt.IsNil)
	c.Assert(d.Services(), qt.HasLen, 1)
	c.Assert(a.PairsSince(0), qt.HasLen, 2)
}
