package sender

import (
	"fmt"
	"io"
	"net/http"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// FieldError reports a response with a header or trailer field that no worker may send. The
// request may have run.
type FieldError struct{ name string }

// Name returns the name of the field as it was sent.
func (e *FieldError) Name() string { return e.name }

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("response has the invalid field %q", e.name)
}

// checkFields returns a *FieldError unless all names and values are valid: a name is a token,
// and a value has no control characters but tabs (RFC 9110, sections 5.1 and 5.5). RFC 9112,
// section 5.1, lets a proxy remove blanks before the colon. They are taken for an error
// here: the length of the body may be in such a field, and has been read without it.
func checkFields(fields http.Header) error {
	for name, values := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return &FieldError{name: name}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return &FieldError{name: name}
			}
		}
	}
	return nil
}

// chunkedBody is a body in chunks, after which trailer fields may follow.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response // Gets the trailer fields at the end of the body.
}

// Read implements io.Reader. The error is a *FieldError in place of io.EOF if a trailer field
// is invalid.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := checkFields(b.response.Trailer); err != nil {
		return n, err
	}
	return n, io.EOF
}
