package parser

import (
	"net"
	"net/url"
	"time"

	"burdocklane/registrar"
)

// Settings are what one instance is started with.
type Settings struct {
	instance   registrar.InstanceID
	place      registrar.Place
	listen     Listen
	platform   Platform
	limits     Limits
	peerTLS    PeerTLS
	logLevel   string
	policy     string
	invariants string
}

// Instance returns the identity of the instance.
func (s Settings) Instance() registrar.InstanceID { return s.instance }

// Place returns the region and availability zone of the instance.
func (s Settings) Place() registrar.Place { return s.place }

// Listen returns the addresses that the instance listens on.
func (s Settings) Listen() Listen { return s.listen }

// Platform returns the endpoints of the platform.
func (s Settings) Platform() Platform { return s.platform }

// Limits returns the limits against callers.
func (s Settings) Limits() Limits { return s.limits }

// PeerTLS returns the key files of the peers' port.
func (s Settings) PeerTLS() PeerTLS { return s.peerTLS }

// LogLevel returns zerolog's name of the least level that is written.
func (s Settings) LogLevel() string { return s.logLevel }

// Policy returns the name of the routing policy, for experiments.
func (s Settings) Policy() string { return s.policy }

// ExitOnViolation tells whether a broken invariant ends the process.
func (s Settings) ExitOnViolation() bool { return s.invariants == "exit" }

// Listen holds the addresses, host:port, of an instance's three ports.
type Listen struct {
	callers string
	peers   string
	admin   string
	source  string
}

// Source returns the IP address that connections to workers come from, or "".
func (l Listen) Source() string { return l.source }

// Callers returns the address for callers.
func (l Listen) Callers() string { return l.callers }

// Peers returns the address for other instances.
func (l Listen) Peers() string { return l.peers }

// Admin returns the address of the read-only admin port.
func (l Listen) Admin() string { return l.admin }

// Platform holds the endpoints of the platform.
type Platform struct {
	store     string
	list      string
	keyPrefix string
}

// Store returns the base URL of the key-value store's JSON gateway.
func (p Platform) Store() string { return p.store }

// List returns the URL of the list of workers and instances.
func (p Platform) List() string { return p.list }

// KeyPrefix returns the prefix of all keys in the store.
func (p Platform) KeyPrefix() string { return p.keyPrefix }

// PeerTLS holds the PEM files for mutual TLS between instances. All are empty
// for plain text, which is allowed on loopback only.
type PeerTLS struct {
	certificate string
	key         string
	authority   string
}

// Certificate returns the file with the instance's certificate.
func (t PeerTLS) Certificate() string { return t.certificate }

// Key returns the file with the certificate's private key.
func (t PeerTLS) Key() string { return t.key }

// Authority returns the file with the certificates that sign the peers' own.
func (t PeerTLS) Authority() string { return t.authority }

// Enabled tells whether mutual TLS is configured.
func (t PeerTLS) Enabled() bool { return t.certificate != "" }

// ParseSettings reads and checks the settings of an instance. The source names
// the document in errors. The error is a *DocumentError with every fault.
func ParseSettings(source string, data []byte) (Settings, error) {
	faults := &collector{}
	root, ok := parseDocument(data, faults)
	if !ok {
		return Settings{}, faults.err(source)
	}
	s := Settings{}
	for _, key := range []string{"instance", "region", "availability-zone", "listen", "platform"} {
		root.required(key)
	}
	s.instance = registrar.InstanceID(root.text("instance", ""))
	s.place = registrar.NewPlace(root.text("region", ""), root.text("availability-zone", ""))
	s.listen = parseListen(&root)
	s.platform = parsePlatform(&root)
	s.limits = parseLimits(&root)
	s.peerTLS = parsePeerTLS(&root, s.listen)
	s.logLevel = root.choice("log-level", "info", "trace", "debug", "info", "warn", "error")
	s.policy = root.choice("policy", PolicySharedSlots, Policies()...)
	s.invariants = root.choice("invariants", "count", "count", "exit")
	root.finish()
	return s, faults.err(source)
}

func parseListen(root *object) Listen {
	o, _ := root.child("listen")
	listen := Listen{
		callers: o.address("callers", ""),
		peers:   o.address("peers", ""),
		admin:   o.address("admin", ""),
		source:  o.text("source", ""),
	}
	if listen.source != "" && net.ParseIP(listen.source) == nil {
		o.faults.add(o.at("source"), "%q is not an IP address", listen.source)
	}
	if listen.callers == "" {
		o.faults.add(o.at("callers"), "is missing")
	}
	if listen.peers == "" {
		o.faults.add(o.at("peers"), "is missing")
	}
	if listen.admin == "" {
		o.faults.add(o.at("admin"), "is missing")
	}
	o.finish()
	return listen
}

