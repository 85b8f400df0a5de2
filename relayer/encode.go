package relayer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
)

// compressionThreshold is the length of a message in bytes from which it is compressed.
const compressionThreshold = 4 << 10

// encodings holds the encoded messages of one snapshot, each of which is made once for
// all readers.
type encodings struct {
	keys    func() *encoding
	changes sync.Map // From a cursor to a func() *encoding.
}

// encoding is an encoded message. It is immutable.
type encoding struct {
	plain      []byte
	compressed []byte // Empty if the message is short.
}

// newEncoding returns the encoding of a message, which must be encodable.
func newEncoding(message any) *encoding {
	plain, err := json.Marshal(message)
	if err != nil {
		return &encoding{plain: []byte("null")}
	}
	return encodingOf(plain)
}

// encodingOf returns the encoding of a message that is a JSON document already.
func encodingOf(plain []byte) *encoding {
	e := &encoding{plain: plain}
	if len(plain) >= compressionThreshold {
		e.compressed = compress(plain)
	}
	return e
}

// compress returns the data in the format of gzip. Writes to a buffer do not fail.
func compress(data []byte) []byte {
	var buffer bytes.Buffer
	w, _ := gzip.NewWriterLevel(&buffer, gzip.BestSpeed) //nolint:errcheck // The level is valid.
	w.Write(data)                                        //nolint:errcheck // See above.
	w.Close()                                            //nolint:errcheck // See above.
	return buffer.Bytes()
}

// write responds with the message, compressed if it is long and the client accepts it.
func (e *encoding) write(w http.ResponseWriter, request *http.Request) {
	relayedResponses.Inc()
	w.Header().Set("Content-Type", "application/json")
	data := e.plain
	if len(e.compressed) > 0 && strings.Contains(request.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		data = e.compressed
	}
	w.Write(data) //nolint:errcheck // The client fails to decode a truncated response.
}

// withEncodings prepares the encodings of a snapshot that a relay serves.
func (s *snapshot) withEncodings(incarnation string) *snapshot {
	s.encodings = &encodings{keys: sync.OnceValue(func() *encoding { return newEncoding(s.message(incarnation)) })}
	return s
}

// encodedChanges returns the encoded changes after the cursor, and false if they are no
// longer available.
func (s *snapshot) encodedChanges(cursor int64) (*encoding, bool) {
	if !s.hasChangesSince(cursor) {
		return nil, false
	}
	encode, _ := s.encodings.changes.LoadOrStore(cursor, sync.OnceValue(func() *encoding {
		m, _ := s.changesSince(cursor)
		return newEncoding(m)
	}))
	return encode.(func() *encoding)(), true
}
