// Package decoder reads the datagrams that instances send each other: values of
// fixed size in network byte order.
package decoder

import (
	"encoding/binary"
	"fmt"
	"io"
)

// DatagramError reports a datagram that cannot be read.
type DatagramError struct{ reason string }

// NewDatagramError returns the error for a reason.
func NewDatagramError(reason string) *DatagramError { return &DatagramError{reason: reason} }

// Error implements error.
func (e *DatagramError) Error() string { return fmt.Sprintf("datagram: %s", e.reason) }

// Read fills the value, a pointer to a value of fixed size or a slice of such.
// The error is a *DatagramError.
func Read(r io.Reader, value any) error {
	if err := binary.Read(r, binary.BigEndian, value); err != nil {
		return NewDatagramError(err.Error())
	}
	return nil
}

// Append writes the value behind the data.
func Append(data []byte, value any) ([]byte, error) {
	return binary.Append(data, binary.BigEndian, value)
}
