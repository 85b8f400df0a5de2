package listener

import (
	"io"
	"net/http"
	"strings"

	"burdocklane/authenticator"
	"burdocklane/descriptor"
)

const (
	headerAuthorization = "Authorization"
	// bearerScheme is the scheme of RFC 6750, which is compared without regard to case.
	bearerScheme = "Bearer"
)

// readCredential returns the API key of "Authorization: Bearer KEY". The header must occur
// once and hold one key: which of several is meant would be a guess.
func readCredential(h http.Header) authenticator.Credential {
	values := h[headerAuthorization]
	if len(values) == 0 {
		return authenticator.Credential{}
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.Trim(key, " ")
	if len(values) > 1 || !strings.EqualFold(scheme, bearerScheme) || strings.ContainsAny(key, " \t") {
		return authenticator.NewMalformed()
	}
	return authenticator.NewAPIKey(key)
}

// setTenant sets the headers of a request to a worker whose caller the system has
// authenticated: the tenant, which is nil for an anonymous call, takes the place of the API
// key, whatever tenant the caller has named.
func (d Dialect) setTenant(h http.Header, tenant *descriptor.Tenant) {
	value := h[headerAuthorization]
	delete(h, headerAuthorization)
	h.Del(d.tenantHeader)
	switch {
	case tenant == nil:
	case len(value) == 1: // Saves an allocation.
		value[0] = string(tenant.Name())
		h[d.tenantHeader] = value
	default:
		h.Set(d.tenantHeader, string(tenant.Name()))
	}
}

// hideTrailers removes the headers that setTenant sets or removes from the trailers of a
// request: some workers take trailers for headers. The caller's are known at the end of the
// body.
func (d Dialect) hideTrailers(body io.ReadCloser, trailer http.Header) io.ReadCloser {
	if len(trailer) == 0 {
		return body
	}
	b := &trailerFilter{ReadCloser: body, trailer: trailer, hidden: []string{headerAuthorization, d.tenantHeader}}
	b.filter()
	return b
}

// trailerFilter is a body that removes trailers once it has been read.
type trailerFilter struct {
	io.ReadCloser
	trailer http.Header
	hidden  []string
}

// Read implements io.Reader.
func (b *trailerFilter) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.filter()
	}
	return n, err
}

func (b *trailerFilter) filter() {
	for _, name := range b.hidden {
		b.trailer.Del(name)
	}
}
