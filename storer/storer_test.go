package storer_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"burdocklane/storer"

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
