package applier_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"burdocklane/applier"
	"burdocklane/assembler"
	"burdocklane/descriptor"
	"burdocklane/emulator"
	"burdocklane/storer"

	qt "github.com/frankban/quicktest"
)

var keys = assembler.NewKeys("/t/")

func deployment(name string) descriptor.Deployment {
	class := descriptor.NewClass("c", descriptor.WithPaths("/"+name), descriptor.WithCallSemantics(descriptor.Idempotent{}),
		descriptor.WithTarget(descriptor.NewTarget(time.Second, 0.9)), descriptor.WithDeadline(2*time.Second))
	service := descriptor.NewService(descriptor.ServiceName(name), []descriptor.Class{class}, nil)
	return descriptor.NewDeployment("d", descriptor.NewMeasurementBudget(1, 0.1), []descriptor.Service{service})
}

// startPlatform starts an emulated platform and returns it with a store client
// that uses the real protocol.
func startPlatform(c *qt.C) (*emulator.Platform, *storer.Gateway) {
	p := emulator.NewPlatform()
	server := httptest.NewServer(p.Handler())
	c.Cleanup(server.Close)
	store := storer.NewGateway(server.URL, storer.WithCallTimeout(time.Second))
	c.Cleanup(store.Close)
	return p, store
}

func TestApplyResults(t *testing.T) {
	tests := []struct {
		name    string
		faults  emulator.Faults
		expect  descriptor.Revision
		want    string
		applied bool
	}{
		{name: "accepted", want: "accepted", applied: true},
		{name: "the response is lost after the write was applied", faults: emulator.NewFaults(emulator.WithDroppedResponses()), want: "accepted", applied: true},
		{name: "the store is not at the expected revision", expect: 999, want: "refused"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p, store := startPlatform(c)
			_, err := applier.New(store, keys).Apply(context.Background(), deployment("before"))
			c.Assert(err, qt.IsNil)
			p.SetFaults(test.faults)
			a := applier.New(store, keys, applier.WithExpectedRevision(test.expect), applier.WithConfirmTimeout(3*time.Second))
			result, err := a.Apply(context.Background(), deployment("after"))
			c.Assert(err, qt.IsNil)
			c.Assert(resultText(result), qt.Equals, test.want)
			p.SetFaults(emulator.NewFaults())
			current, err := applier.Current(context.Background(), store, keys)
			c.Assert(err, qt.IsNil)
			c.Assert(current.Services()[0].Name() == "after", qt.Equals, test.applied)
		})
	}
}

func resultText(r applier.Result) string {
	switch r.(type) {
	case applier.Accepted:
		return "accepted"
	case applier.Refused:
		return "refused"
	case applier.Unknown:
		return "unknown"
	}
	return ""
}

func TestOutageAfterWriteIsUnknownAndConfirmedLater(t *testing.T) {
	c := qt.New(t)
	p, store := startPlatform(c)
	p.SetFaults(emulator.NewFaults(emulator.WithOutageAfterWrite()))
	a := applier.New(store, keys, applier.WithConfirmTimeout(500*time.Millisecond))
	result, err := a.Apply(context.Background(), deployment("x"))
	c.Assert(err, qt.IsNil)
	unknown, ok := result.(applier.Unknown)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%T", result))
	p.SetFaults(emulator.NewFaults())
	accepted, found, err := a.FindChange(context.Background(), unknown.ChangeID())
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.IsTrue)
	c.Assert(accepted.Revision() > 0, qt.IsTrue)
}

// When several operators apply changes at the same time and responses are lost,
// each accepted change must have a revision of its own, and the history must
// contain exactly the accepted changes.
func TestConcurrentOperatorsAcceptedChangesMatchHistory(t *testing.T) {
	c := qt.New(t)
	p, store := startPlatform(c)
	p.SetFaults(emulator.NewFaults(emulator.WithDroppedResponses()))
	const operators = 8
	revisions := make(chan descriptor.Revision, operators)
	var operatorsDone sync.WaitGroup
	for n := range operators {
		operatorsDone.Go(func() {
			name := string(rune('a' + n))
			result, err := applier.New(store, keys, applier.WithAuthor(name)).Apply(context.Background(), deployment(name))
			c.Check(err, qt.IsNil)
			if accepted, ok := result.(applier.Accepted); ok {
				revisions <- accepted.Revision()
			}
		})
	}
	operatorsDone.Wait()
	close(revisions)
	seen := map[descriptor.Revision]bool{}
	for r := range revisions {
		c.Assert(seen[r], qt.IsFalse)
		seen[r] = true
	}
	c.Assert(len(seen) > 0, qt.IsTrue)
	history, err := applier.History(context.Background(), store, keys)
	c.Assert(err, qt.IsNil)
	for _, record := range history {
		c.Assert(seen[record.Revision()], qt.IsTrue, qt.Commentf("%s's change is in the history but was not reported as accepted", record.Change().Author()))
	}
	c.Assert(history, qt.HasLen, len(seen))
}
