package recoverer_test

import (
	"bytes"
	"testing"

	"burdocklane/recoverer"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

func TestDo(t *testing.T) {
	tests := []struct {
		name string
		work func()
		want string // Of the error, or "".
	}{
		{"no panic", func() {}, ""},
		{"an error value", func() { panic(errors.New("odd")) }, "panic in test: odd"},
		{"an index out of range", func() {
			var s []int
			_ = s[len(s)]
		}, "panic in test: runtime error: index out of range [0] with length 0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var log bytes.Buffer
			before := recoverer.Total()
			err := recoverer.Do(zerolog.New(&log), "test", test.work)
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				c.Assert(log.Len(), qt.Equals, 0)
				return
			}
			var panicked *recoverer.PanicError
			c.Assert(errors.As(err, &panicked), qt.IsTrue)
			c.Assert(err.Error(), qt.Equals, test.want)
			c.Assert(recoverer.Total(), qt.Equals, before+1)
			c.Assert(log.String(), qt.Contains, "recoverer_test.go")
		})
	}
}
