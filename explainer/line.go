// Package explainer reads the log lines of instances and tells what happened to a
// call, and what an instance believed at a time.
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

const longestLine = 1 << 20

// decisionMessage is that of the lines about calls.
const decisionMessage = "decision"

// Line is one log line of an instance.
type Line struct {
	at       time.Time
	instance string
	message  string
	fields   fields
	raw      []byte
}

// fields are those that the explanation uses.
type fields struct {
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
}

// At returns when what the line tells happened, by the instance's clock.
func (l Line) At() time.Time { return l.at }

// Instance returns whose line it is.
func (l Line) Instance() string { return l.instance }

// Message returns the kind of the line.
func (l Line) Message() string { return l.message }

// Raw returns the line as it was read.
func (l Line) Raw() []byte { return l.raw }

// Read reads lines of one or more instances. What is before the first brace of a
// line is passed over, as are lines that are no JSON objects: logs come with other
// programs' output between.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, longestLine)
	var lines []Line
	for scanner.Scan() {
		if l, ok := parse(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	return lines, nil
}

func parse(text []byte) (Line, bool) {
	from := bytes.IndexByte(text, '{')
	if from < 0 {
		return Line{}, false
	}
	raw := slices.Clone(text[from:])
	var f fields
	if err := json.Unmarshal(raw, &f); err != nil || f.Message == "" {
		return Line{}, false
	}
	l := Line{at: f.Time, instance: f.Instance, message: f.Message, fields: f, raw: raw}
	if !f.At.IsZero() { // Decisions are written a little later than they are made.
		l.at = f.At
	}
	return l, true
}

// inOrder sorts lines by their time, and those of the same time as they were read.
func inOrder(lines []Line) []Line {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.at.Compare(b.at) })
	return lines
}
