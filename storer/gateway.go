package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"burdocklane/holder"
	"burdocklane/timekeeper"

	"github.com/go-faster/errors"
)

const (
	defaultCallTimeout = 3 * time.Second
	maxMessageBytes    = 8 << 20
	deleteEvent        = "DELETE"
)

// Gateway is a client of etcd v3's JSON gateway.
type Gateway struct {
	base    string
	client  *http.Client
	timeout time.Duration
	reads   atomic.Int64
	writes  atomic.Int64
	bytes   atomic.Int64
}

// GatewayOption sets one property of a Gateway.
type GatewayOption func(*Gateway)

// WithCallTimeout sets how long the response to a call may take to begin, and how long it
// may stand still. Watches have no timeout.
func WithCallTimeout(d time.Duration) GatewayOption { return func(g *Gateway) { g.timeout = d } }

// NewGateway returns a client of the gateway at the base URL.
func NewGateway(base string, opts ...GatewayOption) *Gateway {
	g := &Gateway{
		base:    strings.TrimSuffix(base, "/"),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}},
		timeout: defaultCallTimeout,
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Close closes the idle connections.
func (g *Gateway) Close() { g.client.CloseIdleConnections() }

// Reads returns the number of read calls made. A watch counts as one.
func (g *Gateway) Reads() int64 { return g.reads.Load() }

// Writes returns the number of write calls made.
func (g *Gateway) Writes() int64 { return g.writes.Load() }

// Bytes returns the number of body bytes sent and received.
func (g *Gateway) Bytes() int64 { return g.bytes.Load() }

// prefixEnd returns the end of the range of all keys with the prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

func (g *Gateway) rangePrefix(ctx context.Context, prefix string) (RangeResult, error) {
	g.reads.Add(1)
	var response rangeResponse
	request := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	if err := call(ctx, g, "range", "/v3/kv/range", request, &response); err != nil {
		return RangeResult{}, err
	}
	result := RangeResult{revision: etcdRevision(response.Header.Revision), pairs: make([]Pair, 0, len(response.Kvs))}
	for _, kv := range response.Kvs {
		result.pairs = append(result.pairs, kv.pair())
	}
	return result, nil
}

func (kv keyValue) pair() Pair {
	return Pair{key: string(kv.Key), value: kv.Value, revision: etcdRevision(kv.ModRevision)}
}

func (g *Gateway) commit(ctx context.Context, t Txn) (TxnResult, error) {
	g.writes.Add(1)
	var request txnRequest
	for _, c := range t.compares {
		request.Compare = append(request.Compare, compareMessage{
			Key: []byte(c.key), Target: "MOD", Result: "EQUAL", ModRevision: c.revision.Number(),
		})
	}
	for _, w := range t.writes {
		request.Success = append(request.Success, w.message())
	}
	var response txnResponse
	if err := call(ctx, g, "txn", "/v3/kv/txn", request, &response); err != nil {
		return TxnResult{}, err
	}
	return TxnResult{succeeded: response.Succeeded, revision: etcdRevision(response.Header.Revision)}, nil
}

func (w write) message() requestOp {
	if w.deleted {
		return requestOp{RequestDeleteRange: &deleteRangeRequest{Key: []byte(w.key)}}
	}
	return requestOp{RequestPut: &putRequest{Key: []byte(w.key), Value: w.value, Lease: w.lease.ID()}}
}

func (g *Gateway) grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	g.writes.Add(1)
	var response leaseResponse
	err := call(ctx, g, "lease grant", "/v3/lease/grant", leaseGrantRequest{TTL: int64(ttl.Seconds())}, &response)
	return etcdLease(response.ID), err
}

func (g *Gateway) keepAlive(ctx context.Context, lease Lease) (bool, error) {
	g.writes.Add(1)
	var response leaseKeepAliveResponse
	err := call(ctx, g, "lease keepalive", "/v3/lease/keepalive", leaseRequest{ID: lease.ID()}, &response)
	return response.Result.TTL > 0, err
}

func (g *Gateway) revoke(ctx context.Context, lease Lease) error {
	g.writes.Add(1)
	return call(ctx, g, "lease revoke", "/v3/lease/revoke", leaseRequest{ID: lease.ID()}, &leaseResponse{})
}

// call posts a request and decodes the response into result.
func call[Q, A any](ctx context.Context, g *Gateway, operation, path string, request Q, result *A) error {
	exchange := timekeeper.New(ctx, g.timeout, g.timeout)
	defer exchange.Close()
	response, err := post(exchange.Context(), g, operation, path, request)
	if err != nil {
		return exchange.Reason(err)
	}
	defer response.Body.Close()
	data, err := exchange.ReadBody(response.Body, maxMessageBytes)
	if err != nil {
		return errors.Wrapf(err, "store: %s", operation)
	}
	g.bytes.Add(int64(len(data)))
	if err := json.Unmarshal(data, result); err != nil {
		return errors.Wrapf(err, "store: %s", operation)
	}
	return nil
}

func post[Q any](ctx context.Context, g *Gateway, operation, path string, request Q) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrapf(err, "store: %s", operation)
	}
	g.bytes.Add(int64(len(body)))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, g.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "store: %s", operation)
	}
	r.Header.Set("Content-Type", "application/json")
	r.GetBody = nil // The transport must not resend a request whose response may be lost.
	response, err := g.client.Do(r)
	if err != nil {
		return nil, errors.Wrapf(err, "store: %s", operation)
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		message, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return nil, &StatusError{operation: operation, status: response.StatusCode, message: string(message)}
	}
	return response, nil
}

// watch reads the stream of a watch until an error.
func (g *Gateway) watch(ctx context.Context, prefix string, after Revision, receive func(Batch)) error {
	g.reads.Add(1)
	request := watchRequest{CreateRequest: watchCreateRequest{
		Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: after.Number() + 1,
	}}
	response, err := post(ctx, g, "watch", "/v3/watch", request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	reader := &messageReader{from: response.Body, count: &g.bytes}
	decoder := json.NewDecoder(reader)
	for {
		var message watchResponse
		reader.left = maxMessageBytes
		if err := decoder.Decode(&message); err != nil {
			return errors.Wrap(err, "store: watch")
		}
		result := message.Result
		if result.CompactRevision > 0 {
			return &CompactedError{revision: etcdRevision(result.CompactRevision)}
		}
		if result.Canceled {
			return errors.New("store: watch was cancelled")
		}
		if len(result.Events) > 0 {
			receive(newBatch(result))
		}
	}
}

func newBatch(result watchResult) Batch {
	batch := Batch{revision: etcdRevision(result.Header.Revision)}
	for _, e := range result.Events {
		batch.events = append(batch.events, Event{pair: e.Kv.pair(), deleted: e.Type == deleteEvent})
	}
	return batch
}

// messageReader counts the bytes that it reads and bounds those of a message.
type messageReader struct {
	from  io.Reader
	count *atomic.Int64
	left  int64 // How much more may be read until the message ends.
}

// Read implements io.Reader. The error is a *holder.TooLongError if a message does not
// end within its limit.
func (r *messageReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, holder.NewTooLongError(maxMessageBytes)
	}
	n, err := r.from.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	r.count.Add(int64(n))
	return n, err
}
