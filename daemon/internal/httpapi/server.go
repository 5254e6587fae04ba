// Package httpapi serves the HTTP API for callers and operators.
package httpapi

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"rhubarbstall.example/api/oas"
)

const (
	// readHeaderTimeout bounds the time to read the headers of a request. It also closes
	// new connections on which no request arrives.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// defaultMaxBodyBytes bounds a request body while no settings are in force or they
	// set no limit.
	defaultMaxBodyBytes = 1 << 20
	// bodyEncodingFactor is the factor by which base64 and the surrounding JSON may
	// enlarge an opaque body.
	bodyEncodingFactor = 2
	// maxSettingsBodyBytes bounds a settings document with its JSON escapes.
	maxSettingsBodyBytes = 4 << 20
)

// Server is the HTTP server of an entry VM.
type Server struct {
	HTTP     *http.Server
	services Services
	draining atomic.Bool
}

// New returns a server that is not listening yet. It serves metrics at /metrics.
func New(services Services, metrics http.Handler) (*Server, error) {
	s := &Server{services: services}
	api, err := oas.NewServer(&handler{services: services}, oas.WithErrorHandler(writeProblem), oas.WithNotFound(handleNotFound))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", s.limitBody(withCallerTrace(api)))
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.handleReadyz)
	mux.HandleFunc("/", handleNotFound)
	s.HTTP = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s, nil
}

// SetDraining makes the readiness check fail, so that the load balancer sends callers
// to other entry VMs.
func (s *Server) SetDraining() {
	s.draining.Store(true)
}

func (s *Server) handleReadyz(w http.ResponseWriter, _ *http.Request) {
	_, _, ok := s.services.Settings.Current()
	switch {
	case s.draining.Load():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case !ok:
		http.Error(w, "no settings", http.StatusServiceUnavailable)
	case !s.services.Requests.Ready():
		// Otherwise the load balancer would send requests that wait about a second,
		// until the owners of the zone's slots have confirmed this entry VM.
		http.Error(w, "joining", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

// limitBody limits the size of a request body before it is decoded.
func (s *Server) limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limit := int64(defaultMaxBodyBytes)
		if doc, _, ok := s.services.Settings.Current(); ok && doc.Limits.BodyBytes > 0 {
			limit = doc.Limits.BodyBytes
		}
		limit *= bodyEncodingFactor
		if strings.HasPrefix(r.URL.Path, "/v1/settings") {
			limit = maxSettingsBodyBytes
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
		next.ServeHTTP(w, r)
	})
}
