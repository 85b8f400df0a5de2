package scheduler

import (
	"bytes"
	"math"
	"time"

	"burdocklane/decoder"
	"burdocklane/granter"
)

// maxDemands is the number of demands that fit into a datagram.
const maxDemands = 200

// tokenRequest is a holder's request for tokens. Count demands follow it.
type tokenRequest struct {
	Kind    kind
	Flags   tokenFlags
	Count   uint16
	Holder  uint32 // Hash of the holder's ID.
	Process uint32
	Number  uint32
	Epoch   uint32
	Stamp   int64 // Of the owner's last reply, in nanoseconds of its clock.
}

type tokenDemand struct {
	Tenant uint32 // Hash of the tenant's name.
	Held   uint16
	Wanted uint16
}

// tokenReply answers a request for tokens. Count grants follow it.
type tokenReply struct {
	Kind   kind
	Flags  tokenFlags
	Count  uint16
	Owner  uint32 // Hash of the owner's ID.
	Number uint32
	Epoch  uint32
	Stamp  int64
}

type tokenGrant struct {
	Tenant uint32
	Tokens uint16
	Flags  tokenFlags
}

// tokenFlags are properties of a request, a reply or a grant.
type tokenFlags uint8

const (
	flagVotes     tokenFlags = 1 << iota // The holder votes for the owner.
	flagInTouch                          // A confirmed owner answered the holder lately.
	flagSettled                          // The holder had not changed its owner lately.
	flagConfirmed                        // The owner has the votes of most coordinators.
	flagExhausted                        // The tenant has used up its limit.
)

func (f tokenFlags) has(flag tokenFlags) bool { return f&flag != 0 }

func (f tokenFlags) setIf(flag tokenFlags, condition bool) tokenFlags {
	if condition {
		return f | flag
	}
	return f
}

func clampUint16(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// encodeTokenRequest returns the datagram for a request.
func encodeTokenRequest(r granter.Request) ([]byte, error) {
	demands := make([]tokenDemand, 0, len(r.Demands()))
	for _, d := range r.Demands() {
		demands = append(demands, tokenDemand{Tenant: d.Tenant(), Held: clampUint16(d.Held()), Wanted: clampUint16(d.Wanted())})
	}
	header := tokenRequest{
		Kind: kindTokenRequest, Count: uint16(len(demands)),
		Flags:  tokenFlags(0).setIf(flagVotes, r.Votes()).setIf(flagInTouch, r.InTouch()).setIf(flagSettled, r.Settled()),
		Holder: r.Holder(), Process: r.Process(), Number: r.Number(),
		Epoch: r.Stamp().Epoch(), Stamp: int64(r.Stamp().At()),
	}
	return encodeList(header, demands)
}

// encodeTokenReply returns the datagram for a reply.
func encodeTokenReply(r granter.Reply) ([]byte, error) {
	grants := make([]tokenGrant, 0, len(r.Grants()))
	for _, g := range r.Grants() {
		grants = append(grants, tokenGrant{Tenant: g.Tenant(), Tokens: clampUint16(g.Tokens()), Flags: tokenFlags(0).setIf(flagExhausted, g.IsExhausted())})
	}
	header := tokenReply{
		Kind: kindTokenReply, Count: uint16(len(grants)), Flags: tokenFlags(0).setIf(flagConfirmed, r.Confirmed()),
		Owner: r.Owner(), Number: r.Number(), Epoch: r.Stamp().Epoch(), Stamp: int64(r.Stamp().At()),
	}
	return encodeList(header, grants)
}

func encodeList(header, list any) ([]byte, error) {
	data, err := decoder.Append(nil, header)
	if err != nil {
		return nil, err
	}
	return decoder.Append(data, list)
}

func decodeTokenRequest(data []byte) (any, error) {
	var header tokenRequest
	reader := bytes.NewReader(data)
	if err := decoder.Read(reader, &header); err != nil {
		return nil, err
	}
	list, err := decodeList[tokenDemand](reader, header.Count)
	if err != nil {
		return nil, err
	}
	demands := make([]granter.Demand, 0, len(list))
	for _, d := range list {
		demands = append(demands, granter.NewDemand(d.Tenant, int(d.Held), int(d.Wanted)))
	}
	options := []granter.RequestOption{granter.WithDemands(demands)}
	if header.Flags.has(flagVotes) {
		stamp := granter.NewStamp(header.Epoch, time.Duration(header.Stamp))
		options = append(options, granter.WithVote(stamp, header.Flags.has(flagInTouch), header.Flags.has(flagSettled)))
	}
	return granter.NewRequest(header.Holder, header.Process, header.Number, options...), nil
}

func decodeTokenReply(data []byte) (any, error) {
	var header tokenReply
	reader := bytes.NewReader(data)
	if err := decoder.Read(reader, &header); err != nil {
		return nil, err
	}
	list, err := decodeList[tokenGrant](reader, header.Count)
	if err != nil {
		return nil, err
	}
	grants := make([]granter.Grant, 0, len(list))
	for _, g := range list {
		grants = append(grants, granter.NewGrant(g.Tenant, int(g.Tokens), g.Flags.has(flagExhausted)))
	}
	stamp := granter.NewStamp(header.Epoch, time.Duration(header.Stamp))
	return granter.NewReply(header.Owner, header.Number, stamp, header.Flags.has(flagConfirmed), grants), nil
}

func decodeList[T any](reader *bytes.Reader, count uint16) ([]T, error) {
	if count > maxDemands {
		return nil, decoder.NewDatagramError("too many tenants")
	}
	list := make([]T, count)
	return list, decoder.Read(reader, list)
}
