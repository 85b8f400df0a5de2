package inspector

import (
	"time"

	"burdocklane/budgeter"
	"burdocklane/exchanger"
	"burdocklane/lender"
)

// Fleet reads the state of the instance's peers.
type Fleet struct {
	exchanger *exchanger.Exchanger
	lender    *lender.Lender
}

// NewFleet returns a Fleet that reads the current state of the exchanger and the
// lender on each use.
func NewFleet(x *exchanger.Exchanger, l *lender.Lender) Fleet {
	return Fleet{exchanger: x, lender: l}
}

// WithFleet sets the source of the state of peers.
func (s Sources) WithFleet(f Fleet) Sources { s.fleet = f; return s }

// WithMeasurementBudget sets the byte budget for measurements, and the function that
// returns how many bytes were actually sent and received.
func (s Sources) WithMeasurementBudget(budget *budgeter.ByteBudget, bytes func() int64) Sources {
	s.byteBudget, s.measurementBytes = budget, bytes
	return s
}

func (f Fleet) message() fleetMessage {
	message := fleetMessage{
		Epoch:       f.exchanger.Epoch(),
		PeerContact: timeOrNil(f.exchanger.LastContact()),
		LocalPeers:  []string{},
		SlotsLent:   f.lender.LentSlots(),
		Repairs:     []string{},
	}
	for _, peer := range f.exchanger.LocalPeers() {
		message.LocalPeers = append(message.LocalPeers, string(peer.ID()))
	}
	for _, repair := range f.exchanger.Repairs() {
		message.Repairs = append(message.Repairs, repair.At().Format(time.RFC3339)+" "+repair.Description())
	}
	return message
}

func newMeasuringMessage(s Sources) measuringMessage {
	policy := "lending and own observations"
	if s.byteBudget.Exhausted(lender.BorrowBytes) {
		policy = "own observations only: the measuring budget is spent"
	}
	return measuringMessage{
		ReservedBytes: s.byteBudget.Spent(),
		Bytes:         s.measurementBytes(),
		Refused:       s.byteBudget.Refused(),
		Policy:        policy,
	}
}

// ControlTraffic is the control-plane traffic of the instance since its start.
type ControlTraffic struct {
	peerBytes  int64
	storeBytes int64
	listBytes  int64
	storeCalls int64
}

// NewControlTraffic returns the traffic: the bytes exchanged with peers, the store and
// the platform's list, and the number of store calls. Each watch counts as one
// call.
func NewControlTraffic(peerBytes, storeBytes, listBytes, storeCalls int64) ControlTraffic {
	return ControlTraffic{peerBytes: peerBytes, storeBytes: storeBytes, listBytes: listBytes, storeCalls: storeCalls}
}

// Bytes returns the total number of bytes.
func (c ControlTraffic) Bytes() int64 { return c.peerBytes + c.storeBytes + c.listBytes }

// StoreCalls returns the number of store calls.
func (c ControlTraffic) StoreCalls() int64 { return c.storeCalls }

// WithControlTraffic sets the function that returns the control-plane traffic.
func (s Sources) WithControlTraffic(control func() ControlTraffic) Sources {
	s.control = control
	return s
}

func (c ControlTraffic) message() controlMessage {
	return controlMessage{PeerBytes: c.peerBytes, StoreBytes: c.storeBytes, ListBytes: c.listBytes, StoreCalls: c.storeCalls}
}
