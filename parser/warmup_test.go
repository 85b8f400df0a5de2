package parser_test

import (
	"testing"
	"time"

	"burdocklane/parser"

	qt "github.com/frankban/quicktest"
)

// Guards against a worker that gets hardly any calls for good by a header that says nothing,
// and against one that counts as warm by it.
func TestParseWarmup(t *testing.T) {
	tests := []struct {
		text  string
		left  time.Duration
		known bool
	}{
		{"0", 0, true},
		{"2500", 2500 * time.Millisecond, true},
		{" 1.5 ", 1500 * time.Microsecond, true},
		{"86400000", 24 * time.Hour, true},
		{"", 0, false},
		{"-1", 0, false},
		{"86400001", 0, false},
		{"NaN", 0, false},
		{"Inf", 0, false},
		{"3s", 0, false},
		{"1, 2", 0, false},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			left, known := parser.ParseWarmup(test.text).Left()
			qt.Assert(t, known, qt.Equals, test.known)
			qt.Assert(t, left, qt.Equals, test.left)
		})
	}
}
