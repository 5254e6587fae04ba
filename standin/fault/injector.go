// Package fault injects faults into the simulated HTTP services. Tests enable and disable a
// fault with POST /control/NAME and a [Setting] as the body.
package fault

import (
	"net/http"
	"sync"
	"time"

	"rhubarbstall.example/standin/history"
)

// Injector holds the faults that are enabled. The zero value has none. It is safe for
// concurrent use.
type Injector struct {
	// RefuseConnections makes the listener refuse or accept connections; nil if that is not
	// supported.
	RefuseConnections func(enabled bool) error
	// History receives an event for each control call that changes a fault.
	History *history.Writer

	mu sync.Mutex
	// outage makes every call fail with status 503.
	outage  bool
	latency time.Duration
	// lostResponses is the number of responses that are still to be dropped. If lossPath is
	// set, only responses to calls of this path are dropped.
	lostResponses int
	lossPath      string
	// blackHole is nil unless calls are held without a response. It is closed when the fault
	// is disabled, and the calls held until then are aborted.
	blackHole chan struct{}
}

// Wrap returns a handler that applies the faults to h. Control calls are served elsewhere, so
// faults do not affect them.
func (g *Injector) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.mu.Lock()
		outage, latency, hole := g.outage, g.latency, g.blackHole
		g.mu.Unlock()
		if hole != nil {
			select {
			case <-hole:
				panic(http.ErrAbortHandler)
			case <-r.Context().Done():
				return
			}
		}
		if latency > 0 {
			select {
			case <-time.After(latency):
			case <-r.Context().Done():
				return
			}
		}
		if outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if r.Method != http.MethodGet && g.consumeLoss(r.URL.Path) {
			h.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// consumeLoss reports whether to drop the response to a call of path. If so, it decrements
// the number of responses that are still to be dropped.
func (g *Injector) consumeLoss(path string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lostResponses == 0 || (g.lossPath != "" && g.lossPath != path) {
		return false
	}
	g.lostResponses--
	return true
}

// discardWriter is a response writer that drops the response.
type discardWriter struct{ header http.Header }

// Header returns the header of the dropped response.
func (d *discardWriter) Header() http.Header { return d.header }

// Write drops p.
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status.
func (d *discardWriter) WriteHeader(int) {}
