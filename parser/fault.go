// Package parser reads settings and configurations from JSON, checks them,
// and names the place of every fault.
package parser

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong at one place of a document.
type Fault struct {
	path   string
	reason string
}

// Path returns the place inside the document, with dots between the keys.
func (f Fault) Path() string { return f.path }

// Reason says what is wrong there.
func (f Fault) Reason() string { return f.reason }

// DocumentError lists every fault of a document.
type DocumentError struct {
	source string
	faults []Fault
}

// Source returns the name of the file or key that was read.
func (e *DocumentError) Source() string { return e.source }

// Faults returns the faults in the order of the document's checks. The caller
// must not change the slice.
func (e *DocumentError) Faults() []Fault { return e.faults }

// Error lists one fault a line.
func (e *DocumentError) Error() string {
	var b strings.Builder
	for i, f := range e.faults {
		if i > 0 {
			b.WriteByte('\n')
		}
		if f.path == "" {
			fmt.Fprintf(&b, "%s: %s", e.source, f.reason)
			continue
		}
		fmt.Fprintf(&b, "%s: %s: %s", e.source, f.path, f.reason)
	}
	return b.String()
}
