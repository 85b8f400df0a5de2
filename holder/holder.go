// Package holder buffers request and response bodies up to a size limit, and streams
// longer ones.
package holder

import (
	"bytes"
	"fmt"
	"io"
)

// TooLongError reports a body that does not end within a limit.
type TooLongError struct{ limit int64 }

// NewTooLongError returns the error for a body that does not end within limit bytes.
func NewTooLongError(limit int64) *TooLongError { return &TooLongError{limit: limit} }

// Error implements error.
func (e *TooLongError) Error() string { return fmt.Sprintf("body is longer than %d bytes", e.limit) }

// ReadLimited reads a body to its end. The error is a *TooLongError if it is longer
// than limit bytes.
func ReadLimited(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, NewTooLongError(limit)
	}
	return data, nil
}

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
	return nil, Prepend(data, body), nil
}

// Prepend returns a stream of the data and then of the body.
func Prepend(data []byte, body io.ReadCloser) io.ReadCloser {
	return prefixedBody{Reader: io.MultiReader(bytes.NewReader(data), body), Closer: body}
}

// prefixedBody reads the bytes that were already consumed and then the rest of the
// body. It closes the body.
type prefixedBody struct {
	io.Reader
	io.Closer
}
