// Package explainer reads the log lines of instances and reconstructs what happened to
// a call, and the state of an instance at a time.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const maxLineBytes = 1 << 20

// decisionMessage is the message of the lines of the decision log.
const decisionMessage = "decision"

// Line is one log line of an instance.
type Line struct {
	at       time.Time
	instance string
	message  string
	fields   lineFields
	raw      []byte
}

// lineFields are the JSON fields of a log line that an explanation uses.
type lineFields struct {
	Time       time.Time `json:"time"`
	At         time.Time `json:"at"`
	Instance   string    `json:"instance"`
	Message    string    `json:"message"`
	ID         string    `json:"request-id"`
	Choice     string    `json:"choice"`
	Reason     string    `json:"reason"`
	Service    string    `json:"service"`
	Attempt    int       `json:"attempt"`
	Worker     string    `json:"worker"`
	Candidates string    `json:"candidates"`
	Error      string    `json:"error"`
	Status     int       `json:"status"`
	TargetMs   float64   `json:"target-ms"`
	WaitedMs   float64   `json:"waited-ms"`
	TookMs     float64   `json:"took-ms"`
	Revision   int64     `json:"revision"`
	ActiveMs   float64   `json:"active-ms"`
}

// At returns when the logged event happened, by the instance's clock.
func (l Line) At() time.Time { return l.at }

// Instance returns the name of the instance that wrote the line.
func (l Line) Instance() string { return l.instance }

// Message returns the log message, which is the kind of the line.
func (l Line) Message() string { return l.message }

// Raw returns the JSON object of the line as it was read.
func (l Line) Raw() []byte { return l.raw }

// Read reads the log lines of one or more instances. It skips any text before the
// first brace of a line, and lines that are not JSON objects: logs may have prefixes
// and be mixed with the output of other programs.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	return lines, nil
}

// parseLine parses a log line, and returns false if it is not one.
func parseLine(text []byte) (Line, bool) {
	brace := bytes.IndexByte(text, '{')
	if brace < 0 {
		return Line{}, false
	}
	raw := slices.Clone(text[brace:])
	var f lineFields
	if err := json.Unmarshal(raw, &f); err != nil || f.Message == "" {
		return Line{}, false
	}
	l := Line{at: f.Time, instance: f.Instance, message: f.Message, fields: f, raw: raw}
	if !f.At.IsZero() { // Decisions are written asynchronously, slightly after they are made.
		l.at = f.At
	}
	return l, true
}

// sortByTime sorts lines by time in place; lines of the same time keep their order.
func sortByTime(lines []Line) []Line {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.at.Compare(b.at) })
	return lines
}
