package publisher_test

import (
	"testing"

	"burdocklane/descriptor"
	"burdocklane/publisher"
	"burdocklane/registrar"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"pgregory.net/rapid"
)

// Guards against an older configuration that arrives late and replaces a newer one:
// the active revision only grows, in whatever order revisions arrive.
func TestRevisionsNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := publisher.New(registrar.NewInstance("a", "", "", registrar.Locality{}, false))
		highest := descriptor.Revision(0)
		for _, r := range rapid.SliceOf(rapid.Int64Range(1, 20)).Draw(t, "revisions") {
			got := descriptor.Revision(r)
			d := descriptor.NewDeployment("d", descriptor.MeasurementBudget{}, nil).WithRevision(got, descriptor.Change{})
			err := p.PublishDeployment(d, "test")
			var older *publisher.RevisionError
			if errors.As(err, &older) != (got <= highest) {
				t.Fatalf("revision %d after %d: %v", got, highest, err)
			}
			highest = max(highest, got)
			if have := p.Current().Deployment().Revision(); have != highest {
				t.Fatalf("active revision is %d, not %d", have, highest)
			}
		}
	})
}

func TestOlderListIsIgnored(t *testing.T) {
	c := qt.New(t)
	p := publisher.New(registrar.NewInstance("a", "", "", registrar.Locality{}, false))
	p.PublishList(registrar.NewList(5, nil, nil))
	p.PublishList(registrar.NewList(4, nil, nil))
	c.Assert(p.Current().List().Version(), qt.Equals, int64(5))
}
