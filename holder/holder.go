// Package holder buffers request and response bodies up to a size limit, and streams
// longer ones.
package holder

import (
	"bytes"
	"io"
)

// ReadUpTo reads up to limit bytes of a body. If the body ends within the limit, it
// returns the data and a nil remainder. Otherwise the data is nil and the remainder is
// a stream of the whole body from its beginning.
func ReadUpTo(body io.ReadCloser, limit int64) (data []byte, remainder io.ReadCloser, err error) {
	data, err = io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, nil, err
	}
	if int64(len(data)) <= limit {
		return data, nil, nil
	}
	return nil, prefixedBody{Reader: io.MultiReader(bytes.NewReader(data), body), Closer: body}, nil
}

// prefixedBody reads the bytes that were already consumed and then the rest of the
// body. It closes the body.
type prefixedBody struct {
	io.Reader
	io.Closer
}
