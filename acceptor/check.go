package acceptor

import (
	"net"
	"net/http"
	"time"

	"burdocklane/shedder"
)

// Limits of the port for readiness checks and metrics, whose requests have no bodies.
const (
	checkHeadTimeout   = 5 * time.Second
	checkReadTimeout   = 5 * time.Second
	checkWriteTimeout  = 30 * time.Second
	checkIdleTimeout   = time.Minute
	checkMaxHeaderSize = 8 << 10
)

// CheckServer is the HTTP server of a port for readiness checks and metrics.
type CheckServer struct {
	*http.Server
	shedder *shedder.Shedder
}

// NewCheckServer returns a server whose callers hold no more than the shedder allows.
func NewCheckServer(handler http.Handler, s *shedder.Shedder) *CheckServer {
	server := &http.Server{
		Handler:           withoutBody(handler),
		ReadHeaderTimeout: checkHeadTimeout,
		ReadTimeout:       checkReadTimeout,
		WriteTimeout:      checkWriteTimeout,
		IdleTimeout:       checkIdleTimeout,
		MaxHeaderBytes:    checkMaxHeaderSize,
	}
	Install(server)
	return &CheckServer{Server: server, shedder: s}
}

// Serve accepts connections until the server is closed.
func (s *CheckServer) Serve(socket net.Listener) error {
	return s.Server.Serve(New(socket, s.shedder, checkWriteTimeout))
}

// withoutBody returns a handler that ends the connections of requests with a body, which
// nobody reads.
func withoutBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			http.NewResponseController(w).SetReadDeadline(time.Now()) //nolint:errcheck // The connection has ended.
		}
		next.ServeHTTP(w, r)
	})
}
