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

// collector gathers the faults of one document.
type collector struct {
	faults []Fault
}

func (c *collector) add(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{path: path, reason: fmt.Sprintf(format, args...)})
}

func (c *collector) err(source string) error {
	if len(c.faults) == 0 {
		return nil
	}
	return &DocumentError{source: source, faults: c.faults}
}

// object is a JSON object at a path. Each read removes its key, so that what
// is left at the end is unknown.
type object struct {
	path   string
	keys   []string
	fields map[string]json.RawMessage
	faults *collector
}

func parseDocument(data []byte, faults *collector) (object, bool) {
	return parseObject("", data, faults)
}

func parseObject(path string, data json.RawMessage, faults *collector) (object, bool) {
	o := object{path: path, fields: map[string]json.RawMessage{}, faults: faults}
	decoder := json.NewDecoder(bytes.NewReader(data))
	token, err := decoder.Token()
	if err != nil {
		faults.add(path, "is not JSON: %s", syntaxReason(err, data))
		return o, false
	}
	if token != json.Delim('{') {
		faults.add(path, "must be an object, is %s", excerpt(data))
		return o, false
	}
	for decoder.More() {
		if !o.readField(decoder, data) {
			return o, false
		}
	}
	if _, err := decoder.Token(); err != nil {
		faults.add(path, "is not JSON: %s", syntaxReason(err, data))
		return o, false
	}
	if rest := bytes.TrimSpace(data[decoder.InputOffset():]); len(rest) > 0 {
		faults.add(path, "has %s after its end", excerpt(rest))
		return o, false
	}
	return o, true
}

func (o *object) readField(decoder *json.Decoder, data []byte) bool {
	token, err := decoder.Token()
	if err != nil {
		o.faults.add(o.path, "is not JSON: %s", syntaxReason(err, data))
		return false
	}
	key, _ := token.(string)
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		o.faults.add(o.at(key), "is not JSON: %s", syntaxReason(err, data))
		return false
	}
	if _, twice := o.fields[key]; twice {
		o.faults.add(o.at(key), "stands twice")
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
	const longest = 40
	text := string(bytes.TrimSpace(data))
	if len(text) > longest {
		return text[:longest] + "…"
	}
	return text
}

func (o *object) at(key string) string {
	if o.path == "" {
		return key
	}
	return o.path + "." + key
}

func (o *object) take(key string) (json.RawMessage, bool) {
	value, ok := o.fields[key]
	delete(o.fields, key)
	return value, ok
}

// finish reports the keys that nothing has read.
func (o *object) finish() {
	for _, key := range o.keys {
		if _, left := o.fields[key]; left {
			o.faults.add(o.at(key), "is not a known field")
		}
	}
}

// names returns the keys in alphabetical order, for objects keyed by a name.
func (o *object) names() []string {
	names := slices.Clone(o.keys)
	slices.Sort(names)
	return names
}

func (o *object) child(key string) (object, bool) {
	value, ok := o.take(key)
	if !ok {
		return object{path: o.at(key), faults: o.faults}, false
	}
	return parseObject(o.at(key), value, o.faults)
}

// required reports a missing field and tells whether the field is there.
func (o *object) required(key string) bool {
	if _, ok := o.fields[key]; !ok {
		o.faults.add(o.at(key), "is missing")
		return false
	}
	return true
}

func (o *object) text(key, fallback string) string {
	value, ok := o.take(key)
	if !ok {
		return fallback
	}
	var text string
	if err := json.Unmarshal(value, &text); err != nil {
		o.faults.add(o.at(key), "must be a string, is %s", excerpt(value))
		return fallback
	}
	return text
}

func (o *object) choice(key, fallback string, allowed ...string) string {
	text := o.text(key, fallback)
	if !slices.Contains(allowed, text) {
		o.faults.add(o.at(key), "%q is not one of %s", text, strings.Join(allowed, ", "))
		return fallback
	}
	return text
}

func (o *object) texts(key string) []string {
	value, ok := o.take(key)
	if !ok {
		return nil
	}
	var list []string
	if err := json.Unmarshal(value, &list); err != nil {
		o.faults.add(o.at(key), "must be a list of strings, is %s", excerpt(value))
	}
	return list
}

func (o *object) numbers(key string) []int {
	value, ok := o.take(key)
	if !ok {
		return nil
	}
	var list []int
	if err := json.Unmarshal(value, &list); err != nil {
		o.faults.add(o.at(key), "must be a list of whole numbers, is %s", excerpt(value))
	}
	return list
}

func (o *object) whole(key string, fallback, least, most int64) int64 {
	value, ok := o.take(key)
	if !ok {
		return fallback
	}
	var number int64
	if err := json.Unmarshal(value, &number); err != nil {
		o.faults.add(o.at(key), "must be a whole number, is %s", excerpt(value))
		return fallback
	}
	if number < least || number > most {
		o.faults.add(o.at(key), "%d is not between %d and %d", number, least, most)
	}
	return number
}

func (o *object) fraction(key string, fallback float64) float64 {
	value, ok := o.take(key)
	if !ok {
		return fallback
	}
	var number float64
	if err := json.Unmarshal(value, &number); err != nil {
		o.faults.add(o.at(key), "must be a number, is %s", excerpt(value))
		return fallback
	}
	if number <= 0 || number >= 1 {
		o.faults.add(o.at(key), "%v is not between 0 and 1", number)
	}
	return number
}

func (o *object) duration(key string, fallback time.Duration) time.Duration {
	value, ok := o.take(key)
	if !ok {
		return fallback
	}
	var text string
	if err := json.Unmarshal(value, &text); err != nil {
		o.faults.add(o.at(key), "must be a duration such as \"80ms\", is %s", excerpt(value))
		return fallback
	}
	d, err := time.ParseDuration(text)
	switch {
	case err != nil && strings.Trim(text, "0123456789.") == "" && text != "":
		o.faults.add(o.at(key), "%q has no unit", text)
	case err != nil:
		o.faults.add(o.at(key), "%q is not a duration such as \"80ms\"", text)
	case d <= 0:
		o.faults.add(o.at(key), "%q must be more than zero", text)
	}
	return d
}

func (o *object) address(key, fallback string) string {
	text := o.text(key, fallback)
	if text == "" {
		return text
	}
	if _, _, err := net.SplitHostPort(text); err != nil {
		o.faults.add(o.at(key), "%q is not host:port", text)
	}
	return text
}
