package parser_test

import (
	"testing"

	"burdocklane/parser"

	qt "github.com/frankban/quicktest"
)

// Guards against a worker that is closed for good by a header that says nothing.
func TestParseLeaving(t *testing.T) {
	tests := []struct {
		text string
		want bool
	}{
		{"1", true},
		{" 1 ", true},
		{"", false},
		{"0", false},
		{"01", false},
		{"true", false},
		{"1, 1", false},
		{"\x00", false},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			qt.Assert(t, parser.ParseLeaving(test.text), qt.Equals, test.want)
		})
	}
}
