// Package httpapi serves callers and operators over HTTP.
package httpapi

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"rhubarbstall.example/api/oas"
)

const (
	// readHeaderTimeout frees connections whose caller sends no request.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// defaultBodyBytes bounds a body while no settings are in force.
	defaultBodyBytes = 1 << 20
	// encodingOverhead covers base64 and the JSON around an opaque body.
	encodingOverhead = 2
	// settingsBodyBytes bounds a settings document with its JSON escapes.
	settingsBodyBytes = 4 << 20
)

// Server is the HTTP interface of an entry VM.
type Server struct {
	HTTP     *http.Server
	services Services
	draining atomic.Bool
}

// New returns a server that is not listening yet. Metrics is served at /metrics.
func New(services Services, metrics http.Handler) (*Server, error) {
	s := &Server{services: services}
	api, err := oas.NewServer(&handler{services: services}, oas.WithErrorHandler(writeProblem), oas.WithNotFound(notFound))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", s.limitBody(traceIncoming(api)))
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("/", notFound)
	s.HTTP = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s, nil
}

// SetDraining makes the server answer not ready, so that the balancer sends
// callers elsewhere.
func (s *Server) SetDraining() {
	s.draining.Store(true)
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	_, _, ok := s.services.Settings.Current()
	switch {
	case s.draining.Load():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case !ok:
		http.Error(w, "no settings", http.StatusServiceUnavailable)
	case !s.services.Requests.Ready():
		// Without this, the balancer would send requests that wait about a second
		// until the owners of the zone's slots confirmed this entry VM.
		http.Error(w, "joining", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

// limitBody bounds the body before it is decoded.
func (s *Server) limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limit := int64(defaultBodyBytes)
		if doc, _, ok := s.services.Settings.Current(); ok && doc.Limits.BodyBytes > 0 {
			limit = doc.Limits.BodyBytes
		}
		limit *= encodingOverhead
		if strings.HasPrefix(r.URL.Path, "/v1/settings") {
			limit = settingsBodyBytes
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
		next.ServeHTTP(w, r)
	})
}
