// Package holder reads short bodies to their end, and leaves longer ones as they
// were.
package holder

import (
	"bytes"
	"io"
)

// Hold reads a body up to the given bytes. If that was all of it, it returns the
// data and a nil rest. If not, the rest is the body from its beginning on.
func Hold(body io.ReadCloser, most int64) (data []byte, rest io.ReadCloser, err error) {
	data, err = io.ReadAll(io.LimitReader(body, most+1))
	if err != nil {
		return nil, nil, err
	}
	if int64(len(data)) <= most {
		return data, nil, nil
	}
	return nil, joined{Reader: io.MultiReader(bytes.NewReader(data), body), Closer: body}, nil
}

// joined reads what was read before the rest, and closes the rest.
type joined struct {
	io.Reader
	io.Closer
}
