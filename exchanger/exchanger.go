// Package exchanger speaks with the other instances: heartbeats, news of
// members, and configurations that a peer does not have yet.
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
	// period is the mean time between the heartbeats that an instance sends.
	period = 250 * time.Millisecond
	// farEvery is how many heartbeats stay in the region before one leaves it.
	farEvery = 8
	// fanout is how many peers are told at once of a new configuration.
	fanout = 3
	// relays is how many peers are asked to reach one that did not answer.
	relays = 2
	// callTimeout bounds one message, and relayTimeout one that is passed on.
	callTimeout  = 500 * time.Millisecond
	relayTimeout = 2 * callTimeout
	// freezeGap is how late a tick must be for the process to have stood still.
	freezeGap = 2 * time.Second

	headerTimeout = 5 * time.Second
	closeTimeout  = 2 * time.Second
	leaveTimeout  = time.Second
)

// Exchanger is the peers' port and the loop that sends heartbeats.
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
	socket    net.Listener
	sent      atomic.Int64
	received  atomic.Int64
	repairs   *repairs

	mutex    sync.Mutex // Guards what follows; never held across a message.
	detector *detector.Detector
	listed   registrar.List
	shown    uint64
	order    []registrar.Instance
	ticks    int
	lastPeer time.Time

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Lending serves the slots side of the peers' port.
type Lending struct {
	borrow   func(context.Context, *messenger.BorrowRequest) *messenger.BorrowReply
	giveBack func(*messenger.GiveBackRequest)
}

// NewLending returns what serves borrow and give-back requests.
func NewLending(borrow func(context.Context, *messenger.BorrowRequest) *messenger.BorrowReply, giveBack func(*messenger.GiveBackRequest)) Lending {
	return Lending{borrow: borrow, giveBack: giveBack}
}

// New starts to listen on the instance's peers' address and to send
// heartbeats.
func New(self registrar.Instance, security *Security, a *assembler.Assembler, w *watcher.Watcher, p *publisher.Publisher, lending Lending, log zerolog.Logger) (*Exchanger, error) {
	socket, err := net.Listen("tcp", self.Peers())
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	x := &Exchanger{
		self: self, assembler: a, watcher: w, publisher: p, log: log, started: time.Now(), socket: socket,
		detector: detector.New(self.ID(), uint64(time.Now().UnixMilli())), repairs: newRepairs(), cancel: cancel,
	}
	x.scheme = security.Scheme()
	x.client = NewClient(security, &x.sent)
	x.serve(security, lending)
	x.done.Go(func() { x.run(ctx) })
	return x, nil
}

func (x *Exchanger) serve(security *Security, lending Lending) {
	twirp := messenger.NewPeersServer(&service{exchanger: x, lending: lending})
	router := mux.NewRouter()
	router.PathPrefix(twirp.PathPrefix()).Handler(twirp)
	protocols := &http.Protocols{}
	var socket net.Listener = countedListener{Listener: x.socket, bytes: &x.received}
	if security.enabled() {
		protocols.SetHTTP2(true)
		socket = tls.NewListener(socket, security.server())
	} else {
		protocols.SetHTTP1(true)
		protocols.SetUnencryptedHTTP2(true)
	}
	x.server = &http.Server{Handler: router, Protocols: protocols, ReadHeaderTimeout: headerTimeout}
	x.done.Go(func() { x.server.Serve(socket) }) //nolint:errcheck // Always ErrServerClosed.
}

// Address returns the address that the port is bound to.
func (x *Exchanger) Address() string { return x.socket.Addr().String() }

// Bytes returns what was sent to and received from peers, on connections of
// either side.
func (x *Exchanger) Bytes() int64 { return x.sent.Load() + x.received.Load() }

// Leave tells all peers of the region that the instance is leaving, so that
// they take over its slots, and waits for it a short time.
func (x *Exchanger) Leave() {
	x.mutex.Lock()
	x.detector.Leave()
	peers := x.near()
	x.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	var told sync.WaitGroup
	for _, peer := range peers {
		told.Go(func() { x.exchange(ctx, peer, "", nil) }) //nolint:errcheck // The others are told all the same.
	}
	told.Wait()
}

// Close ends the heartbeats and the port.
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

// now is the monotonic time of the detector.
func (x *Exchanger) now() time.Duration { return time.Since(x.started) }

// SetList takes over the platform's list. The list that is put in force leaves
// out the instances that are believed dead.
func (x *Exchanger) SetList(list registrar.List) {
	x.mutex.Lock()
	x.listed = list
	x.detector.Sync(list.Instances(), x.now())
	x.order = nil
	x.mutex.Unlock()
	x.show()
}

// show publishes the fleet as it is believed to be.
func (x *Exchanger) show() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.shown = x.detector.Epoch()
	x.publisher.PublishList(x.listed.WithInstances(x.detector.Filter(x.listed.Instances())))
}

// showChanges publishes the fleet if the view has changed since the last time.
func (x *Exchanger) showChanges() {
	x.mutex.Lock()
	changed := x.shown != x.detector.Epoch()
	x.mutex.Unlock()
	if changed {
		x.show()
	}
}

// LastPeer returns when a peer last answered, or the zero time.
func (x *Exchanger) LastPeer() time.Time {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.lastPeer
}

// Epoch counts the changes of the instance's view of the fleet.
func (x *Exchanger) Epoch() uint64 {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.detector.Epoch()
}

// Near returns the live peers of the instance's region.
func (x *Exchanger) Near() []registrar.Instance {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.near()
}

// near is Near for callers that hold the mutex.
func (x *Exchanger) near() []registrar.Instance { return x.peers(true) }

func (x *Exchanger) peers(regionOnly bool) []registrar.Instance {
	var peers []registrar.Instance
	for _, i := range x.detector.Filter(x.listed.Instances()) {
		far := i.Place().Region() != x.self.Place().Region()
		if i.ID() == x.self.ID() || i.Leaving() || (regionOnly && far) {
			continue
		}
		peers = append(peers, i)
	}
	return peers
}
