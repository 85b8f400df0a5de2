package storer

import (
	"fmt"
	"net/http"

	"github.com/go-faster/errors"
)

// MissingEraError reports an answer that names no era, from a store that named one
// before. The answer was discarded: its revision has no place in the order.
type MissingEraError struct {
	operation string
	latest    int64
}

// NewMissingEraError returns the error for an answer without an era, when the latest
// known one is given.
func NewMissingEraError(operation string, latest int64) *MissingEraError {
	return &MissingEraError{operation: operation, latest: latest}
}

// Error implements error.
func (e *MissingEraError) Error() string {
	return fmt.Sprintf("store: %s: answer names no era; the latest is %d", e.operation, e.latest)
}

// InvalidEraError reports an answer whose era is not a number. The answer was
// discarded.
type InvalidEraError struct {
	operation string
	value     string
}

// NewInvalidEraError returns the error for an era that cannot be parsed.
func NewInvalidEraError(operation, value string) *InvalidEraError {
	return &InvalidEraError{operation: operation, value: value}
}

// Error implements error.
func (e *InvalidEraError) Error() string {
	return fmt.Sprintf("store: %s: era %q is not a number", e.operation, e.value)
}

// StaleEraError reports an answer of an older era than the latest known one. The
// answer was discarded: the store has gone back to an older copy since.
type StaleEraError struct {
	operation string
	era       int64
	latest    int64
}

// NewStaleEraError returns the error for an answer of an era before the latest one.
func NewStaleEraError(operation string, era, latest int64) *StaleEraError {
	return &StaleEraError{operation: operation, era: era, latest: latest}
}

// Error implements error.
func (e *StaleEraError) Error() string {
	return fmt.Sprintf("store: %s: answer is of era %d; the latest is %d", e.operation, e.era, e.latest)
}

// UnconfirmedEraError reports the first answer of an era that is more than one after
// the latest known one. The answer was discarded: the era is taken over once the
// answer of another call confirms it.
type UnconfirmedEraError struct {
	operation string
	era       int64
	latest    int64
}

// NewUnconfirmedEraError returns the error for an answer of an era that skips others,
// when the latest known one is given.
func NewUnconfirmedEraError(operation string, era, latest int64) *UnconfirmedEraError {
	return &UnconfirmedEraError{operation: operation, era: era, latest: latest}
}

// Error implements error.
func (e *UnconfirmedEraError) Error() string {
	return fmt.Sprintf("store: %s: answer is of era %d, which is not confirmed; the latest is %d", e.operation, e.era, e.latest)
}

// SupersededError reports a call with a revision or a lease of an older era than the
// latest known one. The call was not made: nothing was done.
type SupersededError struct {
	operation string
	era       int64
	latest    int64
}

// NewSupersededError returns the error for a call that refers to an era before the
// latest one.
func NewSupersededError(operation string, era, latest int64) *SupersededError {
	return &SupersededError{operation: operation, era: era, latest: latest}
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("store: %s: refers to era %d; the latest is %d; nothing was done", e.operation, e.era, e.latest)
}

// EraChangedError reports a call that refers to one era and was answered in another.
// Whether it took effect is unknown, and the keys have to be read again.
type EraChangedError struct {
	operation string
	era       int64
	answered  int64
}

// NewEraChangedError returns the error for a call that refers to an era and was
// answered in another one.
func NewEraChangedError(operation string, era, answered int64) *EraChangedError {
	return &EraChangedError{operation: operation, era: era, answered: answered}
}

// Error implements error.
func (e *EraChangedError) Error() string {
	return fmt.Sprintf("store: %s: refers to era %d, but was answered in era %d", e.operation, e.era, e.answered)
}

// NotExecuted reports whether an error says that the call had no effect. After any
// other error it may have had, or may have later.
func NotExecuted(err error) bool {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status() < http.StatusInternalServerError
	}
	var superseded *SupersededError
	return errors.As(err, &superseded)
}
