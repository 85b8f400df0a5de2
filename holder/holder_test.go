package holder_test

import (
	"io"
	"strings"
	"testing"

	"burdocklane/holder"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

// body tells whether it was closed, and breaks off with an error if it has one.
type body struct {
	io.Reader
	err    error
	closed bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) && b.err != nil {
		return n, b.err
	}
	return n, err
}

func (b *body) Close() error {
	b.closed = true
	return nil
}

func TestHold(t *testing.T) {
	broken := errors.New("broken")
	tests := []struct {
		name, text string
		err        error
		data, rest string
	}{
		{"empty", "", nil, "", ""},
		{"shorter", "abc", nil, "abc", ""},
		{"just as long", "abcd", nil, "abcd", ""},
		{"longer", "abcde", nil, "", "abcde"},
		{"breaks off", "ab", broken, "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := &body{Reader: strings.NewReader(test.text), err: test.err}
			data, rest, err := holder.Hold(b, 4)
			c.Assert(errors.Is(err, test.err), qt.IsTrue)
			c.Assert(string(data), qt.Equals, test.data)
			c.Assert(rest != nil, qt.Equals, test.rest != "")
			if rest == nil {
				return
			}
			whole, err := io.ReadAll(rest)
			c.Assert(err, qt.IsNil)
			c.Assert(string(whole), qt.Equals, test.rest)
			c.Assert(rest.Close(), qt.IsNil)
			c.Assert(b.closed, qt.IsTrue)
		})
	}
}
