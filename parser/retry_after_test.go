package parser_test

import (
	"net/http"
	"testing"
	"time"

	"burdocklane/parser"

	qt "github.com/frankban/quicktest"
)

// Guards against a worker that asks for a pause and gets none, or an endless one.
func TestParseRetryAfter(t *testing.T) {
	now := time.Date(2026, 12, 5, 10, 0, 0, 0, time.UTC)
	tests := []struct {
		text string
		want time.Duration
		ok   bool
	}{
		{"2", 2 * time.Second, true},
		{" 0.25 ", 250 * time.Millisecond, true},
		{"0", 0, true},
		{"1e300", parser.MaxRetryAfter, true},
		{"Inf", parser.MaxRetryAfter, true},
		{"-1", 0, false},
		{"NaN", 0, false},
		{"", 0, false},
		{"soon", 0, false},
		{now.Add(3 * time.Second).Format(http.TimeFormat), 3 * time.Second, true},
		{now.Add(-time.Hour).Format(http.TimeFormat), 0, true},
		{now.Add(time.Hour).Format(http.TimeFormat), parser.MaxRetryAfter, true},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			c := qt.New(t)
			got, ok := parser.ParseRetryAfter(test.text, now)
			c.Assert(ok, qt.Equals, test.ok)
			c.Assert(got, qt.Equals, test.want)
		})
	}
}
