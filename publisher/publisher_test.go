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

// read is a configuration as it was read in an era of the store.
type read struct {
	era      int64
	revision descriptor.Revision
	content  string
}

func (r read) deployment() descriptor.Deployment {
	d := descriptor.NewDeployment(r.content, descriptor.MeasurementBudget{}, nil)
	return d.WithRevision(r.revision, descriptor.Change{}).WithOrigin(descriptor.NewOrigin(r.era, []byte(r.content)))
}

// Ignored as the active one, other content at a revision that the store lost when it
// went back to a copy would never become active.
func TestRevisionThatIsGivenOutAgain(t *testing.T) {
	tests := []struct {
		name   string
		reads  []read
		active string
		err    string // Of the last one.
	}{
		{"other content in a later era", []read{{1, 8, "a"}, {2, 8, "b"}}, "b", ""},
		{"other content after the copy's", []read{{1, 8, "a"}, {2, 7, "older"}, {2, 8, "b"}}, "b", ""},
		{"other content in the same era", []read{{1, 8, "a"}, {1, 8, "b"}}, "a", "content"},
		{"other content in an older era", []read{{2, 8, "a"}, {1, 8, "b"}}, "a", "content"},
		{"the same content in the same era", []read{{1, 8, "a"}, {1, 8, "a"}}, "a", "revision"},
		{"the same content in a later era", []read{{1, 8, "a"}, {2, 8, "a"}}, "a", "revision"},
		{"other content in the era that confirmed the active one", []read{{1, 8, "a"}, {2, 8, "a"}, {2, 8, "b"}}, "a", "content"},
		{"other content in each era", []read{{1, 8, "a"}, {2, 8, "b"}, {3, 8, "a"}}, "a", ""},
		{"an older revision in a later era", []read{{1, 8, "a"}, {2, 7, "b"}}, "a", "revision"},
		{"no revision", []read{{1, 0, "a"}}, "", "revision"},
		{"a later revision in an older era", []read{{2, 8, "a"}, {1, 9, "b"}}, "b", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := publisher.New(registrar.NewInstance("a", "", "", registrar.Locality{}, false))
			var err error
			for _, r := range test.reads {
				err = p.PublishDeployment(r.deployment(), "test")
			}
			c.Assert(p.Current().Deployment().Name(), qt.Equals, test.active)
			c.Assert(errorType(err), qt.Equals, test.err, qt.Commentf("%v", err))
		})
	}
}

// errorType returns which error of the publisher an error is, or "" for none.
func errorType(err error) string {
	var revision *publisher.RevisionError
	var content *publisher.ContentError
	switch {
	case errors.As(err, &revision):
		return "revision"
	case errors.As(err, &content):
		return "content"
	case err != nil:
		return "other"
	}
	return ""
}

func TestOlderListIsIgnored(t *testing.T) {
	c := qt.New(t)
	p := publisher.New(registrar.NewInstance("a", "", "", registrar.Locality{}, false))
	p.PublishList(registrar.NewList(5, nil, nil))
	p.PublishList(registrar.NewList(4, nil, nil))
	c.Assert(p.Current().List().Version(), qt.Equals, int64(5))
}

// Guards against a tenant that a scheduler finds by the hash of another one, or by none.
func TestTenantByHash(t *testing.T) {
	c := qt.New(t)
	p := publisher.New(registrar.NewInstance("a", "", "", registrar.Locality{}, false))
	names := []descriptor.TenantName{"one", "two", "same", "same"}
	var tenants []descriptor.Tenant
	for _, name := range names {
		tenants = append(tenants, descriptor.NewTenant(name))
	}
	d := descriptor.NewDeployment("d", descriptor.MeasurementBudget{}, nil).WithRevision(1, descriptor.Change{}).WithTenants(tenants)
	c.Assert(p.PublishDeployment(d, "test"), qt.IsNil)
	for _, tenant := range p.Current().Deployment().Tenants()[:2] {
		c.Assert(p.Current().TenantByHash(tenant.Hash()).Name(), qt.Equals, tenant.Name())
	}
	c.Assert(p.Current().TenantByHash(0), qt.IsNil)
}
