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
		name string
		err  error
		want string
	}{
		{"era-missing", storer.NewMissingEraError("range", 2), "era-missing"},
		{"era-invalid", storer.NewInvalidEraError("range", "two"), "era-invalid"},
		{"era-stale", storer.NewStaleEraError("range", 1, 2), "era-stale"},
		{"era-unconfirmed", storer.NewUnconfirmedEraError("range", 9, 2), "era-unconfirmed"},
		{"era-superseded", storer.NewSupersededError("revocation", 1, 2), "era-superseded"},
		{"era-changed", storer.NewEraChangedError("range", 1, 2), "era-changed"},
		{"status-503", storer.NewStatusError("range", 503, ""), "status-503"},
		{"compacted", storer.NewCompactedError(storer.NewRevision(1, 7)), "compacted"},
		{"a probe whose answer is discarded", &ProbeError{cause: storer.NewStaleEraError("probe", 1, 2)}, "era-stale"},
		{"a probe that fails", &ProbeError{cause: io.ErrUnexpectedEOF}, "probe-failed"},
		{"unreachable", io.ErrUnexpectedEOF, "unreachable"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, failureReason(errors.Wrap(test.err, "read")), qt.Equals, test.want)
		})
	}
}
