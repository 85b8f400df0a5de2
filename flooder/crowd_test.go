package flooder_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// place is what a crowd sends its requests to.
type place string

const (
	atRoute      place = "route"
	withoutRoute place = "no route"
	readiness    place = "readiness"
)

const (
	// bufferedBodyBytes is the longest body that a process keeps to send it again.
	bufferedBodyBytes = 64 << 10
	// missingBytes is how much of a body is not sent.
	missingBytes = 36
	// shortFields fill a head of nearly 16 KB.
	shortFields = 2400
	// requestsAhead are sent on a connection without reading an answer.
	requestsAhead = 4000
	// bodiesAhead are sent on a connection without reading an answer, each of
	// aheadBytes.
	bodiesAhead = 200
	aheadBytes  = 8 << 10
	// streams are opened on one connection.
	streams     = 100
	sendTimeout = 5 * time.Second
	slowPause   = 20 * time.Millisecond
	slowTime    = 3 * time.Second
)

// member is one connection of a crowd.
type member struct {
	net.Conn
	host string
	path string
}

// crowd is a number of connections that send the same and stay open.
type crowd struct {
	name string
	size int
	send func(m *member)
}

var crowds = []crowd{
	{"bodies that stop short, in one piece", 400, func(m *member) {
		m.writeLengthHead(bufferedBodyBytes)
		m.writeBytes(bufferedBodyBytes - missingBytes)
	}},
	{"bodies that stop short, in small pieces", 400, func(m *member) {
		m.writeLengthHead(bufferedBodyBytes)
		for range (bufferedBodyBytes - missingBytes) / 500 {
			m.writeBytes(500)
		}
	}},
	{"bodies that stop short, in chunks", 400, func(m *member) {
		m.writeChunkedHead()
		for range bufferedBodyBytes / 1024 {
			m.writeChunk(1024)
		}
	}},
	{"long bodies that stop short", 400, func(m *member) {
		m.writeLengthHead(maxBodyBytes)
		m.writeBytes(maxBodyBytes - missingBytes)
	}},
	{"bodies that say more than they may", 400, func(m *member) {
		m.writeLengthHead(1 << 40)
		m.writeBytes(maxBodyBytes)
	}},
	{"chunks without end", 200, func(m *member) {
		m.writeChunkedHead()
		for range 4 * maxBodyBytes / (32 << 10) {
			m.writeChunk(32 << 10)
		}
	}},
	{"very many short fields", 400, func(m *member) {
		m.writeText(m.fieldsHead() + "\r\n")
	}},
	{"very many short fields without an end", 400, func(m *member) {
		m.writeText(m.fieldsHead())
	}},
	{"very many short fields before a body that stops short", 400, func(m *member) {
		m.writeText(m.fieldsHead() + fmt.Sprintf("Content-Length: %d\r\n\r\n", bufferedBodyBytes))
		m.writeBytes(bufferedBodyBytes - missingBytes)
	}},
	{"requests sent ahead, no answer read", 400, func(m *member) {
		for range requestsAhead {
			if !m.writeText(m.head("GET") + "\r\n") {
				return
			}
		}
	}},
	{"requests with bodies sent ahead, no answer read", 200, func(m *member) {
		for range bodiesAhead {
			if !m.writeLengthHead(aheadBytes) || !m.writeBytes(aheadBytes) {
				return
			}
		}
	}},
	{"slow senders of a head", 400, func(m *member) {
		m.writeSlowly(m.fieldsHead())
	}},
	{"slow senders of a body", 400, func(m *member) {
		m.writeLengthHead(bufferedBodyBytes)
		m.writeBytes(bufferedBodyBytes / 2)
		m.writeSlowly(strings.Repeat("x", bufferedBodyBytes/2-1))
	}},
	{"slow readers", 400, func(m *member) {
		for range requestsAhead / 10 {
			if !m.writeText(m.head("GET") + "\r\n") {
				break
			}
		}
		m.readSlowly()
	}},
	{"heads that stop half-way", 400, func(m *member) {
		m.writeText(m.head("POST"))
	}},
	{"connections that send nothing", 400, func(*member) {}},
	{"streams of HTTP/2 whose bodies stop short", 100, func(m *member) { m.openStreams(streams, 4<<10) }},
	{"streams of HTTP/2 that send no body", 100, func(m *member) { m.openStreams(streams, 0) }},
}

