package scheduler_test

import (
	"bytes"
	"strings"
	"testing"

	"burdocklane/registrar"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

func requestsAsked() string {
	var b bytes.Buffer
	metrics.WritePrometheus(&b, false)
	_, after, _ := strings.Cut(b.String(), "burdocklane_rulings_asked_total ")
	count, _, _ := strings.Cut(after, "\n")
	return count
}

// The deciders are those that Assign asks, and nobody is asked for them.
func TestDeciders(t *testing.T) {
	tests := []struct {
		name      string
		regions   []string
		evacuated []string
		want      []string
	}{
		{"any region: the own one decides", nil, nil, []string{"in-a"}},
		{"the own region goes first", []string{"c", "b", "a"}, nil, []string{"in-a", "in-b", "in-c"}},
		{"other regions only", []string{"c", "b"}, nil, []string{"in-b", "in-c"}},
		{"a region without an allowed worker is not asked", []string{"c", "b"}, []string{"b-1"}, []string{"in-c"}},
		{"an unknown region", []string{"elsewhere"}, nil, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Cleanup(func() { goleak.VerifyNone(t) })
			c := qt.New(t)
			r := newThreeRegions(c)
			if test.evacuated != nil {
				r.evacuate(0, test.evacuated...)
			}
			asked := requestsAsked()
			var got []string
			for _, d := range r.schedulers[0].Deciders(r.pools[0], confinedRequest(test.regions...)) {
				c.Assert(d.Instance(), qt.Equals, registrar.InstanceID("in-"+d.Region()))
				got = append(got, string(d.Instance()))
			}
			c.Assert(got, qt.DeepEquals, test.want)
			c.Assert(requestsAsked(), qt.Equals, asked)
		})
	}
}