func parsePlatform(root *object) Platform {
	o, _ := root.child("platform")
	platform := Platform{
		store:     o.endpoint("store"),
		list:      o.endpoint("list"),
		keyPrefix: o.text("key-prefix", "/burdocklane/"),
	}
	o.finish()
	return platform
}

func (o *object) endpoint(key string) string {
	if !o.required(key) {
		return ""
	}
	text := o.text(key, "")
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		o.faults.add(o.at(key), "%q is not an http or https URL", text)
	}
	return text
}

func parsePeerTLS(root *object, listen Listen) PeerTLS {
	o, found := root.child("peer-tls")
	t := PeerTLS{
		certificate: o.text("certificate", ""),
		key:         o.text("key", ""),
		authority:   o.text("authority", ""),
	}
	o.finish()
	if found && (t.certificate == "" || t.key == "" || t.authority == "") {
		o.faults.add(o.path, "needs all of certificate, key and authority")
	}
	host, _, err := net.SplitHostPort(listen.peers)
	if err == nil && !found && !isLoopback(host) {
		o.faults.add("peer-tls", "is missing: without it the peers' port may stand on loopback only, not on %q", host)
	}
	return t
}

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || (ip != nil && ip.IsLoopback())
}

// Limits protect an instance against bad callers.
type Limits struct {
	headerBytes    int64
	bodyBytes      int64
	replayBytes    int64
	connections    int64
	queue          int64
	headerTimeout  time.Duration
	bodyTimeout    time.Duration
	idleTimeout    time.Duration
	connectTimeout time.Duration
	upstreamIdle   time.Duration
	drainTimeout   time.Duration
}

const (
	defaultHeaderBytes    = 64 << 10
	defaultBodyBytes      = 1 << 30
	defaultReplayBytes    = 64 << 10
	defaultConnections    = 4096
	defaultQueue          = 1024
	defaultHeaderTimeout  = 5 * time.Second
	defaultBodyTimeout    = 30 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	defaultConnectTimeout = time.Second
	defaultUpstreamIdle   = 30 * time.Second
	defaultDrainTimeout   = 30 * time.Second

	mostBytes       = 1 << 40
	mostConnections = 1 << 20
)

func parseLimits(root *object) Limits {
	o, _ := root.child("limits")
	d := DefaultLimits()
	limits := Limits{
		headerBytes:    o.whole("header-bytes", d.headerBytes, 1<<10, 1<<24),
		bodyBytes:      o.whole("body-bytes", d.bodyBytes, 0, mostBytes),
		replayBytes:    o.whole("replay-bytes", d.replayBytes, 0, 1<<24),
		connections:    o.whole("connections", d.connections, 1, mostConnections),
		queue:          o.whole("queue", d.queue, 0, mostConnections),
		headerTimeout:  o.duration("header-timeout", d.headerTimeout),
		bodyTimeout:    o.duration("body-timeout", d.bodyTimeout),
		idleTimeout:    o.duration("idle-timeout", d.idleTimeout),
		connectTimeout: o.duration("connect-timeout", d.connectTimeout),
		upstreamIdle:   o.duration("upstream-idle-timeout", d.upstreamIdle),
		drainTimeout:   o.duration("drain-timeout", d.drainTimeout),
	}
	o.finish()
	return limits
}

// HeaderBytes returns the largest request header, in bytes.
func (l Limits) HeaderBytes() int { return int(l.headerBytes) }

// BodyBytes returns the largest request body, in bytes.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// ReplayBytes returns the largest request body, in bytes, that is kept so that
// it can be sent again.
func (l Limits) ReplayBytes() int64 { return l.replayBytes }

// Connections returns the largest number of callers' connections.
func (l Limits) Connections() int { return int(l.connections) }

// Queue returns the largest number of calls that wait in each service.
func (l Limits) Queue() int { return int(l.queue) }

// HeaderTimeout returns how long a caller may take to send a header.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// BodyTimeout returns how long a transfer of a body may stand still.
func (l Limits) BodyTimeout() time.Duration { return l.bodyTimeout }

// IdleTimeout returns how long a caller's connection may stay unused.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }

// ConnectTimeout returns how long a connection to a worker may take.
func (l Limits) ConnectTimeout() time.Duration { return l.connectTimeout }

// UpstreamIdle returns how long a connection to a worker stays open unused.
func (l Limits) UpstreamIdle() time.Duration { return l.upstreamIdle }

// DrainTimeout returns how long a graceful shutdown waits for calls in flight.
func (l Limits) DrainTimeout() time.Duration { return l.drainTimeout }
