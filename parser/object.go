package parser

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// violationList collects the violations in one document.
type violationList struct {
	violations []FieldViolation
}

func (v *violationList) add(path, format string, args ...any) {
	v.violations = append(v.violations, FieldViolation{path: path, reason: fmt.Sprintf(format, args...)})
}

func (v *violationList) err(source string) error {
	if len(v.violations) == 0 {
		return nil
	}
	return &DocumentError{source: source, violations: v.violations}
}

// object is a JSON object at a path of a document. Reading a field removes it,
// so that the fields left at the end are unknown ones.
type object struct {
	path       string
	keys       []string
	fields     map[string]json.RawMessage
	violations *violationList
}

func parseDocument(data []byte, violations *violationList) (object, bool) {
	return parseObject("", data, violations)
}

func parseObject(path string, data json.RawMessage, violations *violationList) (object, bool) {
	o := object{path: path, fields: map[string]json.RawMessage{}, violations: violations}
	decoder := json.NewDecoder(bytes.NewReader(data))
	token, err := decoder.Token()
	if err != nil {
		violations.add(path, "is not JSON: %s", syntaxReason(err, data))
		return o, false
	}
	if token != json.Delim('{') {
		violations.add(path, "must be an object, got %s", excerpt(data))
		return o, false
	}
	for decoder.More() {
		if !o.readField(decoder, data) {
			return o, false
		}
	}
	if _, err := decoder.Token(); err != nil {
		violations.add(path, "is not JSON: %s", syntaxReason(err, data))
		return o, false
	}
	if trailing := bytes.TrimSpace(data[decoder.InputOffset():]); len(trailing) > 0 {
		violations.add(path, "has trailing data: %s", excerpt(trailing))
		return o, false
	}
	return o, true
}

func (o *object) readField(decoder *json.Decoder, data []byte) bool {
	token, err := decoder.Token()
	if err != nil {
		o.violations.add(o.path, "is not JSON: %s", syntaxReason(err, data))
		return false
	}
	key, _ := token.(string)
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		o.violations.add(o.pathOf(key), "is not JSON: %s", syntaxReason(err, data))
		return false
	}
	if _, duplicate := o.fields[key]; duplicate {
		o.violations.add(o.pathOf(key), "is a duplicate field")
		return true
	}
	o.keys = append(o.keys, key)
	o.fields[key] = value
	return true
}

func syntaxReason(err error, data []byte) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err.Error()
	}
	line := 1 + bytes.Count(data[:min(int(syntax.Offset), len(data))], []byte("\n"))
	return fmt.Sprintf("line %d: %s", line, syntax)
}

func excerpt(data []byte) string {
	const maxLength = 40
	text := string(bytes.TrimSpace(data))
	if len(text) > maxLength {
		return text[:maxLength] + "…"
	}
	return text
}

func (o *object) pathOf(key string) string {
	if o.path == "" {
		return key
	}
	return o.path + "." + key
}

func (o *object) consume(key string) (json.RawMessage, bool) {
	value, ok := o.fields[key]
	delete(o.fields, key)
	return value, ok
}

// reportUnknown adds a violation for each field that has not been read.
func (o *object) reportUnknown() {
	for _, key := range o.keys {
		if _, unread := o.fields[key]; unread {
			o.violations.add(o.pathOf(key), "is not a known field")
		}
	}
}

// sortedKeys returns the keys in alphabetical order, for objects whose keys are
// names.
func (o *object) sortedKeys() []string {
	names := slices.Clone(o.keys)
	slices.Sort(names)
	return names
}

func (o *object) child(key string) (object, bool) {
	value, ok := o.consume(key)
	if !ok {
		return object{path: o.pathOf(key), violations: o.violations}, false
	}
	return parseObject(o.pathOf(key), value, o.violations)
}