func (m *member) head(method string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: hostile\r\n", method, m.path, m.host)
}

func (m *member) fieldsHead() string {
	var text strings.Builder
	text.WriteString(m.head("POST"))
	for n := range shortFields {
		fmt.Fprintf(&text, "%x:\r\n", n)
	}
	return text.String()
}

func (m *member) writeLengthHead(length int64) bool {
	return m.writeText(m.head("POST") + fmt.Sprintf("Content-Length: %d\r\n\r\n", length))
}

func (m *member) writeChunkedHead() bool {
	return m.writeText(m.head("POST") + "Transfer-Encoding: chunked\r\n\r\n")
}

func (m *member) writeChunk(length int) bool {
	return m.writeText(fmt.Sprintf("%x\r\n%s\r\n", length, strings.Repeat("x", length)))
}

// writeBytes writes a part of a body, and reports whether it could be written.
func (m *member) writeBytes(length int) bool { return m.writeText(strings.Repeat("x", length)) }

func (m *member) writeText(text string) bool {
	m.SetWriteDeadline(time.Now().Add(sendTimeout)) //nolint:errcheck // The write fails too.
	_, err := io.WriteString(m.Conn, text)
	return err == nil
}

// writeSlowly writes a few bytes at a time.
func (m *member) writeSlowly(text string) {
	for start := time.Now(); time.Since(start) < slowTime && text != ""; time.Sleep(slowPause) {
		part := min(16, len(text))
		if !m.writeText(text[:part]) {
			return
		}
		text = text[part:]
	}
}

// readSlowly reads a byte at a time.
func (m *member) readSlowly() {
	for start := time.Now(); time.Since(start) < slowTime; time.Sleep(slowPause) {
		m.SetReadDeadline(time.Now().Add(slowTime)) //nolint:errcheck // The read fails too.
		if _, err := m.Read(make([]byte, 1)); err != nil {
			return
		}
	}
}

// firstStream is the ID of a connection's first stream; those of callers are odd.
const firstStream = 1

// openStreams opens streams whose bodies do not end, and sends a part of each body.
func (m *member) openStreams(count, bodyBytes int) {
	if !m.writeText(http2.ClientPreface) {
		return
	}
	var out bytes.Buffer
	framer := http2.NewFramer(&out, nil)
	framer.WriteSettings() //nolint:errcheck // A buffer can't fail, here and below.
	for n := range count {
		var fields bytes.Buffer
		encoder := hpack.NewEncoder(&fields)
		encoder.SetMaxDynamicTableSize(0)
		for _, f := range []hpack.HeaderField{
			{Name: ":method", Value: "POST"},
			{Name: ":scheme", Value: "http"},
			{Name: ":authority", Value: m.host},
			{Name: ":path", Value: m.path},
			{Name: "content-length", Value: strconv.Itoa(bufferedBodyBytes)},
		} {
			encoder.WriteField(f) //nolint:errcheck
		}
		id := uint32(firstStream + 2*n)
		framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: fields.Bytes(), EndHeaders: true}) //nolint:errcheck
		if bodyBytes > 0 {
			framer.WriteData(id, false, make([]byte, bodyBytes)) //nolint:errcheck
		}
	}
	m.writeText(out.String())
}

// crowdTimeout bounds the wait until each member of a crowd has sent all or was refused.
const crowdTimeout = 60 * time.Second

// gather opens the crowd's connections and sends on all of them at once. It returns the
// function that closes them, and whether all were done in time.
func (w crowd) gather(address, host, path string) (disperse func(), done bool) {
	members := make(chan *member, w.size)
	var sending sync.WaitGroup
	for range w.size {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				return // It was refused.
			}
			m := &member{Conn: conn, host: host, path: path}
			members <- m
			w.send(m)
		})
	}
	sent := make(chan struct{})
	go func() { sending.Wait(); close(sent) }()
	timer := time.NewTimer(crowdTimeout)
	defer timer.Stop()
	select {
	case <-sent:
		done = true
	case <-timer.C:
	}
	return func() {
		for {
			select {
			case m := <-members:
				m.Close()
			case <-sent:
				if len(members) == 0 {
					return
				}
			}
		}
	}, done
}
