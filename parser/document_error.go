// Package parser parses and validates settings, configurations and load
// reports. It reports every violation in a JSON document with its path.
package parser

import (
	"fmt"
	"strings"
)

// FieldViolation describes one invalid or missing field of a document.
type FieldViolation struct {
	path   string
	reason string
}

// Path returns the path of the field: its keys, separated by dots. It is empty
// for the whole document.
func (f FieldViolation) Path() string { return f.path }

// Reason returns why the value at the path is invalid.
func (f FieldViolation) Reason() string { return f.reason }

// DocumentError lists every violation in a document.
type DocumentError struct {
	source     string
	violations []FieldViolation
}

// Source returns the name of the file or store key that was parsed.
func (e *DocumentError) Source() string { return e.source }

// Violations returns the violations in the order in which they were found. The
// caller must not modify the slice.
func (e *DocumentError) Violations() []FieldViolation { return e.violations }

// Error returns one line for each violation.
func (e *DocumentError) Error() string {
	var text strings.Builder
	for i, violation := range e.violations {
		if i > 0 {
			text.WriteByte('\n')
		}
		if violation.path == "" {
			fmt.Fprintf(&text, "%s: %s", e.source, violation.reason)
			continue
		}
		fmt.Fprintf(&text, "%s: %s: %s", e.source, violation.path, violation.reason)
	}
	return text.String()
}
