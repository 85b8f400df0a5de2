package storer

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
)

// NewHandler serves the in-memory store by the protocol of etcd v3's JSON gateway,
// for the emulator of the platform.
func NewHandler(m *Memory) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v3/kv/range", handleJSON(m.serveRange)).Methods(http.MethodPost)
	router.HandleFunc("/v3/kv/txn", handleJSON(m.serveTxn)).Methods(http.MethodPost)
	router.HandleFunc("/v3/lease/grant", handleJSON(m.serveGrant)).Methods(http.MethodPost)
	router.HandleFunc("/v3/lease/keepalive", handleJSON(m.serveKeepAlive)).Methods(http.MethodPost)
	router.HandleFunc("/v3/lease/revoke", handleJSON(m.serveRevoke)).Methods(http.MethodPost)
	router.HandleFunc("/v3/watch", m.serveWatch).Methods(http.MethodPost)
	return router
}

// handleJSON returns a handler that decodes a request, serves it and encodes the
// response.
func handleJSON[Q, A any](serve func(Q) A) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Q
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(serve(request)) //nolint:errcheck // Fails only if the client has disconnected.
	}
}

func (m *Memory) serveRange(request rangeRequest) rangeResponse {
	result := m.Range(string(request.Key))
	response := rangeResponse{Header: responseHeader{Revision: result.revision.Number()}, Count: int64(len(result.pairs))}
	for _, pair := range result.pairs {
		response.Kvs = append(response.Kvs, pair.message())
	}
	return response
}

func (p Pair) message() keyValue {
	return keyValue{Key: []byte(p.key), Value: p.value, ModRevision: p.revision.Number()}
}

func (m *Memory) serveTxn(request txnRequest) txnResponse {
	var t Txn
	for _, c := range request.Compare {
		t.Compare(string(c.Key), etcdRevision(c.ModRevision))
	}
	for _, op := range request.Success {
		switch {
		case op.RequestPut != nil:
			t.PutLeased(string(op.RequestPut.Key), op.RequestPut.Value, etcdLease(op.RequestPut.Lease))
		case op.RequestDeleteRange != nil:
			t.Delete(string(op.RequestDeleteRange.Key))
		}
	}
	result := m.Commit(t)
	return txnResponse{Header: responseHeader{Revision: result.revision.Number()}, Succeeded: result.succeeded}
}

func (m *Memory) serveGrant(request leaseGrantRequest) leaseResponse {
	return leaseResponse{ID: m.Grant(time.Duration(request.TTL)*time.Second, request.ID), TTL: request.TTL}
}

func (m *Memory) serveKeepAlive(request leaseRequest) leaseKeepAliveResponse {
	ttl := m.KeepAlive(request.ID)
	return leaseKeepAliveResponse{Result: leaseResponse{ID: request.ID, TTL: int64(ttl.Seconds())}}
}

func (m *Memory) serveRevoke(request leaseRequest) leaseResponse {
	m.Revoke(request.ID)
	return leaseResponse{}
}

func (m *Memory) serveWatch(w http.ResponseWriter, r *http.Request) {
	var request watchRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	send := func(result watchResult) {
		json.NewEncoder(w).Encode(watchResponse{Result: result}) //nolint:errcheck // The request's context ends if the client has disconnected.
		http.NewResponseController(w).Flush()                    //nolint:errcheck // The request's context ends if the client has disconnected.
	}
	w.Header().Set("Content-Type", "application/json")
	create := request.CreateRequest
	after := etcdRevision(create.StartRevision - 1)
	if create.StartRevision == 0 {
		after = m.Range(string(create.Key)).revision
	}
	send(watchResult{Created: true})
	err := m.Watch(r.Context(), string(create.Key), after, func(b Batch) { send(b.message()) })
	var compacted *CompactedError
	if errors.As(err, &compacted) {
		send(watchResult{Canceled: true, CompactRevision: compacted.revision.Number() + 1})
	}
}

func (b Batch) message() watchResult {
	result := watchResult{Header: responseHeader{Revision: b.revision.Number()}}
	for _, e := range b.events {
		message := eventMessage{Kv: e.pair.message()}
		if e.deleted {
			message.Type = deleteEvent
		}
		result.Events = append(result.Events, message)
	}
	return result
}
