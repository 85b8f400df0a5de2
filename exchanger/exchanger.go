// Package exchanger implements the protocol between instances: heartbeats,
// membership updates, and the transfer of configuration that a peer lacks.
package exchanger

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/assembler"
	"burdocklane/detector"
	"burdocklane/messenger"
	"burdocklane/publisher"
	"burdocklane/registrar"
	"burdocklane/watcher"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
)

const (
	// heartbeatInterval is the mean time between the heartbeats that an instance
	// sends.
	heartbeatInterval = 250 * time.Millisecond
	// remoteInterval is the interval, in heartbeats, at which one may go to
	// another region.
	remoteInterval = 8
	// announceFanout is the number of peers that an instance contacts at once
	// when it activates a new configuration.
	announceFanout = 3
	// indirectProbes is the number of peers that are asked to probe a peer that
	// did not answer.
	indirectProbes = 2
	// exchangeTimeout bounds one exchange, and indirectTimeout one in which the
	// peer probes a third instance.
	exchangeTimeout = 500 * time.Millisecond
	indirectTimeout = 2 * exchangeTimeout
	// pauseThreshold is the time between heartbeats above which this process is
	// assumed to have been paused.
	pauseThreshold = 2 * time.Second

	headerTimeout = 5 * time.Second
	closeTimeout  = 2 * time.Second
	leaveTimeout  = time.Second
)

// Exchanger serves the peers' port and sends heartbeats to other instances.
type Exchanger struct {
	self      registrar.Instance
	assembler *assembler.Assembler
	watcher   *watcher.Watcher
	publisher *publisher.Publisher
	log       zerolog.Logger
	started   time.Time
	client    *http.Client
	scheme    string
	server    *http.Server
	listener  net.Listener
	sent      atomic.Int64
	received  atomic.Int64
	repairs   *repairs

	mutex          sync.Mutex // Guards the fields below. Never held during an exchange.
	detector       *detector.Detector
	listed         registrar.List
	publishedEpoch uint64
	probeOrder     []registrar.Instance
	heartbeats     int
	lastContact    time.Time

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// LoanHandlers holds the handlers of slot loan requests on the peers' port.
type LoanHandlers struct {
	borrow   func(context.Context, *messenger.BorrowRequest) *messenger.BorrowReply
	giveBack func(*messenger.GiveBackRequest)
}

// NewLoanHandlers returns the handlers of borrow and give-back requests.
func NewLoanHandlers(borrow func(context.Context, *messenger.BorrowRequest) *messenger.BorrowReply, giveBack func(*messenger.GiveBackRequest)) LoanHandlers {
	return LoanHandlers{borrow: borrow, giveBack: giveBack}
}

// New listens on the instance's address for peers and starts to send
// heartbeats.
func New(self registrar.Instance, peerTLS *PeerTLS, a *assembler.Assembler, w *watcher.Watcher, p *publisher.Publisher, loans LoanHandlers, log zerolog.Logger) (*Exchanger, error) {
	listener, err := net.Listen("tcp", self.PeerAddress())
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	x := &Exchanger{
		self: self, assembler: a, watcher: w, publisher: p, log: log, started: time.Now(), listener: listener,
		detector: detector.New(self.ID(), uint64(time.Now().UnixMilli())), repairs: newRepairs(), cancel: cancel,
	}
	x.scheme = peerTLS.Scheme()
	x.client = NewClient(peerTLS, &x.sent)
	x.serve(peerTLS, loans)
	x.done.Go(func() { x.run(ctx) })
	return x, nil
}

func (x *Exchanger) serve(peerTLS *PeerTLS, loans LoanHandlers) {
	twirp := messenger.NewPeersServer(&service{exchanger: x, loans: loans})
	router := mux.NewRouter()
	router.PathPrefix(twirp.PathPrefix()).Handler(twirp)
	protocols := &http.Protocols{}
	var listener net.Listener = countedListener{Listener: x.listener, bytes: &x.received}
	if peerTLS.enabled() {
		protocols.SetHTTP2(true)
		listener = tls.NewListener(listener, peerTLS.serverConfig())
	} else {
		protocols.SetHTTP1(true)
		protocols.SetUnencryptedHTTP2(true)
	}
	x.server = &http.Server{Handler: router, Protocols: protocols, ReadHeaderTimeout: headerTimeout}
	x.done.Go(func() { x.server.Serve(listener) }) //nolint:errcheck // Always ErrServerClosed.
}

// Address returns the address that the peers' port is bound to.
func (x *Exchanger) Address() string { return x.listener.Addr().String() }

// Bytes returns the bytes sent to and received from peers, on connections
// opened by either side.
func (x *Exchanger) Bytes() int64 { return x.sent.Load() + x.received.Load() }

// Leave notifies all peers of the region that the instance is leaving, so that
// they take over its slots, and waits for them for at most leaveTimeout.
func (x *Exchanger) Leave() {
	x.mutex.Lock()
	x.detector.Leave()
	peers := x.localPeers()
	x.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	var sending sync.WaitGroup
	for _, peer := range peers {
		sending.Go(func() { x.exchange(ctx, peer, "", nil) }) //nolint:errcheck // The other peers are notified regardless.
	}
	sending.Wait()
}

// Close stops the heartbeats and closes the peers' port.
func (x *Exchanger) Close() {
	x.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if x.server.Shutdown(ctx) != nil {
		x.server.Close()
	}
	x.done.Wait()
	x.client.CloseIdleConnections()
}

// now returns the detector's monotonic time.
func (x *Exchanger) now() time.Duration { return time.Since(x.started) }

// SetList applies the platform's list and publishes it without the instances
// that the detector considers dead.
func (x *Exchanger) SetList(list registrar.List) {
	x.mutex.Lock()
	x.listed = list
	x.detector.SetMembers(list.Instances(), x.now())
	x.probeOrder = nil
	x.mutex.Unlock()
	x.publish()
}

// publish publishes the listed instances as the detector sees them.
func (x *Exchanger) publish() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.publishedEpoch = x.detector.Epoch()
	x.publisher.PublishList(x.listed.WithInstances(x.detector.Filter(x.listed.Instances())))
}

// publishIfChanged publishes the list if the detector's view has changed since
// it was last published.
func (x *Exchanger) publishIfChanged() {
	x.mutex.Lock()
	changed := x.publishedEpoch != x.detector.Epoch()
	x.mutex.Unlock()
	if changed {
		x.publish()
	}
}

// LastContact returns when this instance last exchanged a message with a peer, or
// the zero time.
func (x *Exchanger) LastContact() time.Time {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.lastContact
}

// Epoch returns the number of changes to the instance's membership view.
func (x *Exchanger) Epoch() uint64 {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.detector.Epoch()
}

// LocalPeers returns the peers of the instance's region that are neither dead nor
// leaving.
func (x *Exchanger) LocalPeers() []registrar.Instance {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.localPeers()
}

// localPeers returns the live peers of the region. The caller must hold the mutex.
func (x *Exchanger) localPeers() []registrar.Instance { return x.peers(true) }

func (x *Exchanger) peers(regionOnly bool) []registrar.Instance {
	var peers []registrar.Instance
	for _, i := range x.detector.Filter(x.listed.Instances()) {
		remote := i.Locality().Region() != x.self.Locality().Region()
		if i.ID() == x.self.ID() || i.Leaving() || (regionOnly && remote) {
			continue
		}
		peers = append(peers, i)
	}
	return peers
}
