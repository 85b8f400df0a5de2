package emulator

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// JournalEntry records one call that an emulated worker started to run.
type JournalEntry struct {
	id             string
	method         string
	path           string
	idempotencyKey string
	worker         string
	startedAt      time.Time
}

type entryMessage struct {
	ID     string    `json:"request-id"`
	Method string    `json:"method"`
	Path   string    `json:"path"`
	Key    string    `json:"idempotency-key,omitempty"`
	Worker string    `json:"worker"`
	At     time.Time `json:"at"`
}

// ID returns the request ID.
func (e JournalEntry) ID() string { return e.id }

// Method returns the HTTP method.
func (e JournalEntry) Method() string { return e.method }

// Path returns the path of the request.
func (e JournalEntry) Path() string { return e.path }

// IdempotencyKey returns the idempotency key, or "" if the call has none.
func (e JournalEntry) IdempotencyKey() string { return e.idempotencyKey }

// Worker returns the ID of the worker that ran the call.
func (e JournalEntry) Worker() string { return e.worker }

// StartedAt returns when the call started to run.
func (e JournalEntry) StartedAt() time.Time { return e.startedAt }

// journal records the calls that a worker ran, for comparison with what the
// callers saw. Each entry is written before its call runs, so that it survives
// a worker that is killed.
type journal struct {
	mutex   sync.Mutex
	entries []JournalEntry
	file    *os.File
}

func newJournal(path string) (*journal, error) {
	if path == "" {
		return &journal{}, nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return &journal{file: file}, errors.Wrap(err, "open journal")
	}
	return &journal{file: file}, nil
}

func (j *journal) add(e JournalEntry) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.file == nil {
		j.entries = append(j.entries, e)
		return
	}
	data, err := json.Marshal(e.message())
	if err != nil {
		return
	}
	j.file.Write(append(data, '\n')) //nolint:errcheck // The check that reads the journal fails on a missing entry.
}

func (e JournalEntry) message() entryMessage {
	return entryMessage{ID: e.id, Method: e.method, Path: e.path, Key: e.idempotencyKey, Worker: e.worker, At: e.startedAt}
}

func (j *journal) all() []JournalEntry {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return append([]JournalEntry(nil), j.entries...)
}

func (j *journal) close() {
	if j.file != nil {
		j.file.Close()
	}
}

// ReadJournal decodes a journal, one JSON entry per line, as it is written to a
// file and returned by GET /emulate/journal.
func ReadJournal(r io.Reader) ([]JournalEntry, error) {
	var entries []JournalEntry
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		var m entryMessage
		if err := json.Unmarshal(scanner.Bytes(), &m); err != nil {
			return entries, errors.Wrapf(err, "journal line %d", len(entries)+1)
		}
		entries = append(entries, JournalEntry{id: m.ID, method: m.Method, path: m.Path, idempotencyKey: m.Key, worker: m.Worker, startedAt: m.At})
	}
	if err := scanner.Err(); err != nil {
		return entries, errors.Wrap(err, "read journal")
	}
	return entries, nil
}
