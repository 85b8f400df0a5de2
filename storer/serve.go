package storer

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
)

// NewHandler serves the memory store by the JSON gateway's protocol, for the
// stand-in of the platform.
func NewHandler(m *Memory) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v3/kv/range", answer(m.serveRange)).Methods(http.MethodPost)
	router.HandleFunc("/v3/kv/txn", answer(m.serveTxn)).Methods(http.MethodPost)
	router.HandleFunc("/v3/lease/grant", answer(m.serveGrant)).Methods(http.MethodPost)
	router.HandleFunc("/v3/lease/keepalive", answer(m.serveKeepAlive)).Methods(http.MethodPost)
	router.HandleFunc("/v3/lease/revoke", answer(m.serveRevoke)).Methods(http.MethodPost)
	router.HandleFunc("/v3/watch", m.serveWatch).Methods(http.MethodPost)
	return router
}

// answer decodes a message, serves it and encodes the answer.
func answer[Q, A any](serve func(Q) A) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Q
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostMessageBytes)).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(serve(request)) //nolint:errcheck // The client has gone.
	}
}

func (m *Memory) serveRange(q rangeRequest) rangeResponse {
	page := m.Range(string(q.Key))
	a := rangeResponse{Header: responseHeader{Revision: page.revision}, Count: int64(len(page.pairs))}
	for _, pair := range page.pairs {
		a.Kvs = append(a.Kvs, pair.message())
	}
	return a
}

func (p Pair) message() keyValue {
	return keyValue{Key: []byte(p.key), Value: p.value, ModRevision: p.revision}
}

func (m *Memory) serveTxn(q txnRequest) txnResponse {
	var t Txn
	for _, c := range q.Compare {
		t.Compare(string(c.Key), c.ModRevision)
	}
	for _, op := range q.Success {
		switch {
		case op.RequestPut != nil:
			t.PutLeased(string(op.RequestPut.Key), op.RequestPut.Value, op.RequestPut.Lease)
		case op.RequestDeleteRange != nil:
			t.Delete(string(op.RequestDeleteRange.Key))
		}
	}
	done := m.Commit(t)
	return txnResponse{Header: responseHeader{Revision: done.revision}, Succeeded: done.succeeded}
}

func (m *Memory) serveGrant(q leaseGrantRequest) leaseResponse {
	return leaseResponse{ID: m.Grant(time.Duration(q.TTL)*time.Second, q.ID), TTL: q.TTL}
}

func (m *Memory) serveKeepAlive(q leaseRequest) leaseKeepAliveResponse {
	ttl := m.KeepAlive(q.ID)
	return leaseKeepAliveResponse{Result: leaseResponse{ID: q.ID, TTL: int64(ttl.Seconds())}}
}

func (m *Memory) serveRevoke(q leaseRequest) leaseResponse {
	m.Revoke(q.ID)
	return leaseResponse{}
}

func (m *Memory) serveWatch(w http.ResponseWriter, r *http.Request) {
	var request watchRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostMessageBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	send := func(result watchResult) {
		json.NewEncoder(w).Encode(watchResponse{Result: result}) //nolint:errcheck // Ends with the context.
		http.NewResponseController(w).Flush()                    //nolint:errcheck // Ends with the context.
	}
	w.Header().Set("Content-Type", "application/json")
	create := request.CreateRequest
	from := create.StartRevision
	if from == 0 {
		from = m.Range(string(create.Key)).revision + 1
	}
	send(watchResult{Created: true})
	err := m.Watch(r.Context(), string(create.Key), from, func(b Batch) { send(b.message()) })
	var compacted *CompactedError
	if errors.As(err, &compacted) {
		send(watchResult{Canceled: true, CompactRevision: compacted.revision + 1})
	}
}

func (b Batch) message() watchResult {
	result := watchResult{Header: responseHeader{Revision: b.revision}}
	for _, e := range b.events {
		message := eventMessage{Kv: e.pair.message()}
		if e.deleted {
			message.Type = deleteEvent
		}
		result.Events = append(result.Events, message)
	}
	return result
}
