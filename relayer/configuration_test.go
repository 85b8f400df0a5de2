package relayer

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"burdocklane/confirmer"
	"burdocklane/descriptor"
	"burdocklane/holder"
	"burdocklane/storer"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

// Guards against an instance that is no relay, or has lost the store, and keeps the
// configuration that it has in force from peers which have an older one.
func TestConfigurationIsServedByEachInstance(t *testing.T) {
	const value = `{"Version":"r2", "Routes":{"a<b":{}}}`
	tests := []struct {
		name         string
		followsStore bool
		publish      func(r *Relay)
		status       int // Of the error, or 0.
	}{
		{"no configuration", true, func(*Relay) {}, http.StatusNotFound},
		{"not a relay", true, func(r *Relay) { r.PublishConfiguration(2, []byte(value)) }, 0},
		{"lost the store", false, func(r *Relay) { r.PublishConfiguration(2, []byte(value)) }, 0},
		{"replaced", false, func(r *Relay) {
			r.PublishConfiguration(1, []byte(`{"Version":"r1"}`))
			r.PublishConfiguration(2, []byte(value))
		}, 0},
		{"suspended", true, func(r *Relay) {
			r.PublishConfiguration(2, []byte(value))
			r.Suspend()
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			c := qt.New(t)
			r, err := New("127.0.0.1:0", func() bool { return test.followsStore }, zerolog.Nop())
			c.Assert(err, qt.IsNil)
			defer r.Close()
			test.publish(r)
			client := NewConfigurationClient()
			defer client.Close()
			got, err := client.Fetch(context.Background(), r.Address())
			if test.status != 0 {
				var status *storer.StatusError
				c.Assert(errors.As(err, &status), qt.IsTrue, qt.Commentf("%v", err))
				c.Assert(status.Status(), qt.Equals, test.status)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(string(got), qt.Equals, value)
		})
	}
}

// Guards against a response of a peer that is taken over in part, is read without end,
// or ends the process.
func TestOddConfigurationsOfPeers(t *testing.T) {
	tests := []struct {
		name    string
		status  int
		body    string
		tooLong bool
	}{
		{"truncated", http.StatusOK, `{"Version":"r2"`, false},
		{"no JSON", http.StatusOK, "Version", false},
		{"empty", http.StatusOK, "", false},
		{"gone", http.StatusGone, "", false},
		{"busy", http.StatusServiceUnavailable, `{"Version":"r2"}`, false},
		{"too long", http.StatusOK, `"` + strings.Repeat("a", maxResponseBytes) + `"`, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				w.Write([]byte(test.body)) //nolint:errcheck // The client stops reading.
			}))
			defer server.Close()
			client := NewConfigurationClient()
			defer client.Close()
			_, err := client.Fetch(context.Background(), strings.TrimPrefix(server.URL, "http://"))
			c.Assert(err, qt.IsNotNil)
			var tooLong *holder.TooLongError
			c.Assert(errors.As(err, &tooLong), qt.Equals, test.tooLong, qt.Commentf("%v", err))
		})
	}
}

// Guards against a whole configuration for each instance that starts and has it already,
// and against a peer without one that counts as one that agrees.
func TestQuestionForALaterConfiguration(t *testing.T) {
	const value = `{"Version":"r5"}`
	tests := []struct {
		name    string
		version descriptor.Revision // In force at the peer, or 0.
		asked   descriptor.Revision
		answer  confirmer.Answer
	}{
		{"none in force", 0, 4, confirmer.NoConfiguration{}},
		{"an earlier one", 5, 6, confirmer.NotLater{}},
		{"the same one", 5, 5, confirmer.NotLater{}},
		{"a later one", 5, 4, confirmer.NewLater([]byte(value))},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			c := qt.New(t)
			r, err := New("127.0.0.1:0", func() bool { return true }, zerolog.Nop())
			c.Assert(err, qt.IsNil)
			defer r.Close()
			if test.version > 0 {
				r.PublishConfiguration(test.version, []byte(value))
			}
			client := NewConfigurationClient()
			defer client.Close()
			answer := client.Ask(context.Background(), r.Address(), test.asked)
			c.Assert(fmt.Sprintf("%T %s", answer, answer), qt.Equals, fmt.Sprintf("%T %s", test.answer, test.answer))
		})
	}
}

// Guards against a peer that is not reachable, or answers something else, and counts as
// one that agrees.
func TestQuestionWithoutAnAnswer(t *testing.T) {
	tests := []struct {
		name   string
		status int // Or 0 for a peer that does not run.
		body   string
	}{
		{"does not run", 0, ""},
		{"busy", http.StatusServiceUnavailable, ""},
		{"truncated", http.StatusOK, `{"Version":"r5"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				w.Write([]byte(test.body)) //nolint:errcheck // The client may not read it.
			}))
			defer server.Close()
			if test.status == 0 {
				server.Close()
			}
			client := NewConfigurationClient()
			defer client.Close()
			_, unknown := client.Ask(context.Background(), strings.TrimPrefix(server.URL, "http://"), 1).(confirmer.Unknown)
			qt.Assert(t, unknown, qt.IsTrue)
		})
	}
}
