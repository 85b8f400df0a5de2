// Package decoder decodes and encodes the datagrams between instances, which
// consist of values of fixed size in network byte order.
package decoder

import (
	"encoding/binary"
	"fmt"
	"io"
)

// DatagramError reports a datagram that cannot be decoded.
type DatagramError struct{ reason string }

// NewDatagramError returns a DatagramError with the reason.
func NewDatagramError(reason string) *DatagramError { return &DatagramError{reason: reason} }

// Error implements error.
func (e *DatagramError) Error() string { return fmt.Sprintf("datagram: %s", e.reason) }

// Read decodes into value, a pointer to a value of fixed size or a slice of such
// values. The error is a *DatagramError.
func Read(r io.Reader, value any) error {
	if err := binary.Read(r, binary.BigEndian, value); err != nil {
		return NewDatagramError(err.Error())
	}
	return nil
}

// Append appends the encoded value to data.
func Append(data []byte, value any) ([]byte, error) {
	return binary.Append(data, binary.BigEndian, value)
}
