package storer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"burdocklane/emulator"
	"burdocklane/holder"
	"burdocklane/storer"
	"burdocklane/throttler"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

// stores returns an in-memory store, and a client of one behind the gateway's
// protocol.
func stores(c *qt.C) []storer.Store {
	memory := storer.NewMemory()
	server := httptest.NewServer(storer.NewHandler(memory))
	c.Cleanup(server.Close)
	gateway := storer.NewGateway(server.URL)
	c.Cleanup(gateway.Close)
	return []storer.Store{storer.NewMemory(), gateway}
}

func commit(c *qt.C, s storer.Store, edit func(*storer.Txn)) storer.TxnResult {
	var t storer.Txn
	edit(&t)
	result, err := storer.Commit(context.Background(), s, t)
	c.Assert(err, qt.IsNil)
	return result
}

func TestCompareAndSwap(t *testing.T) {
	c := qt.New(t)
	for _, s := range stores(c) {
		first := commit(c, s, func(t *storer.Txn) {
			t.Compare("/a", storer.Revision{})
			t.Put("/a", []byte("1"))
			t.Put("/b", []byte("2"))
		})
		c.Assert(first.Succeeded(), qt.IsTrue)
		again := commit(c, s, func(t *storer.Txn) { t.Compare("/a", storer.Revision{}); t.Put("/a", []byte("lost")) })
		c.Assert(again.Succeeded(), qt.IsFalse)
		c.Assert(again.Revision(), qt.Equals, first.Revision())
		next := commit(c, s, func(t *storer.Txn) { t.Compare("/a", first.Revision()); t.Delete("/b") })
		c.Assert(next.Succeeded(), qt.IsTrue)
		result, err := storer.Range(context.Background(), s, "/")
		c.Assert(err, qt.IsNil)
		c.Assert(result.Pairs(), qt.HasLen, 1)
		c.Assert(string(result.Pairs()[0].Value()), qt.Equals, "1")
		c.Assert(result.Pairs()[0].Revision(), qt.Equals, first.Revision())
	}
}

func TestWatchDeliversWholeTransactions(t *testing.T) {
	c := qt.New(t)
	for _, s := range stores(c) {
		first := commit(c, s, func(t *storer.Txn) { t.Put("/c/a", []byte("1")) })
		commit(c, s, func(t *storer.Txn) { t.Put("/c/a", []byte("2")); t.Put("/c/b", nil); t.Put("/other", nil) })
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		batches := make(chan storer.Batch, 10)
		ended := make(chan error, 1)
		go func() {
			ended <- storer.Watch(ctx, s, "/c/", first.Revision(), func(b storer.Batch) { batches <- b })
		}()
		c.Assert((<-batches).Events(), qt.HasLen, 2)
		commit(c, s, func(t *storer.Txn) { t.Delete("/c/b") })
		last := <-batches
		c.Assert(last.Events(), qt.HasLen, 1)
		c.Assert(last.Events()[0].Deleted(), qt.IsTrue)
		cancel()
		c.Assert(<-ended, qt.Not(qt.IsNil))
	}
}

func TestRevokedLeaseRemovesItsKeysAndCannotWrite(t *testing.T) {
	c := qt.New(t)
	for _, s := range stores(c) {
		lease, err := storer.Grant(context.Background(), s, time.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(commit(c, s, func(t *storer.Txn) { t.PutLeased("/l", nil, lease) }).Succeeded(), qt.IsTrue)
		alive, err := storer.KeepAlive(context.Background(), s, lease)
		c.Assert(err, qt.IsNil)
		c.Assert(alive, qt.IsTrue)
		c.Assert(storer.Revoke(context.Background(), s, lease), qt.IsNil)
		alive, err = storer.KeepAlive(context.Background(), s, lease)
		c.Assert(err, qt.IsNil)
		c.Assert(alive, qt.IsFalse)
		result, err := storer.Range(context.Background(), s, "/l")
		c.Assert(err, qt.IsNil)
		c.Assert(result.Pairs(), qt.HasLen, 0)
		c.Assert(commit(c, s, func(t *storer.Txn) { t.PutLeased("/l", nil, lease) }).Succeeded(), qt.IsFalse)
	}
}

func TestStatusError(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(nil)
	defer server.Close()
	gateway := storer.NewGateway(server.URL)
	defer gateway.Close()
	_, err := storer.Range(context.Background(), gateway, "/")
	var status *storer.StatusError
	c.Assert(errors.As(err, &status), qt.IsTrue)
	c.Assert(status.Status(), qt.Equals, 404)
}

// Guards against a response or a message of a watch without end that is cut without a
// word, or read until the memory is full.
func TestGatewayResponsesWithoutEnd(t *testing.T) {
	tests := []struct{ name, start, part string }{
		{"value", `{"header":{"revision":"8"},"kvs":[{"key":"YQ==","value":"`, "AAAA"},
		{"spaces after a whole message", `{"header":{"revision":"8"}}`, "    "},
		{"a field that is not known", `{"other":"`, "xxxx"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := emulator.NewEndless(test.start, test.part)
			defer server.Close()
			gateway := storer.NewGateway(server.URL)
			defer gateway.Close()
			var tooLong *holder.TooLongError
			_, err := storer.Range(context.Background(), gateway, "/")
			c.Assert(errors.As(err, &tooLong), qt.IsTrue, qt.Commentf("%v", err))
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			err = storer.Watch(ctx, gateway, "/", storer.Revision{}, func(storer.Batch) { c.Error("a batch of a response without end") })
			c.Assert(errors.As(err, &tooLong), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// Guards against a bound that ends a watch after a number of messages.
func TestWatchOfManyLongMessages(t *testing.T) {
	const messages = 12
	c := qt.New(t)
	value := strings.Repeat("AAAA", 1<<18)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for revision := 1; revision <= messages; revision++ {
			fmt.Fprintf(w, `{"result":{"header":{"revision":"%d"},"events":[{"kv":{"key":"YQ==","value":"%s","mod_revision":"%d"}}]}}`, revision, value, revision)
		}
	}))
	defer server.Close()
	gateway := storer.NewGateway(server.URL)
	defer gateway.Close()
	received := 0
	err := storer.Watch(context.Background(), gateway, "/", storer.Revision{}, func(storer.Batch) { received++ })
	c.Assert(errors.Is(err, io.EOF), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(received, qt.Equals, messages)
}

// Guards against a read of all keys that fails each time since it does not arrive over a
// thin link within a call's timeout.
func TestLongReadOverAThinLink(t *testing.T) {
	const (
		linkBytes   = 1_250_000 // What a link of 10 Mbit/s passes on in a second.
		callTimeout = 500 * time.Millisecond
	)
	c := qt.New(t)
	value := strings.Repeat("AAAA", linkBytes/4)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"header":{"revision":"8"},"kvs":[{"key":"YQ==","value":"%s","mod_revision":"8"}]}`, value)
	}))
	defer server.Close()
	link, err := throttler.New(strings.TrimPrefix(server.URL, "http://"), linkBytes)
	c.Assert(err, qt.IsNil)
	defer link.Close()
	gateway := storer.NewGateway("http://"+link.Address(), storer.WithCallTimeout(callTimeout))
	defer gateway.Close()
	result, err := storer.Range(context.Background(), gateway, "/")
	c.Assert(err, qt.IsNil)
	c.Assert(result.Pairs(), qt.HasLen, 1)
}
