package holder_test

import (
	"io"
	"strings"
	"testing"

	"burdocklane/holder"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

// fakeBody is a body that records whether it was closed. If err is set, reading fails
// with it instead of EOF.
type fakeBody struct {
	io.Reader
	err    error
	closed bool
}

func (b *fakeBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) && b.err != nil {
		return n, b.err
	}
	return n, err
}

func (b *fakeBody) Close() error {
	b.closed = true
	return nil
}

// Guards against a body that is cut at the limit and taken for a whole one.
func TestReadLimited(t *testing.T) {
	broken := errors.New("broken")
	tests := []struct {
		name, text string
		err        error
		want       string
		tooLong    bool
	}{
		{"shorter", "abc", nil, "abc", false},
		{"at the limit", "abcd", nil, "abcd", false},
		{"longer", "abcde", nil, "", true},
		{"broken", "abc", broken, "", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			data, err := holder.ReadLimited(&fakeBody{Reader: strings.NewReader(test.text), err: test.err}, 4)
			var tooLong *holder.TooLongError
			c.Assert(errors.As(err, &tooLong), qt.Equals, test.tooLong)
			c.Assert(errors.Is(err, broken), qt.Equals, test.err != nil)
			c.Assert(string(data), qt.Equals, test.want)
		})
	}
}

func TestReadUpToLimit(t *testing.T) {
	broken := errors.New("broken")
	tests := []struct {
		name, text      string
		err             error
		data, remainder string
	}{
		{"empty", "", nil, "", ""},
		{"shorter than the limit", "abc", nil, "abc", ""},
		{"exactly the limit", "abcd", nil, "abcd", ""},
		{"longer than the limit", "abcde", nil, "", "abcde"},
		{"read error", "ab", broken, "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := &fakeBody{Reader: strings.NewReader(test.text), err: test.err}
			data, remainder, err := holder.ReadUpTo(b, 4)
			c.Assert(errors.Is(err, test.err), qt.IsTrue)
			c.Assert(string(data), qt.Equals, test.data)
			c.Assert(remainder != nil, qt.Equals, test.remainder != "")
			if remainder == nil {
				return
			}
			whole, err := io.ReadAll(remainder)
			c.Assert(err, qt.IsNil)
			c.Assert(string(whole), qt.Equals, test.remainder)
			c.Assert(remainder.Close(), qt.IsNil)
			c.Assert(b.closed, qt.IsTrue)
		})
	}
}
