package parser_test

import (
	"testing"
	"time"

	"burdocklane/parser"

	qt "github.com/frankban/quicktest"
)

// Guards against a worker that is taken for full after each response, since the call that
// it has just answered counts as running in its report.
func TestLoadWithoutAnswered(t *testing.T) {
	tests := []struct {
		text    string
		running int32
	}{
		{"2,1,2,100", 1},
		{"1,0,2", 0},
		{"0,0,2", 0},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			c := qt.New(t)
			load, err := parser.ParseLoad(test.text)
			c.Assert(err, qt.IsNil)
			report := load.WithoutAnswered().Report(time.Second)
			c.Assert(report.Running(), qt.Equals, test.running)
			c.Assert(report.Slots(), qt.Equals, int32(2))
		})
	}
}
