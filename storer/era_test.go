package storer_test

import (
	"context"
	"testing"

	"burdocklane/storer"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

// A batch of another era says nothing about what was lost between the eras: a watch
// that went on would keep keys that the store no longer has.
func TestBatchOfAnotherEraEndsTheWatch(t *testing.T) {
	tests := []struct {
		name    string
		batches []storer.Revision // The revisions after each batch.
		want    int               // The batches that are received.
	}{
		{"one era", []storer.Revision{storer.NewRevision(1, 8), storer.NewRevision(1, 9)}, 2},
		{"a later era", []storer.Revision{storer.NewRevision(1, 8), storer.NewRevision(2, 9)}, 1},
		{"an older era", []storer.Revision{storer.NewRevision(0, 8)}, 0},
	}
	errEnd := errors.New("no further batch")
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			polls := 0
			store := storer.NewRemote(storer.WithPoll(func(context.Context, string, storer.Revision) (storer.Batch, error) {
				if polls == len(test.batches) {
					return storer.Batch{}, errEnd
				}
				polls++
				return storer.NewBatch(nil, test.batches[polls-1]), nil
			}, 0))
			received := 0
			err := storer.Watch(context.Background(), store, "", storer.NewRevision(1, 7), func(storer.Batch) { received++ })
			c.Assert(received, qt.Equals, test.want)
			var compacted *storer.CompactedError
			c.Assert(errors.As(err, &compacted), qt.Equals, test.want < len(test.batches), qt.Commentf("%v", err))
		})
	}
}

// An operator who is told that nothing was written writes again: that must not be said
// of a change that may be in the store.
func TestNotExecuted(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want bool
	}{
		{"refused", storer.NewStatusError("txn", 404, ""), true},
		{"failed", storer.NewStatusError("txn", 500, ""), false},
		{"refers to an older era", storer.NewSupersededError("txn", 1, 2), true},
		{"answered in another era", storer.NewEraChangedError("txn", 1, 2), false},
		{"answered in an older era", storer.NewStaleEraError("txn", 1, 2), false},
		{"answered without an era", storer.NewMissingEraError("txn", 2), false},
		{"answered with an era that is no number", storer.NewInvalidEraError("txn", "two"), false},
		{"no answer", errors.New("connection reset"), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, storer.NotExecuted(errors.Wrap(test.err, "commit")), qt.Equals, test.want)
		})
	}
}
