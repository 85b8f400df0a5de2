package parser

import (
	"net"
	"net/url"
	"time"

	"burdocklane/registrar"
)

// Settings is the local configuration with which an instance is started.
type Settings struct {
	instance   registrar.InstanceID
	locality   registrar.Locality
	listen     Listen
	platform   Platform
	limits     Limits
	peerTLS    PeerTLS
	logLevel   string
	policy     string
	invariants string
}

// Instance returns the ID of the instance.
func (s Settings) Instance() registrar.InstanceID { return s.instance }

// Locality returns the region and availability zone of the instance.
func (s Settings) Locality() registrar.Locality { return s.locality }

// Listen returns the addresses on which the instance listens.
func (s Settings) Listen() Listen { return s.listen }

// Platform returns the endpoints of the platform.
func (s Settings) Platform() Platform { return s.platform }

// Limits returns the limits on callers.
func (s Settings) Limits() Limits { return s.limits }

// PeerTLS returns the certificate files of the peers' port.
func (s Settings) PeerTLS() PeerTLS { return s.peerTLS }

// LogLevel returns zerolog's name of the minimum level that is logged.
func (s Settings) LogLevel() string { return s.logLevel }

// Policy returns the name of the routing policy, for experiments.
func (s Settings) Policy() string { return s.policy }

// ExitOnViolation reports whether a violated invariant ends the process. The
// alternative is to count it.
func (s Settings) ExitOnViolation() bool { return s.invariants == "exit" }

// Listen holds the host:port addresses of an instance's three ports, and the
// source address of its connections to workers.
type Listen struct {
	callers  string
	peers    string
	admin    string
	sourceIP string
}

// SourceIP returns the local IP address for connections to workers, or "" if the
// system chooses it.
func (l Listen) SourceIP() string { return l.sourceIP }

// Callers returns the address of the callers' port.
func (l Listen) Callers() string { return l.callers }

// Peers returns the address of the port for other instances.
func (l Listen) Peers() string { return l.peers }

// Admin returns the address of the read-only admin port.
func (l Listen) Admin() string { return l.admin }

// Platform holds the endpoints of the platform.
type Platform struct {
	storeURL  string
	listURL   string
	keyPrefix string
}

// StoreURL returns the base URL of the key-value store's JSON gateway.
func (p Platform) StoreURL() string { return p.storeURL }

// ListURL returns the URL of the list of workers and instances.
func (p Platform) ListURL() string { return p.listURL }

// KeyPrefix returns the prefix of all keys in the store.
func (p Platform) KeyPrefix() string { return p.keyPrefix }

// PeerTLS holds the PEM files for mutual TLS between instances. All are empty
// for plaintext, which is allowed on loopback addresses only.
type PeerTLS struct {
	certFile string
	keyFile  string
	caFile   string
}

// CertFile returns the path of the instance's certificate.
func (t PeerTLS) CertFile() string { return t.certFile }

// KeyFile returns the path of the certificate's private key.
func (t PeerTLS) KeyFile() string { return t.keyFile }

// CAFile returns the path of the CA certificates that verify peers.
func (t PeerTLS) CAFile() string { return t.caFile }

// Enabled reports whether mutual TLS is configured.
func (t PeerTLS) Enabled() bool { return t.certFile != "" }

// ParseSettings parses and validates the settings of an instance. The source is
// the document's name in errors. The error is a *DocumentError with every
// violation.
func ParseSettings(source string, data []byte) (Settings, error) {
	violations := &violationList{}
	root, ok := parseDocument(data, violations)
	if !ok {
		return Settings{}, violations.err(source)
	}
	s := Settings{}
	for _, key := range []string{"instance", "region", "availability-zone", "listen", "platform"} {
		root.required(key)
	}
	s.instance = registrar.InstanceID(root.stringValue("instance", ""))
	s.locality = registrar.NewLocality(root.stringValue("region", ""), root.stringValue("availability-zone", ""))
	s.listen = parseListen(&root)
	s.platform = parsePlatform(&root)
	s.limits = parseLimits(&root)
	s.peerTLS = parsePeerTLS(&root, s.listen)
	s.logLevel = root.enum("log-level", "info", "trace", "debug", "info", "warn", "error")
	s.policy = root.enum("policy", PolicySharedSlots, Policies()...)
	s.invariants = root.enum("invariants", "count", "count", "exit")
	root.reportUnknown()
	return s, violations.err(source)
}

func parseListen(root *object) Listen {
	o, _ := root.child("listen")
	listen := Listen{
		callers:  o.hostPort("callers", ""),
		peers:    o.hostPort("peers", ""),
		admin:    o.hostPort("admin", ""),
		sourceIP: o.stringValue("source", ""),
	}
	if listen.sourceIP != "" && net.ParseIP(listen.sourceIP) == nil {
		o.violations.add(o.pathOf("source"), "%q is not an IP address", listen.sourceIP)
	}
	if listen.callers == "" {
		o.violations.add(o.pathOf("callers"), "is missing")
	}
	if listen.peers == "" {
		o.violations.add(o.pathOf("peers"), "is missing")
	}
	if listen.admin == "" {
		o.violations.add(o.pathOf("admin"), "is missing")
	}
	o.reportUnknown()
	return listen
}