// required reports whether the field is present, and adds a violation if not.
func (o *object) required(key string) bool {
	if _, ok := o.fields[key]; !ok {
		o.violations.add(o.pathOf(key), "is missing")
		return false
	}
	return true
}

func (o *object) stringValue(key, defaultValue string) string {
	value, ok := o.consume(key)
	if !ok {
		return defaultValue
	}
	var text string
	if err := json.Unmarshal(value, &text); err != nil {
		o.violations.add(o.pathOf(key), "must be a string, got %s", excerpt(value))
		return defaultValue
	}
	return text
}

func (o *object) enum(key, defaultValue string, allowed ...string) string {
	text := o.stringValue(key, defaultValue)
	if !slices.Contains(allowed, text) {
		o.violations.add(o.pathOf(key), "%q is not one of %s", text, strings.Join(allowed, ", "))
		return defaultValue
	}
	return text
}

func (o *object) stringList(key string) []string {
	value, ok := o.consume(key)
	if !ok {
		return nil
	}
	var list []string
	if err := json.Unmarshal(value, &list); err != nil {
		o.violations.add(o.pathOf(key), "must be a list of strings, got %s", excerpt(value))
	}
	return list
}

func (o *object) integerList(key string) []int {
	value, ok := o.consume(key)
	if !ok {
		return nil
	}
	var list []int
	if err := json.Unmarshal(value, &list); err != nil {
		o.violations.add(o.pathOf(key), "must be a list of whole numbers, got %s", excerpt(value))
	}
	return list
}

func (o *object) integer(key string, defaultValue, minimum, maximum int64) int64 {
	value, ok := o.consume(key)
	if !ok {
		return defaultValue
	}
	var number int64
	if err := json.Unmarshal(value, &number); err != nil {
		o.violations.add(o.pathOf(key), "must be a whole number, got %s", excerpt(value))
		return defaultValue
	}
	if number < minimum || number > maximum {
		o.violations.add(o.pathOf(key), "%d is not between %d and %d", number, minimum, maximum)
	}
	return number
}

func (o *object) boolean(key string, defaultValue bool) bool {
	value, ok := o.consume(key)
	if !ok {
		return defaultValue
	}
	var flag bool
	if err := json.Unmarshal(value, &flag); err != nil {
		o.violations.add(o.pathOf(key), "must be true or false, got %s", excerpt(value))
		return defaultValue
	}
	return flag
}

func (o *object) fraction(key string, defaultValue float64) float64 {
	value, ok := o.consume(key)
	if !ok {
		return defaultValue
	}
	var number float64
	if err := json.Unmarshal(value, &number); err != nil {
		o.violations.add(o.pathOf(key), "must be a number, got %s", excerpt(value))
		return defaultValue
	}
	if number <= 0 || number >= 1 {
		o.violations.add(o.pathOf(key), "%v is not between 0 and 1", number)
	}
	return number
}

func (o *object) duration(key string, defaultValue time.Duration) time.Duration {
	value, ok := o.consume(key)
	if !ok {
		return defaultValue
	}
	var text string
	if err := json.Unmarshal(value, &text); err != nil {
		o.violations.add(o.pathOf(key), "must be a duration such as \"80ms\", got %s", excerpt(value))
		return defaultValue
	}
	d, err := time.ParseDuration(text)
	switch {
	case err != nil && strings.Trim(text, "0123456789.") == "" && text != "":
		o.violations.add(o.pathOf(key), "%q has no unit", text)
	case err != nil:
		o.violations.add(o.pathOf(key), "%q is not a duration such as \"80ms\"", text)
	case d <= 0:
		o.violations.add(o.pathOf(key), "%q must be more than zero", text)
	}
	return d
}

func (o *object) hostPort(key, defaultValue string) string {
	text := o.stringValue(key, defaultValue)
	if text == "" {
		return text
	}
	if _, _, err := net.SplitHostPort(text); err != nil {
		o.violations.add(o.pathOf(key), "%q is not host:port", text)
	}
	return text
}
