package storer

// The messages of etcd v3's JSON gateway, as far as they are used. 64-bit
// numbers are encoded as strings, keys and values as base64.

// rangeRequest is the body of /v3/kv/range.
type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// keyValue is a pair in a response.
type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
}

// responseHeader is part of each response.
type responseHeader struct {
	Revision int64 `json:"revision,string"`
}

// rangeResponse is the response to a rangeRequest.
type rangeResponse struct {
	Header responseHeader `json:"header"`
	Kvs    []keyValue     `json:"kvs,omitempty"`
	Count  int64          `json:"count,string,omitempty"`
}

// compareMessage is a condition of a transaction.
type compareMessage struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// putRequest writes a value.
type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// deleteRangeRequest removes a key.
type deleteRangeRequest struct {
	Key []byte `json:"key"`
}

// requestOp is one operation of a transaction.
type requestOp struct {
	RequestPut         *putRequest         `json:"request_put,omitempty"`
	RequestDeleteRange *deleteRangeRequest `json:"request_delete_range,omitempty"`
}

// txnRequest is the body of /v3/kv/txn.
type txnRequest struct {
	Compare []compareMessage `json:"compare,omitempty"`
	Success []requestOp      `json:"success,omitempty"`
}

// txnResponse is the response to a txnRequest.
type txnResponse struct {
	Header    responseHeader `json:"header"`
	Succeeded bool           `json:"succeeded,omitempty"`
}

// watchCreateRequest starts a watch.
type watchCreateRequest struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// watchRequest is the body of /v3/watch.
type watchRequest struct {
	CreateRequest watchCreateRequest `json:"create_request"`
}

// eventMessage is a change of one key; an absent type means a put.
type eventMessage struct {
	Type string   `json:"type,omitempty"`
	Kv   keyValue `json:"kv"`
}

// watchResult is one message of a watch.
type watchResult struct {
	Header          responseHeader `json:"header"`
	Created         bool           `json:"created,omitempty"`
	Canceled        bool           `json:"canceled,omitempty"`
	CompactRevision int64          `json:"compact_revision,string,omitempty"`
	Events          []eventMessage `json:"events,omitempty"`
}

// watchResponse wraps a watchResult, as the gateway does for streams.
type watchResponse struct {
	Result watchResult `json:"result"`
}

// leaseGrantRequest is the body of /v3/lease/grant. TTL is in seconds.
type leaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
	ID  int64 `json:"ID,string,omitempty"`
}

// leaseRequest is the body of /v3/lease/keepalive and /v3/lease/revoke.
type leaseRequest struct {
	ID int64 `json:"ID,string"`
}

// leaseResponse is the response to a lease request.
type leaseResponse struct {
	Header responseHeader `json:"header"`
	ID     int64          `json:"ID,string,omitempty"`
	TTL    int64          `json:"TTL,string,omitempty"`
}

// leaseKeepAliveResponse wraps a leaseResponse, as the gateway does for streams.
type leaseKeepAliveResponse struct {
	Result leaseResponse `json:"result"`
}