func parsePlatform(root *object) Platform {
	o, _ := root.child("platform")
	platform := Platform{
		storeURL:  o.httpURL("store"),
		listURL:   o.httpURL("list"),
		keyPrefix: o.stringValue("key-prefix", "/burdocklane/"),
	}
	o.reportUnknown()
	return platform
}

func (o *object) httpURL(key string) string {
	if !o.required(key) {
		return ""
	}
	text := o.stringValue(key, "")
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		o.violations.add(o.pathOf(key), "%q is not an http or https URL", text)
	}
	return text
}

func parsePeerTLS(root *object, listen Listen) PeerTLS {
	o, found := root.child("peer-tls")
	t := PeerTLS{
		certFile: o.stringValue("certificate", ""),
		keyFile:  o.stringValue("key", ""),
		caFile:   o.stringValue("authority", ""),
	}
	o.reportUnknown()
	if found && (t.certFile == "" || t.keyFile == "" || t.caFile == "") {
		o.violations.add(o.path, "requires certificate, key and authority")
	}
	host, _, err := net.SplitHostPort(listen.peers)
	if err == nil && !found && !isLoopback(host) {
		o.violations.add("peer-tls", "is missing: without TLS the peers' port must use a loopback address, not %q", host)
	}
	return t
}

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || (ip != nil && ip.IsLoopback())
}

// Limits protect an instance from excessive or slow callers.
type Limits struct {
	maxHeaderBytes      int64
	maxBodyBytes        int64
	maxReplayBytes      int64
	maxConnections      int64
	memoryBytes         int64
	maxQueueLength      int64
	headerTimeout       time.Duration
	bodyTimeout         time.Duration
	idleTimeout         time.Duration
	connectTimeout      time.Duration
	upstreamIdleTimeout time.Duration
	drainTimeout        time.Duration
}

const (
	defaultMaxHeaderBytes      = 64 << 10
	defaultMaxBodyBytes        = 1 << 30
	defaultMaxReplayBytes      = 64 << 10
	defaultMaxConnections      = 4096
	defaultMaxQueueLength      = 1024
	defaultHeaderTimeout       = 5 * time.Second
	defaultBodyTimeout         = 30 * time.Second
	defaultIdleTimeout         = 2 * time.Minute
	defaultConnectTimeout      = time.Second
	defaultUpstreamIdleTimeout = 30 * time.Second
	defaultDrainTimeout        = 30 * time.Second

	maxBytes = 1 << 40
	maxCount = 1 << 20
)

func parseLimits(root *object) Limits {
	o, _ := root.child("limits")
	defaults := DefaultLimits()
	limits := Limits{
		maxHeaderBytes:      o.integer("header-bytes", defaults.maxHeaderBytes, 1<<10, 1<<24),
		maxBodyBytes:        o.integer("body-bytes", defaults.maxBodyBytes, 0, maxBytes),
		maxReplayBytes:      o.integer("replay-bytes", defaults.maxReplayBytes, 0, 1<<24),
		maxConnections:      o.integer("connections", defaults.maxConnections, 1, maxCount),
		memoryBytes:         o.integer("memory-bytes", defaults.memoryBytes, 0, maxBytes),
		maxQueueLength:      o.integer("queue", defaults.maxQueueLength, 0, maxCount),
		headerTimeout:       o.duration("header-timeout", defaults.headerTimeout),
		bodyTimeout:         o.duration("body-timeout", defaults.bodyTimeout),
		idleTimeout:         o.duration("idle-timeout", defaults.idleTimeout),
		connectTimeout:      o.duration("connect-timeout", defaults.connectTimeout),
		upstreamIdleTimeout: o.duration("upstream-idle-timeout", defaults.upstreamIdleTimeout),
		drainTimeout:        o.duration("drain-timeout", defaults.drainTimeout),
	}
	o.reportUnknown()
	return limits
}

// MaxHeaderBytes returns the maximum size of a request header.
func (l Limits) MaxHeaderBytes() int { return int(l.maxHeaderBytes) }

// MaxBodyBytes returns the maximum size of a request body.
func (l Limits) MaxBodyBytes() int64 { return l.maxBodyBytes }

// MaxReplayBytes returns the maximum size of a request body that is buffered for
// retries.
func (l Limits) MaxReplayBytes() int64 { return l.maxReplayBytes }

// MaxConnections returns the maximum number of callers' connections.
func (l Limits) MaxConnections() int { return int(l.maxConnections) }

// MemoryBytes returns the memory that the process may use, or 0 if the limit of the Go
// runtime or the machine's memory applies.
func (l Limits) MemoryBytes() int64 { return l.memoryBytes }

// MaxQueueLength returns the maximum number of queued calls for each service.
func (l Limits) MaxQueueLength() int { return int(l.maxQueueLength) }

// HeaderTimeout returns the maximum time for reading a request header.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// BodyTimeout returns how long the transfer of a body may make no progress.
func (l Limits) BodyTimeout() time.Duration { return l.bodyTimeout }

// IdleTimeout returns how long a caller's connection may stay idle.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }

// ConnectTimeout returns the maximum time for connecting to a worker.
func (l Limits) ConnectTimeout() time.Duration { return l.connectTimeout }

// UpstreamIdleTimeout returns how long an idle connection to a worker is kept open.
func (l Limits) UpstreamIdleTimeout() time.Duration { return l.upstreamIdleTimeout }

// DrainTimeout returns how long a graceful shutdown waits for in-flight calls.
func (l Limits) DrainTimeout() time.Duration { return l.drainTimeout }
