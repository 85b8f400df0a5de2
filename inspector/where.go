package inspector

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"burdocklane/classifier"
	"burdocklane/descriptor"
	"burdocklane/previewer"

	"github.com/go-faster/errors"
)

// WherePath is the path at which an instance tells where a request would go.
const WherePath = "/where"

const (
	maxWhereQuery   = 4 << 10
	maxWhereTimeout = time.Hour
)

// QueryError reports a query of WherePath that cannot be read. It names the field, and not
// its value, which may be a key that was passed by mistake.
type QueryError struct {
	field  string
	reason string
}

// Field returns the name of the field.
func (e *QueryError) Field() string { return e.field }

// Error implements error.
func (e *QueryError) Error() string { return e.field + ": " + e.reason }

// WhereQuery holds the fields of a query of WherePath as text. Tenant and timeout may be "".
type WhereQuery struct{ method, host, path, tenant, timeout string }

// NewWhereQuery returns the query for a request of the named tenant.
func NewWhereQuery(method, host, path, tenant, timeout string) WhereQuery {
	return WhereQuery{method: method, host: host, path: path, tenant: tenant, timeout: timeout}
}

func (q WhereQuery) encode() string {
	values := url.Values{"method": {q.method}, "host": {q.host}, "path": {q.path}}
	if q.tenant != "" {
		values.Set("tenant", q.tenant)
	}
	if q.timeout != "" {
		values.Set("timeout", q.timeout)
	}
	return values.Encode()
}

// FetchWhere returns where the instance at host:port would send the request, as JSON.
func FetchWhere(ctx context.Context, address string, q WhereQuery) ([]byte, error) {
	data, err := Fetch(ctx, address, WherePath+"?"+q.encode())
	var withURL *url.Error
	if errors.As(err, &withURL) { // Its text has the query.
		return nil, errors.Wrapf(withURL.Err, "admin port %s", address)
	}
	return data, err
}

// WhereHandler returns the handler of WherePath.
func WhereHandler(p *previewer.Previewer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		question, err := parseWhere(r.URL.RawQuery)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := p.Preview(question)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		encoder.Encode(newWhereMessage(p.Instance(), answer)) //nolint:errcheck // The client has disconnected.
	}
}

func parseWhere(raw string) (previewer.Question, error) {
	if len(raw) > maxWhereQuery {
		return previewer.Question{}, &QueryError{field: "query", reason: "is too long"}
	}
	values, err := url.ParseQuery(raw)
	if err != nil {
		return previewer.Question{}, &QueryError{field: "query", reason: "cannot be read"}
	}
	known := []string{"method", "host", "path", "tenant", "timeout"}
	for name, given := range values {
		if !slices.Contains(known, name) {
			return previewer.Question{}, &QueryError{field: "query", reason: "has an unknown field; known are " + strings.Join(known, ", ")}
		}
		if len(given) > 1 {
			return previewer.Question{}, &QueryError{field: name, reason: "is given more than once"}
		}
	}
	if values.Get("method") == "" {
		return previewer.Question{}, &QueryError{field: "method", reason: "is missing"}
	}
	path, _, _ := strings.Cut(values.Get("path"), "?")
	if !strings.HasPrefix(path, "/") {
		return previewer.Question{}, &QueryError{field: "path", reason: "does not begin with /"}
	}
	timeout, err := parseWhereTimeout(values.Get("timeout"))
	if err != nil {
		return previewer.Question{}, err
	}
	request := classifier.NewRequest("", values.Get("method"), path, classifier.WithHost(values.Get("host")), classifier.WithTimeout(timeout))
	return previewer.NewQuestion(request, descriptor.TenantName(values.Get("tenant"))), nil
}

func parseWhereTimeout(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 || timeout > maxWhereTimeout {
		return 0, &QueryError{field: "timeout", reason: "is not a time up to 1h, such as 300ms"}
	}
	return timeout, nil
}
