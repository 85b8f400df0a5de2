package follower

import (
	"io"
	"testing"

	"burdocklane/storer"

	"github.com/go-faster/errors"

	qt "github.com/frankban/quicktest"
)

// Guards against a log that calls a store unreachable whose answers are discarded.
func TestFailureReason(t *testing.T) {
	tests := []struct {
		err  error
		want string
	}{
		{storer.NewMissingEraError("range", 2), "era-missing"},
		{storer.NewInvalidEraError("range", "two"), "era-invalid"},
		{storer.NewStaleEraError("range", 1, 2), "era-stale"},
		{storer.NewUnconfirmedEraError("range", 9, 2), "era-unconfirmed"},
		{storer.NewSupersededError("revocation", 1, 2), "era-superseded"},
		{storer.NewEraChangedError("range", 1, 2), "era-changed"},
		{storer.NewStatusError("range", 503, ""), "status-503"},
		{storer.NewCompactedError(storer.NewRevision(1, 7)), "compacted"},
		{io.ErrUnexpectedEOF, "unreachable"},
	}
	for _, test := range tests {
		t.Run(test.want, func(t *testing.T) {
			qt.Assert(t, failureReason(errors.Wrap(test.err, "read")), qt.Equals, test.want)
		})
	}
}
