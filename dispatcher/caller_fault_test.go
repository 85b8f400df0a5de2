package dispatcher_test

import (
	"context"
	"testing"

	"burdocklane/classifier"
	"burdocklane/descriptor"
	"burdocklane/picker"
	"burdocklane/registrar"
	"burdocklane/retrier"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

// Guards against workers that get no calls because callers did not send the rest of their
// requests.
func TestCallersFaultsAreNotHeldAgainstWorkers(t *testing.T) {
	const calls = 30
	tests := []struct {
		name    string
		result  retrier.Result
		ejected bool
	}{
		{"the worker failed", retrier.NewLost(errors.New("reset")), true},
		{"the caller did not send the rest", retrier.NewLost(errors.New("timeout")).WithCallerAtFault(), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(c, descriptor.AtMostOnce{}, 3)
			for range calls {
				f.dispatch(context.Background(), func(context.Context, int, *classifier.Call, registrar.Worker) retrier.Result { return test.result })
			}
			pool := f.publisher.Current().ServiceState("s").Pool()
			ejected := false
			for _, w := range pool.Workers() {
				ejected = ejected || w.State(0, pool.Now()) == picker.Ejected
			}
			c.Assert(ejected, qt.Equals, test.ejected)
		})
	}
}
